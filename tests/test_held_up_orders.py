"""An order that was held up between the operator and a control node, and given up meanwhile, changes nothing."""

import asyncio
import json

import pytest
from test_control_interface import ask, on_a_node
from test_control_interface import configuration as small

from petrelhaven.control.request_router import RequestRouter

EVACUATE = b"POST /halls/a/evacuate HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n"
HELD_S = 0.8


async def configured(http_server):
    document = {**json.loads(small("small", 1)), "halls": ["a", "b"]}
    assert (await ask(http_server, "POST", "/manifest", document))[0] == 200


async def sent(http_server, *parts, pauses=(), leave_after=None):
    """The status of one request sent in parts; None if the caller leaves before an answer."""
    host, port = http_server.addr.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        for pause, part in zip((*pauses, 0, 0)[: len(parts)], parts, strict=True):
            await asyncio.sleep(pause)
            writer.write(part)
        if leave_after is not None:
            await asyncio.sleep(leave_after)
            return None
        line = await reader.readline()
        return int(line.split()[1])
    finally:
        writer.close()


def zone_of(node):
    return node.chain.control_state.zone_state("a")


@pytest.mark.parametrize("leave_after", [0, 0.02])
def test_an_order_behind_which_its_caller_has_left_is_not_carried_out(tmp_path, leave_after):
    async def go(node, http_server):
        await configured(http_server)
        assert await sent(http_server, EVACUATE, leave_after=leave_after) is None
        await asyncio.sleep(2)
        assert zone_of(node) == "open"
        assert await sent(http_server, EVACUATE) == 200
        assert zone_of(node) == "emptied"

    on_a_node(tmp_path, go)


@pytest.mark.parametrize(
    "parts,pauses",
    [
        pytest.param([EVACUATE], [HELD_S], id="the first byte comes late"),
        pytest.param([EVACUATE[:20], EVACUATE[20:]], [0, HELD_S], id="the last byte comes late"),
    ],
)
def test_an_order_that_took_as_long_as_callers_wait_is_declined_and_may_be_sent_again(
    tmp_path, parts, pauses
):
    async def go(node, http_server):
        await configured(http_server)
        assert await sent(http_server, *parts, pauses=pauses) == 503
        assert zone_of(node) == "open"
        assert await sent(http_server, *parts, pauses=[0, 0]) == 200
        assert zone_of(node) == "emptied"

    on_a_node(tmp_path, go)


def test_a_caller_that_rests_between_two_requests_is_not_taken_for_one_held_up(tmp_path):
    async def go(node, http_server):
        await configured(http_server)
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

    on_a_node(tmp_path, go)


def test_without_the_check_an_order_that_was_given_up_empties_a_zone(tmp_path, monkeypatch):
    async def no_check(self, delivery):
        return

    monkeypatch.setattr(RequestRouter, "require_waiting_caller", no_check)

    async def go(node, http_server):
        await configured(http_server)
        await sent(http_server, EVACUATE, leave_after=0)
        await asyncio.sleep(2)
        assert zone_of(node) == "emptied"

    on_a_node(tmp_path, go)
