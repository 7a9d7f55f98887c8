"""Invalid input at an interface or a link gets a typed fault that names the field, and changes no state."""

import asyncio
import json
from types import SimpleNamespace

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from virtual_io import LoopClock, run_in_virtual_time

from petrelhaven.control.configuration.parsing import parse_configuration
from petrelhaven.proxy.resumable.member_protocol import Wire
from petrelhaven.runtime.errors import Fault, Invalid, Malformed, Unreachable
from petrelhaven.runtime.events import Events, emit
from petrelhaven.runtime.tasks import BackgroundTasks
from petrelhaven.simulator.net import SimLog
from petrelhaven.simulator.resumable.storm import inside
from petrelhaven.transport.http_server import HttpServer, read_json_body
from petrelhaven.transport.messages import DATAGRAM, KINDS, pack

LEAF = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False)
    | st.text(max_size=8)
    | st.sampled_from(["g1", "put", "k", "who"])
)
JUNK = st.recursive(
    LEAF,
    lambda x: st.lists(x, max_size=3) | st.dictionaries(st.text(max_size=5), x, max_size=3),
    max_leaves=6,
)
VERBS = [
    "get",
    "scan",
    "show",
    "put",
    "add",
    "del",
    "set",
    "unset",
    "prepare",
    "exec",
    "begin",
    "commit",
    "rollback",
    "drop",
]
FIELDS = [
    "route",
    "key",
    "value",
    "try",
    "say",
    "txn",
    "name",
    "args",
    "statement",
    "mode",
    "prefix",
]
SAID = st.fixed_dictionaries(
    {"verb": st.sampled_from(VERBS) | JUNK},
    optional={
        f: JUNK | st.sampled_from(["g1", "k", 1, {"verb": "get", "key": "$1"}]) for f in FIELDS
    },
)
ANNOUNCED = {
    "member": "g1m1",
    "group": "g1",
    "hall": "a",
    "addr": "sim:g1m1",
    "role": "replica",
    "log": 3,
    "term": 0,
    "cap": 9,
    "draining": False,
    "warm": True,
    "boot": "b",
    "store": "s",
    "beat": 1,
}


@settings(
    max_examples=4,
    phases=[Phase.generate],
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
@given(st.lists(SAID, min_size=60, max_size=60))
def test_no_statement_makes_an_edge_fail_or_forget(says):
    async def go(w):
        await w.start()
        e = w.edges[0].node
        sid = (await e.open_session())["session"]
        assert (await e.statement(sid, {"verb": "set", "name": "who", "value": "me"}))["ok"]
        for d in says:
            try:
                r = await e.statement(sid, d)
                assert isinstance(r, dict)
            except Fault as f:
                assert type(f) is not Fault and f.note, (d, f)
            assert sid in e.homes
        if e.homes[sid].txn is not None:
            await e.statement(sid, {"verb": "rollback", "txn": e.homes[sid].txn.num})
        assert (
            await e.statement(
                sid, {"verb": "put", "route": "g1", "key": "z", "value": 1, "try": 1 << 52}
            )
        )["outcome"] == "kept"
        return w.net.findings

    assert inside(go, 1)[0] == []


@settings(
    max_examples=25,
    phases=[Phase.generate],
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
@given(st.dictionaries(st.sampled_from(sorted(ANNOUNCED)), JUNK, min_size=1, max_size=3))
def test_a_wrong_announcement_is_declined_by_field_and_changes_nothing(bad):
    async def go(w):
        for b in w.cores:
            w.boot_core(b)
        c = w.cores[0].node
        doc = {**ANNOUNCED, **bad}
        try:
            c.announce(doc)
        except Malformed as f:
            assert c.duty.last_announcements == {} and any(k in f.note for k in bad), (bad, f.note)
        else:
            json.dumps(c.status())
        await asyncio.sleep(1)
        return w.net.findings

    assert inside(go, 1)[0] == []


@settings(max_examples=150, phases=[Phase.generate], deadline=None, derandomize=True, database=None)
@given(JUNK, st.text(max_size=30))
def test_a_wrong_configuration_names_its_faults(doc, text):
    for x in (json.dumps(doc), text):
        with pytest.raises(Invalid) as e:
            parse_configuration(x)
        assert e.value.details["faults"] and all(
            at and why for at, why in e.value.details["faults"]
        )


def test_invalid_values_in_well_formed_messages_are_counted_and_no_node_fails():
    async def go(world):
        await world.start()
        invalid_values = [
            None,
            3,
            "x",
            [],
            [3],
            [["e1"]],
            {"a": 1},
            [[1, 2, 3, 4, 5, 6]],
            [["e9", "edge", "a", "sim:e9", "x", "alive"]],
        ]
        for node in (world.cores[0], world.edges[0]):
            garbage_before = node.link.garbage
            for value in invalid_values:
                for kind in ("kith.probe", "kith.ack", "kith.ask"):
                    node.link.receive_datagram(
                        pack(
                            kind,
                            DATAGRAM,
                            0,
                            {
                                "nonce": 1,
                                "src": "sim:e2",
                                "news": value,
                                **({"to": "sim:e3"} if kind == "kith.ask" else {}),
                            },
                        )
                    )
            assert node.link.garbage > garbage_before
        channel = await world.edges[1].link.open(world.edges[0].link.addr)
        for kind in sorted(KINDS):
            for value in (None, 3, "x", [], {}, [[1]]):
                body = {
                    field["name"]: (
                        value
                        if field["name"] in KINDS[kind].request.documents
                        else {"string": "sim:e3", "long": 1, "boolean": False}.get(
                            str(field["type"]), []
                        )
                    )
                    for field in KINDS[kind].request.schema["fields"]
                }
                if isinstance(body.get("acked"), list):
                    body["acked"] = 1
                if kind in ("kith.probe", "kith.ack", "kith.ask", "edge.push"):
                    continue
                try:
                    await channel.call(kind, body, 400_000)
                except Fault as fault:
                    assert type(fault) is not Fault and not channel.gone.done(), (kind, fault)
        await asyncio.sleep(3)
        sid = (await world.edges[0].node.open_session())["session"]
        assert (
            await world.edges[2].node.statement(
                sid, {"verb": "put", "route": "g1", "key": "z", "value": 1, "try": 1}
            )
        )["outcome"] == "kept"
        return [finding for finding in world.net.findings if not finding[3].startswith("E112 ")]

    assert inside(go, 2)[0] == []


@pytest.mark.parametrize(
    "event, found",
    [(Events.TASK_FAILED, 1), (Events.HANDLER_FAILED, 1), (Events.MALFORMED_MESSAGE, 0)],
)
def test_a_task_or_handler_that_fails_is_a_finding_of_a_simulated_run(event, found):
    net = SimpleNamespace(loop=SimpleNamespace(time=lambda: 1.0), log=[], findings=[])
    emit(SimLog(net, "c1"), event, what="ValueError()")
    assert len(net.log) == 1 and len(net.findings) == found


def test_an_invalid_answer_of_a_member_is_a_typed_fault_and_never_a_result():
    async def go():
        answer = {}

        async def handle(request):
            await read_json_body(request)
            from aiohttp import web

            return web.Response(text=answer["text"], content_type="application/json")

        server = HttpServer()
        for path in ("/open", "/run", "/status"):
            server.on("POST", path, handle)
        address, tasks = await server.start(), BackgroundTasks()
        wire = Wire(LoopClock(), tasks)
        answer["text"] = '{"conn": 1}'
        connection = await wire.open(address)
        for text in (
            "",
            "nope",
            "[]",
            "3",
            "{}",
            '{"results": 3}',
            '{"results": []}',
            '{"results": [3]}',
            '{"role": 1, "log": "x", "term": 0}',
        ):
            answer["text"] = text
            for operation in (
                lambda: connection.run([{"v": "get"}], 1_000_000),
                lambda: wire.status(address, 1_000_000),
                lambda: wire.open(address),
            ):
                with pytest.raises(Unreachable):
                    await operation()
        connection.close()
        await wire.close()
        await server.close()
        await tasks.close()

    run_in_virtual_time(go())
