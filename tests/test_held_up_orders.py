"""A request that is delayed on its way to a control node and given up by its caller changes nothing."""

import asyncio
import json

import pytest
from test_control_interface import configuration as configuration_text
from test_control_interface import run_on_node, send_request

from petrelhaven.control.request_router import RequestRouter

EVACUATE = b"POST /halls/a/evacuate HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n"
DELAY_S = 0.8


async def apply_configuration(http_server):
    document = {**json.loads(configuration_text("small", 1)), "halls": ["a", "b"]}
    assert (await send_request(http_server, "POST", "/manifest", document))[0] == 200


async def send_request_parts(http_server, *parts, pauses=(), leave_after=None):
    """Sends a request in parts; returns the status, or None if the caller leaves before an answer."""
    host, port = http_server.addr.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        for pause, part in zip((*pauses, 0, 0)[: len(parts)], parts, strict=True):
            await asyncio.sleep(pause)
            writer.write(part)
        if leave_after is not None:
            await asyncio.sleep(leave_after)
            return None
        status_line = await reader.readline()
        return int(status_line.split()[1])
    finally:
        writer.close()


def zone_of(node):
    return node.chain.control_state.zone_state("a")


@pytest.mark.parametrize("leave_after", [0, 0.02])
def test_a_request_whose_caller_has_left_is_not_executed(tmp_path, leave_after):
    async def scenario(node, http_server):
        await apply_configuration(http_server)
        assert await send_request_parts(http_server, EVACUATE, leave_after=leave_after) is None
        await asyncio.sleep(2)
        assert zone_of(node) == "open"
        assert await send_request_parts(http_server, EVACUATE) == 200
        assert zone_of(node) == "emptied"

    run_on_node(tmp_path, scenario)


@pytest.mark.parametrize(
    "parts,pauses",
    [
        pytest.param([EVACUATE], [DELAY_S], id="the first byte comes late"),
        pytest.param([EVACUATE[:20], EVACUATE[20:]], [0, DELAY_S], id="the last byte comes late"),
    ],
)
def test_a_request_delayed_as_long_as_callers_wait_is_rejected_and_can_be_retried(
    tmp_path, parts, pauses
):
    async def scenario(node, http_server):
        await apply_configuration(http_server)
        assert await send_request_parts(http_server, *parts, pauses=pauses) == 503
        assert zone_of(node) == "open"
        assert await send_request_parts(http_server, *parts, pauses=[0, 0]) == 200
        assert zone_of(node) == "emptied"

    run_on_node(tmp_path, scenario)


def test_a_pause_between_two_requests_is_not_treated_as_a_delay(tmp_path):
    async def scenario(node, http_server):
        await apply_configuration(http_server)
        host, port = http_server.addr.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        for verb in (b"evacuate", b"restore", b"evacuate"):
            writer.write(EVACUATE.replace(b"evacuate", verb))
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200"), head
            length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            await reader.readexactly(length)
            await asyncio.sleep(5)
        writer.close()
        assert zone_of(node) == "emptied"

    run_on_node(tmp_path, scenario)


def test_without_the_check_an_abandoned_request_evacuates_a_zone(tmp_path, monkeypatch):
    async def no_check(self, delivery):
        return

    monkeypatch.setattr(RequestRouter, "require_waiting_caller", no_check)

    async def scenario(node, http_server):
        await apply_configuration(http_server)
        await send_request_parts(http_server, EVACUATE, leave_after=0)
        await asyncio.sleep(2)
        assert zone_of(node) == "emptied"

    run_on_node(tmp_path, scenario)
