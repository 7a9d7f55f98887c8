"""The product's own face of a gate: what an edge believes, and what it leaves to the cores."""

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
            "n": n,
            "phase": p,
            "primary": "m1",
            "term": 1,
            "cause": c,
            "by": "c1",
            "stuck": False,
        }
        for n, p, c in (
            (1, "serve", "announced as primary"),
            (2, "swap", "hall a is emptied"),
            (3, "serve", "no heir"),
        )
    ),
]


class NoMembers:
    async def open(self, addr, group, member, us, tenant=""):
        await asyncio.get_running_loop().create_future()


def on_a_gate(fn, records=RECORDS):
    """Runs `fn(gate, face)` over a gate whose tie was told of `records`."""

    async def go():
        clock, tasks = LoopClock(), BackgroundTasks()
        core_connection = CoreConnection(
            clock, tasks, Link(clock, tasks), random.Random(1), "e1", [], lambda h: 0
        )
        proxy = ProxyNode(
            "e1",
            "a",
            clock,
            tasks,
            random.Random(1),
            core_connection,
            NoMembers(),
            lambda h: 0,
            1,
            1,
        )
        http_server = LightHttpServer("127.0.0.1", 0)
        ProxyInterface(proxy, http_server, lambda: {"waiting": ["Zone"]})
        if records:
            led = ControlState()
            for r in records:
                led.check(r)
                led.apply(led.seq + 1, r)
            await core_connection._apply_push(
                None, {"frame": led.snapshot(), "recs": [], "commit": led.seq}
            )
        try:
            return await fn(proxy, http_server)
        finally:
            tasks.kill()

    return run_in_virtual_time(go())


async def ask(http_server, path, verb="GET"):
    s, b, heads = await http_server.answer(Request(verb, path, b""))
    return s, json.loads(b), dict(heads)


def test_a_proxy_serves_its_status_documents():
    async def go(proxy, http_server):
        s, d, _ = await ask(http_server, "/status")
        assert (
            s == 200
            and d["role"] == "edge"
            and d["state"] == "serving"
            and d["ready"]
            and d["joined"]
        )
        assert d["settings"] == {"waiting": ["Zone"]} and d["lease_us"] == 0 and d["visits"] == 0
        assert d["epochs"]["g1"]["n"] == 3 and d["members"] == {"m1": ["g1", "ready", "primary"]}
        assert (await ask(http_server, "/ready"))[:2] == (200, {"ready": True})
        assert (await ask(http_server, "/realm"))[1]["offices"]["g1"]["primary"] == "m1"
        s, d, _ = await ask(http_server, "/why?group=g1&n=2")
        assert (d["epoch"]["cause"], d["replaced"]["n"], d["kept"]) == (
            "hall a is emptied",
            1,
            [1, 2, 3],
        )
        proxy.leave()
        s, d, heads = await ask(http_server, "/ready")
        assert (
            (s, d["fault"]) == (503, "not-ready")
            and "leaving" in d["note"]
            and heads["Retry-After"] == "1"
        )

    on_a_gate(go)


def test_a_proxy_serves_its_configuration_only_as_unconfirmed():
    async def go(proxy, http_server):
        s, d, _ = await ask(http_server, "/manifest")
        assert (s, d["fault"]) == (400, "malformed")
        for q in ("", "&version=3"):
            s, b, heads = await http_server.answer(
                Request("GET", "/manifest?unconfirmed=true" + q, b"")
            )
            assert (s, b.decode(), dict(heads)) == (200, TEXT, {"Confirmed-By-Majority": "no"})
        assert (await ask(http_server, "/manifest?unconfirmed=true&version=2"))[0] == 404

    on_a_gate(go)


def test_a_proxy_without_a_control_state_reports_that():
    async def go(proxy, http_server):
        assert (await ask(http_server, "/status"))[1]["state"] == "starting"
        assert (await ask(http_server, "/ready"))[0] == 503
        assert (await ask(http_server, "/manifest?unconfirmed=true"))[0] == 404
        assert (await ask(http_server, "/why?group=g1"))[0] == 404
        assert (await proxy.core_connection._send_snapshot(None, {}))["frame"] is None

    on_a_gate(go, [])


def test_a_proxy_sends_its_control_state_to_a_control_node():
    async def go(proxy, http_server):
        f = (await proxy.core_connection._send_snapshot(None, {}))["frame"]
        assert f["seq"] == 5 and f is not proxy.core_connection.control_state.doc

    on_a_gate(go)


def test_omitted_configuration_fields_get_their_defaults():
    async def go(proxy, http_server):
        r, b = proxy.route("db")
        assert (r.reads, r.timeout_us, b.connection_cap, b.sync_replicas) == (
            "strong",
            2_000_000,
            40,
            0,
        )
        assert proxy.bounds().idle_txn_us == 10_000_000

    on_a_gate(go)


def test_fields_that_only_one_node_reports_are_no_difference():
    async def go(proxy, http_server):
        return (await ask(http_server, "/belief"))[1]

    a = on_a_gate(go)
    core = {**a, "name": "c1", "kith": {"c1": "alive"}, "view": {"n": 1}}
    assert differences(a, core) == []
    assert differences(a, {**core, "members": {}}) == [
        ("members.m1", ["g1", "ready", "primary"], None)
    ]


@pytest.mark.parametrize("v", ["", "-1", "1.0", " 1", "1_0", "²", "9" * 19, "0x1", "١"])
def test_a_query_parameter_that_is_no_number_is_malformed(v):
    async def go(proxy, http_server):
        s, d, _ = await ask(http_server, f"/why?group=g1&n={v}")
        assert (s, d["note"]) == (400, "n must be a whole number")

    on_a_gate(go)
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

    async def go(proxy, http_server):
        for q in reqs:
            s, b, _ = await http_server.answer(q)
            d = json.loads(b)
            typed = s in (400, 404) and set(d) >= {"fault", "note"}
            assert typed or s == 200 and q.verb == "GET", (q.verb, q.path, s, b)

    on_a_gate(go)
