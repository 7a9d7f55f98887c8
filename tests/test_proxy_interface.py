"""The HTTP interface of a proxy: its status documents, and what it leaves to the control nodes."""

import asyncio
import json
import random

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from virtual_io import LoopClock, run_in_virtual_time

from petrelhaven.commands.diff import differences
from petrelhaven.control.interface.documents import parse_query_number
from petrelhaven.control.state.control_state import ControlState
from petrelhaven.proxy.core_connection import CoreConnection
from petrelhaven.proxy.node import ProxyNode
from petrelhaven.proxy.proxy_interface import ProxyInterface
from petrelhaven.runtime.tasks import BackgroundTasks
from petrelhaven.transport.light_http import LightHttpServer, Request
from petrelhaven.transport.link import Link

DRAWN = settings(
    max_examples=200,
    phases=[Phase.generate],
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
TEXT = json.dumps(
    {
        "name": "try",
        "version": 3,
        "halls": ["a"],
        "groups": [{"name": "g1"}],
        "routes": [{"name": "main", "group": "g1", "host": "db"}],
    }
)
RECORDS = [
    {"t": "manifest", "version": 3, "text": TEXT, "by": "op"},
    {
        "t": "member",
        "name": "m1",
        "group": "g1",
        "hall": "a",
        "addr": "127.0.0.1:9",
        "role": "primary",
        "state": "ready",
        "slots": 5,
        "count": 1,
    },
    *(
        {
            "t": "office",
            "group": "g1",
            "n": number,
            "phase": phase,
            "primary": "m1",
            "term": 1,
            "cause": cause,
            "by": "c1",
            "stuck": False,
        }
        for number, phase, cause in (
            (1, "serve", "announced as primary"),
            (2, "swap", "hall a is emptied"),
            (3, "serve", "no heir"),
        )
    ),
]


class UnreachableMembers:
    async def open(self, address, group, member, timeout_us, tenant=""):
        await asyncio.get_running_loop().create_future()


def run_with_proxy(scenario, records=RECORDS):
    """Runs `scenario(proxy, http_server)` with a proxy that has received `records`."""

    async def run_scenario():
        clock, tasks = LoopClock(), BackgroundTasks()
        core_connection = CoreConnection(
            clock, tasks, Link(clock, tasks), random.Random(1), "e1", [], lambda zone: 0
        )
        proxy = ProxyNode(
            "e1",
            "a",
            clock,
            tasks,
            random.Random(1),
            core_connection,
            UnreachableMembers(),
            lambda zone: 0,
            1,
            1,
        )
        http_server = LightHttpServer("127.0.0.1", 0)
        ProxyInterface(proxy, http_server, lambda: {"waiting": ["Zone"]})
        if records:
            control_state = ControlState()
            for record in records:
                control_state.check(record)
                control_state.apply(control_state.seq + 1, record)
            await core_connection._apply_push(
                None, {"frame": control_state.snapshot(), "recs": [], "commit": control_state.seq}
            )
        try:
            return await scenario(proxy, http_server)
        finally:
            tasks.kill()

    return run_in_virtual_time(run_scenario())


async def send_request(http_server, path, verb="GET"):
    status, body, headers = await http_server.answer(Request(verb, path, b""))
    return status, json.loads(body), dict(headers)


def test_a_proxy_serves_its_status_documents():
    async def scenario(proxy, http_server):
        status, document, _ = await send_request(http_server, "/status")
        assert (
            status == 200
            and document["role"] == "edge"
            and document["state"] == "serving"
            and document["ready"]
            and document["joined"]
        )
        assert (
            document["settings"] == {"waiting": ["Zone"]}
            and document["lease_us"] == 0
            and document["visits"] == 0
        )
        assert document["epochs"]["g1"]["n"] == 3 and document["members"] == {
            "m1": ["g1", "ready", "primary"]
        }
        assert (await send_request(http_server, "/ready"))[:2] == (200, {"ready": True})
        assert (await send_request(http_server, "/realm"))[1]["offices"]["g1"]["primary"] == "m1"
        status, document, _ = await send_request(http_server, "/why?group=g1&n=2")
        assert (document["epoch"]["cause"], document["replaced"]["n"], document["kept"]) == (
            "hall a is emptied",
            1,
            [1, 2, 3],
        )
        proxy.leave()
        status, document, headers = await send_request(http_server, "/ready")
        assert (
            (status, document["fault"]) == (503, "not-ready")
            and "leaving" in document["note"]
            and headers["Retry-After"] == "1"
        )

    run_with_proxy(scenario)


def test_a_proxy_serves_its_configuration_only_as_unconfirmed():
    async def scenario(proxy, http_server):
        status, document, _ = await send_request(http_server, "/manifest")
        assert (status, document["fault"]) == (400, "malformed")
        for query in ("", "&version=3"):
            status, body, headers = await http_server.answer(
                Request("GET", "/manifest?unconfirmed=true" + query, b"")
            )
            assert (status, body.decode(), dict(headers)) == (
                200,
                TEXT,
                {"Confirmed-By-Majority": "no"},
            )
        assert (await send_request(http_server, "/manifest?unconfirmed=true&version=2"))[0] == 404

    run_with_proxy(scenario)


def test_a_proxy_without_a_control_state_reports_that():
    async def scenario(proxy, http_server):
        assert (await send_request(http_server, "/status"))[1]["state"] == "starting"
        assert (await send_request(http_server, "/ready"))[0] == 503
        assert (await send_request(http_server, "/manifest?unconfirmed=true"))[0] == 404
        assert (await send_request(http_server, "/why?group=g1"))[0] == 404
        assert (await proxy.core_connection._send_snapshot(None, {}))["frame"] is None

    run_with_proxy(scenario, [])


def test_a_proxy_sends_its_control_state_to_a_control_node():
    async def scenario(proxy, http_server):
        snapshot = (await proxy.core_connection._send_snapshot(None, {}))["frame"]
        assert snapshot["seq"] == 5 and snapshot is not proxy.core_connection.control_state.doc

    run_with_proxy(scenario)


def test_omitted_configuration_fields_get_their_defaults():
    async def scenario(proxy, http_server):
        route, group = proxy.route("db")
        assert (route.reads, route.timeout_us, group.connection_cap, group.sync_replicas) == (
            "strong",
            2_000_000,
            40,
            0,
        )
        assert proxy.bounds().idle_txn_us == 10_000_000

    run_with_proxy(scenario)


def test_fields_that_only_one_node_reports_are_no_difference():
    async def scenario(proxy, http_server):
        return (await send_request(http_server, "/belief"))[1]

    proxy_document = run_with_proxy(scenario)
    control_node_document = {
        **proxy_document,
        "name": "c1",
        "kith": {"c1": "alive"},
        "view": {"n": 1},
    }
    assert differences(proxy_document, control_node_document) == []
    assert differences(proxy_document, {**control_node_document, "members": {}}) == [
        ("members.m1", ["g1", "ready", "primary"], None)
    ]


@pytest.mark.parametrize("value", ["", "-1", "1.0", " 1", "1_0", "²", "9" * 19, "0x1", "١"])
def test_a_query_parameter_that_is_no_number_is_malformed(value):
    async def scenario(proxy, http_server):
        status, document, _ = await send_request(http_server, f"/why?group=g1&n={value}")
        assert (status, document["note"]) == (400, "n must be a whole number")

    run_with_proxy(scenario)
    assert parse_query_number({}, "n") is None and parse_query_number({"n": "007"}, "n") == 7


JUNK = st.text(st.characters(min_codepoint=33, max_codepoint=255), max_size=20)


def test_random_requests_get_typed_answers():
    reqs = []

    @DRAWN
    @given(
        st.sampled_from(["GET", "POST", "PUT", "DELETE", "HEAD"]),
        st.one_of(
            st.sampled_from(["/status", "/belief", "/ready", "/realm", "/why", "/manifest"]),
            JUNK.map("/{}".format),
        ),
        st.one_of(
            st.just(""),
            JUNK,
            st.builds(
                "{}={}".format,
                st.sampled_from(["n", "group", "version", "unconfirmed"]),
                st.one_of(JUNK, st.sampled_from(["g1", "true", "%", "%ff", "1"])),
            ),
        ),
        st.binary(max_size=30),
    )
    def draw(verb, path, query, body):
        reqs.append(Request(verb, f"{path}?{query}", body))

    draw()

    async def scenario(proxy, http_server):
        for request in reqs:
            status, body, _ = await http_server.answer(request)
            document = json.loads(body)
            is_typed_fault = status in (400, 404) and set(document) >= {"fault", "note"}
            assert is_typed_fault or status == 200 and request.verb == "GET", (
                request.verb,
                request.path,
                status,
                body,
            )

    run_with_proxy(scenario)
