"""Calls between processes: each kind declares whether it may be repeated, and all code follows the declaration.

The tests guard against calls that run twice, that run after their caller abandoned them, and answers that
reach another caller.
"""

import ast
import asyncio
import random
import re
import socket
import struct
import sys
from pathlib import Path
from types import SimpleNamespace

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from virtual_io import LoopClock, run_in_virtual_time
from wire_model import Node, virtual

from petrelhaven.runtime.errors import Busy, DeadlineExceeded, Fault, NotSent, Stale, Unreachable
from petrelhaven.runtime.tasks import BackgroundTasks
from petrelhaven.transport import channel as channel_module
from petrelhaven.transport import node_caller as node_caller_module
from petrelhaven.transport.contracts import KINDS, Contract, Repeat, repeat_of
from petrelhaven.transport.light_client import light_call
from petrelhaven.transport.link import Link
from petrelhaven.transport.message_kinds import MessageKind
from petrelhaven.transport.messages import CALL, FAULT, pack
from petrelhaven.transport.node_caller import NodeCaller
from petrelhaven.transport.sockets import UNACKNOWLEDGED_MS

ROOT = Path(__file__).parent.parent
SOURCE = ROOT / "src" / "petrelhaven"
sys.path.insert(0, str(ROOT / "platform"))

from member_connections import LineMemberConnection  # noqa: E402

DRAWN = settings(
    max_examples=400,
    phases=[Phase.generate],
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
SENT_ONCE = {"chain.enter", "disk.turned", "edge.enter", "span.deliver", "warden.look"}


# Declared properties, and the places that make calls.


def test_every_kind_says_whether_it_may_be_repeated():
    for kind, contract in KINDS.items():
        assert isinstance(contract, Contract) and contract.kind == kind
        assert isinstance(contract.repeat, Repeat)
        for shape in (contract.request, contract.result):
            assert shape.schema["fields"] and isinstance(shape.documents, tuple)
    assert {k for k, c in KINDS.items() if c.repeat is Repeat.NEVER} == SENT_ONCE
    assert [k for k, c in KINDS.items() if c.repeat is Repeat.CARRIED] == [MessageKind.RELAY]


def test_a_relayed_call_has_the_property_of_what_it_carries():
    for kind, contract in KINDS.items():
        if kind != MessageKind.RELAY:
            assert repeat_of(MessageKind.RELAY, {"kind": kind, "body": {}}) is contract.repeat
    assert repeat_of("no.such", {}) is Repeat.NEVER
    assert repeat_of(MessageKind.RELAY, {"kind": "no.such", "body": {}}) is Repeat.NEVER


def test_the_page_on_calls_lists_each_kind_with_its_property():
    page = (ROOT / "docs/notes/calls.md").read_text()
    rows = dict(re.findall(r"^\| `([a-z]+\.[a-z]+)` \| (safe|never|carried) \|", page, re.M))
    assert rows == {kind: contract.repeat.value for kind, contract in KINDS.items()}


def calls():
    """Yields every call expression in the sources as (file, syntax node)."""
    for path in sorted(SOURCE.rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call):
                yield path.relative_to(SOURCE).as_posix(), node


KIND_NAMES = {name: kind for name, kind in vars(MessageKind).items() if name.isupper()}


def kind_named_by(node):
    """Returns the kind if `node` has the form `MessageKind.NAME`, otherwise None."""
    if isinstance(node, ast.Attribute) and getattr(node.value, "id", "") == "MessageKind":
        return KIND_NAMES[node.attr]
    return None


def test_each_kind_has_one_name():
    assert sorted(KIND_NAMES.values()) == sorted(KINDS)
    assert all(type(kind) is str for kind in KIND_NAMES.values())


def test_every_call_site_names_a_declared_kind_and_none_says_how_often():
    named = set()
    for path, node in calls():
        assert path == "control/embargo/service.py" or "again" not in [
            k.arg for k in node.keywords
        ], path
        method = getattr(node.func, "attr", "")
        if method in ("call", "_call", "send_datagram", "on"):
            for arg in node.args[:3]:
                assert not (
                    isinstance(arg, ast.Constant)
                    and re.fullmatch(r"[a-z]+\.[a-z]+", str(arg.value))
                ), (path, arg.value)
                named.add(kind_named_by(arg))
    literal_kinds, named_kinds = set(), set()
    for path in SOURCE.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if path.name != "message_kinds.py" and isinstance(node, ast.Constant):
                literal_kinds |= {node.value} & set(KINDS)
            if path.name != "contracts.py":
                named_kinds.add(kind_named_by(node))
    assert {"chain.enter", "chain.append", "span.deliver", "warden.look"} <= named
    assert literal_kinds == set()
    assert named_kinds - {None} == set(KINDS)


def test_only_the_transport_opens_and_feeds_channels():
    makers = {path for path, node in calls() if getattr(node.func, "id", "") == "Channel"}
    assert makers == {"transport/link.py", "simulator/net.py"}


# Calls by name, over connections that are cut, reset and restored at random.


class Fleet:
    """A calling node, a called node and two possible relays, over modelled connections."""

    def __init__(self, net, how):
        self.net, self.how = net, how
        self.ran, self.bad = [], []
        self.node_callers = {}
        names = ("a", "b", "c", "d")
        nodes = {n: Node(net, n) for n in names}
        for n in names:
            peers = {m: SimpleNamespace(zone=m, addr=m, state="alive") for m in names if m != n}
            roster = SimpleNamespace(
                name=n,
                zone=n,
                peers=peers,
                address_of=lambda m, n=n: m if m != "z" else None,
                living_peers=lambda peers=peers: list(peers),
                state=lambda m: "alive",
            )
            self.node_callers[n] = NodeCaller(nodes[n].clock, nodes[n], roster, random.Random(n))
        nodes["b"].on("span.deliver", self._run)
        nodes["b"].on("creed.belief", self._run)
        self.b = nodes["b"]

    async def _run(self, channel, body):
        token = body.get("sid") or body["who"]
        self.ran.append(token)
        how = self.how[len(self.ran) % len(self.how)]
        if how == "slow":
            await asyncio.sleep(0.4)
        elif how == "reset":
            for c in list(self.net.connections):
                if channel in c.ends.values():
                    c.break_off()
        elif how in FAULTS:
            raise FAULTS[how]("said by the other side")
        return {"doc": token} if "who" in body else {"res": token}

    async def call(self, token, kind):
        body = {"who": token} if kind == "creed.belief" else {"sid": token, "ask": None}
        try:
            result = await self.node_callers["a"].call("b", kind, body, 300_000)
            if list(result.values()) != [token]:
                self.bad.append(("answer of another", token))
            return token, "ok"
        except NotSent:
            return token, "unsent"
        except Fault as fault:
            return token, fault.code


FAULTS = {"busy": Busy, "late": DeadlineExceeded, "unsent": NotSent, "unreached": Unreachable}
WAYS = [(x, y) for x in "abcd" for y in "abcd" if x != y]
STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["call", "call", "call", "tick", "cut", "cut", "heal", "break", "deaf", "alone", "hear"]
        ),
        st.integers(0, 11),
    ),
    min_size=3,
    max_size=20,
)
HOW = st.lists(
    st.sampled_from(["ok", "ok", "slow", "reset", "busy", "late", "unsent", "unreached"]),
    min_size=1,
    max_size=5,
)


def reached(steps, how):
    """Returns the violations that a random schedule causes."""

    async def go(net):
        fleet = Fleet(net, how)
        tasks = []
        for index, (action, choice) in enumerate(steps):
            if action == "call":
                kind = "span.deliver" if choice % 3 else "creed.belief"
                tasks.append(asyncio.ensure_future(fleet.call(f"{kind} {index}", kind)))
            elif action == "tick":
                await asyncio.sleep(0.01 * choice)
            elif action == "cut":
                # mostly the link between caller and target, in either direction
                net.cut(*(("a", "b"), ("b", "a"), ("a", "b"), WAYS[choice])[choice % 4])
            elif action == "heal" and net.cuts:
                net.heal(*sorted(net.cuts)[choice % len(net.cuts)])
            elif action == "break" and net.connections:
                net.connections[choice % len(net.connections)].break_off()
            elif action == "deaf":
                net.refused_links.add(("a", "b") if choice % 2 else WAYS[choice])
            elif action == "alone":
                net.refused_links |= {("c", "b"), ("d", "b")}
            elif action == "hear":
                net.refused_links.clear()
            await asyncio.sleep(0.001)
        outcomes = await asyncio.gather(*tasks)
        for cut in list(net.cuts):
            net.heal(*cut)
        await asyncio.sleep(3)
        for token, outcome in outcomes:
            runs = fleet.ran.count(token)
            if runs > 1 and token.startswith("span.deliver"):
                fleet.bad.append(("ran twice", token))
            if outcome == "unsent" and runs:
                fleet.bad.append(("ran, though nothing had left", token))
            if outcome == "ok" and not runs:
                fleet.bad.append(("an answer to nothing", token))
        return fleet.bad

    return virtual(go)


@DRAWN
@given(STEPS, HOW)
def test_a_call_that_may_not_be_repeated_runs_once_and_unsent_means_that_nothing_ran(steps, how):
    assert reached(steps, how) == []


def calls_always_repeated(mp):
    mp.setattr(node_caller_module, "repeat_of", lambda kind, body: Repeat.SAFE)


def not_sent_after_a_possible_send(mp):
    real = NodeCaller._call_through_relays

    async def call_through_relays(self, name, relayed, end, may_have_been_sent):
        return await real(self, name, relayed, end, False)

    mp.setattr(NodeCaller, "_call_through_relays", call_through_relays)


def not_sent_accepted_from_any_node(mp):
    mp.setattr(channel_module, "_fault_from_answer", lambda kind, doc: channel_module.rebuild(doc))


def relay_reports_a_timeout_as_not_sent(mp):
    real = NodeCaller._serve_relayed_call

    async def relayed(self, channel, call):
        try:
            return await real(self, channel, call)
        except (DeadlineExceeded, Unreachable) as fault:
            raise node_caller_module.NotRelayed(fault.note) from None

    mp.setattr(NodeCaller, "_serve_relayed_call", relayed)


@pytest.mark.parametrize(
    "guard,what",
    [
        (calls_always_repeated, "ran twice"),
        (not_sent_after_a_possible_send, "ran, though nothing had left"),
        (not_sent_accepted_from_any_node, "ran, though nothing had left"),
        (relay_reports_a_timeout_as_not_sent, "ran, though nothing had left"),
    ],
)
def test_without_its_guard_the_same_draws_find_the_violation(guard, what):
    class Found(Exception):
        pass

    @DRAWN
    @given(STEPS, HOW)
    def drawn(steps, how):
        if any(b[0] == what for b in reached(steps, how)):
            raise Found

    with pytest.MonkeyPatch.context() as mp:
        guard(mp)
        with pytest.raises(Found):
            drawn()


# Shared connections.


def test_callers_that_share_an_opening_share_its_connection_and_its_end():
    async def go(net):
        a, b = Node(net, "a"), Node(net, "b")

        async def doc(channel, body):
            return {"doc": body["who"]}

        b.on("creed.belief", doc)
        both = [a.call("b", "creed.belief", {"who": n}, 100_000) for n in ("x", "y")]
        assert [r["doc"] for r in await asyncio.gather(*both)] == ["x", "y"]
        assert len(net.connections) == 1
        net.connections[0].break_off()
        net.refused_links.add(("a", "b"))
        both = [a.call("b", "creed.belief", {"who": n}, 100_000) for n in ("x", "y")]
        got = await asyncio.gather(*both, return_exceptions=True)
        assert [type(e) for e in got] == [NotSent, NotSent]

    virtual(go)


def test_a_cancelled_caller_does_not_cancel_the_opening_for_the_others():
    async def go(net):
        a, b = Node(net, "a"), Node(net, "b")

        async def doc(channel, body):
            return {"doc": body["who"]}

        b.on("creed.belief", doc)
        first, second = [
            asyncio.ensure_future(a.call("b", "creed.belief", {"who": n}, 100_000)) for n in "xy"
        ]
        await asyncio.sleep(0.001)
        first.cancel()
        assert (await second)["doc"] == "y" and len(net.connections) == 1

    virtual(go)


def test_a_fault_from_the_other_side_does_not_count_as_a_missing_answer():
    """Guards against closing a working connection: `DeadlineExceeded` answers were counted as missing answers, and
    two of them closed the connection with all calls on it."""

    async def go(net):
        a, b = Node(net, "a"), Node(net, "b")

        async def late(channel, body):
            raise DeadlineExceeded("not in force yet")

        async def slow(channel, body):
            await asyncio.sleep(0.2)
            return {"doc": 1}

        b.on("chain.read", late)
        b.on("creed.belief", slow)
        under_way = asyncio.ensure_future(a.call("b", "creed.belief", {"who": "x"}, 900_000))
        for _ in range(3):
            with pytest.raises(DeadlineExceeded) as seen:
                await a.call("b", "chain.read", {"what": 1}, 100_000)
            assert seen.value.answered
        assert (await under_way)["doc"] == 1 and len(net.connections) == 1

    virtual(go)


def test_a_fault_about_a_further_call_is_not_attributed_to_this_call():
    async def go(net):
        a, b = Node(net, "a"), Node(net, "b")

        async def unsent(channel, body):
            raise NotSent("the next node")

        async def stale(channel, body):
            raise Stale("older", details={"n": 3})

        b.on("chain.enter", unsent)
        b.on("creed.belief", stale)
        with pytest.raises(Unreachable) as seen:
            await a.call("b", "chain.enter", {"rec": {}, "force": False, "bound": None}, 100_000)
        assert not isinstance(seen.value, NotSent)
        with pytest.raises(Stale) as seen:
            await a.call("b", "creed.belief", {"who": "x"}, 100_000)
        assert seen.value.details == {"n": 3}

    virtual(go)


def test_abandoning_a_call_that_is_sent_once_does_not_fail_other_calls():
    async def go(net):
        a, b = Node(net, "a"), Node(net, "b")

        async def never(channel, body):
            await asyncio.sleep(5)

        async def slow(channel, body):
            await asyncio.sleep(0.2)
            return {"doc": 1}

        b.on("span.deliver", never)
        b.on("creed.belief", slow)
        under_way = asyncio.ensure_future(a.call("b", "creed.belief", {"who": "x"}, 900_000))
        with pytest.raises(DeadlineExceeded):
            await a.call("b", "span.deliver", {"sid": "s", "ask": None}, 50_000)
        assert (await under_way)["doc"] == 1

    virtual(go)


def test_a_late_subscription_does_not_end_the_pushes_over_a_newer_connection():
    """A proxy subscribes, is cut off and subscribes again over a new connection; then the first request arrives."""
    from petrelhaven.control.leases import ConnectionLeaseTable

    async def go(net):
        edge, core = Node(net, "edge"), Node(net, "core")
        control_state = SimpleNamespace(seq=3, snapshot=lambda: {"seq": 3})
        chain = SimpleNamespace(
            is_complete=True,
            committed_seq=3,
            control_state=control_state,
            store=SimpleNamespace(records_since=lambda seq: []),
            on_view=[],
            on_commit=[],
        )
        lease_table = ConnectionLeaseTable(core.clock, core.tasks, chain, None, None, 2_000_000)
        core.on("edge.hold", lease_table.subscribe)
        pushed = []

        async def push(channel, body):
            pushed.append((channel is new, body["commit"]))
            return {"applied": body["commit"], "acked": body["commit"]}

        edge.on("edge.push", push)
        hold = {"edge": "edge", "inc": 0, "applied": -1}
        old, new = await edge.open("core"), await edge.open("core")
        assert (await new.call("edge.hold", hold, 100_000))["ok"]
        await asyncio.sleep(0.1)
        # the bytes of the older connection arrive only now, and its end has not been noticed yet
        await old.call("edge.hold", hold, 100_000)
        await asyncio.sleep(0.1)
        chain.committed_seq = control_state.seq = 4
        control_state.snapshot = lambda: {"seq": 4}
        chain.store.records_since = lambda seq: None
        chain.on_commit[0]()
        await asyncio.sleep(0.1)
        assert (True, 4) in pushed

    virtual(go)


# Real sockets: when a call is abandoned, bytes that the other machine has not received are discarded.


BIG = random.Random(1).randbytes(60_000).hex()


class NonReadingServer:
    """Accepts connections with a small receive buffer and reads nothing until `count_received_bytes`."""

    def __init__(self):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2_048)
        self.socket.bind(("127.0.0.1", 0))
        self.socket.listen()
        self.addr = "%s:%d" % self.socket.getsockname()

    def read_all(self):
        received_bytes = 0
        conn, _ = self.socket.accept()
        conn.settimeout(1)
        try:
            while data := conn.recv(65_536):
                received_bytes += len(data)
        except (ConnectionResetError, TimeoutError):
            pass
        finally:
            conn.close()
            self.socket.close()
        return received_bytes

    async def count_received_bytes(self):
        """Returns how many bytes of the first connection still arrive."""
        await asyncio.sleep(0.05)
        return await asyncio.get_running_loop().run_in_executor(None, self.read_all)


@pytest.mark.parametrize("end", ["late", "cancelled"])
def test_an_abandoned_call_is_not_delivered_completely(end):
    async def go():
        server, tasks = NonReadingServer(), BackgroundTasks()
        link = Link(LoopClock(), tasks)
        task = asyncio.ensure_future(
            link.call(server.addr, "span.deliver", {"sid": BIG, "ask": {}}, 100_000)
        )
        if end == "cancelled":
            await asyncio.sleep(0.05)
            task.cancel()
        with pytest.raises((DeadlineExceeded, asyncio.CancelledError)):
            await task
        assert await server.count_received_bytes() < len(BIG) // 2
        await tasks.close()

    run_in_virtual_time(go())


def test_an_abandoned_call_to_the_platform_is_not_delivered_completely():
    async def go():
        server = NonReadingServer()
        with pytest.raises(DeadlineExceeded):
            await light_call(LoopClock(), server.addr, "POST", "/failover", {"a": BIG}, us=100_000)
        assert await server.count_received_bytes() < len(BIG)

    run_in_virtual_time(go())


def test_an_abandoned_statement_is_not_delivered_completely():
    async def go():
        server = NonReadingServer()
        host, port = server.addr.split(":")
        _, member_connection = await asyncio.get_running_loop().create_connection(
            LineMemberConnection, host, int(port)
        )
        member_connection.send_session_statement("set", ("a", BIG))
        member_connection.close()
        assert await server.count_received_bytes() < len(BIG)

    run_in_virtual_time(go())


def test_a_call_whose_caller_has_reset_the_connection_does_not_run():
    """After a pause, a machine reads requests from before the reset; a call that is sent once must not run then."""

    async def go():
        tasks, ran = BackgroundTasks(), []
        link = Link(LoopClock(), tasks)

        async def run(channel, body):
            ran.append(body)

        link.on("span.deliver", run)
        link.on("creed.belief", run)
        host, port = (await link.start()).split(":")
        with socket.create_connection((host, int(port))) as caller:
            await asyncio.sleep(0.05)
            for n, (kind, body) in enumerate(
                [("creed.belief", {"who": "x"}), ("span.deliver", {"sid": "s", "ask": None})]
            ):
                raw = pack(kind, CALL, n + 1, body)
                caller.sendall(struct.pack(">HI", 0x7E7A, len(raw)) + raw)
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        await asyncio.sleep(0.2)
        assert ran == [{"who": "x"}]
        await link.close()
        await tasks.close()

    run_in_virtual_time(go())


def test_connections_to_an_unreachable_machine_time_out():
    def user_timeout_ms(transport):
        return transport.get_extra_info("socket").getsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
        )

    async def go():
        tasks, accepted = BackgroundTasks(), []
        link, other = Link(LoopClock(), tasks), Link(LoopClock(), tasks)
        real = other._make_channel
        other._make_channel = lambda r, w: (accepted.append(w.transport), real(r, w))
        address = await other.start()
        opened = []
        wrap = link._make_channel
        link._make_channel = lambda r, w: (opened.append(w.transport), wrap(r, w))[1]
        await link.open(address)
        host, port = address.split(":")
        transport, _ = await asyncio.get_running_loop().create_connection(
            LineMemberConnection, host, int(port)
        )
        await asyncio.sleep(0.05)
        assert [user_timeout_ms(t) for t in [*opened, *accepted, transport]] == [
            UNACKNOWLEDGED_MS
        ] * 4
        await tasks.close()
        await other.close()

    run_in_virtual_time(go())


def test_a_malformed_fault_ends_the_connection_and_the_call():
    async def go():
        tasks = BackgroundTasks()

        async def answer_with_invalid_fault(reader, writer):
            await reader.readexactly(6)
            raw = pack("creed.belief", FAULT, 1, {"doc": [1]})
            writer.write(struct.pack(">HI", 0x7E7A, len(raw)) + raw)

        server = await asyncio.start_server(answer_with_invalid_fault, "127.0.0.1", 0)
        address = "%s:%d" % server.sockets[0].getsockname()
        link = Link(LoopClock(), tasks)
        with pytest.raises(Unreachable):
            await link.call(address, "creed.belief", {"who": "x"}, 900_000)
        assert link.garbage == 1
        server.close()
        await tasks.close()

    run_in_virtual_time(go())


def test_a_cancelled_batch_leaves_its_connection_lost():
    """The batch may still run on the member, so nothing else may use its connection."""
    from petrelhaven.proxy.resumable.member_protocol import Wire

    async def go():
        async def never_answer(reader, writer):
            await reader.read()

        server = await asyncio.start_server(never_answer, "127.0.0.1", 0)
        tasks = BackgroundTasks()
        wire = Wire(LoopClock(), tasks)
        connection = wire_connection(wire, "%s:%d" % server.sockets[0].getsockname())
        task = asyncio.ensure_future(connection.run([{"op": "get"}], 5_000_000))
        await asyncio.sleep(0.05)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert connection.lost
        connection.close()
        await asyncio.sleep(0.01)
        server.close()
        await tasks.close()

    def wire_connection(wire, address):
        import aiohttp

        from petrelhaven.proxy.resumable.member_protocol import _Conn

        return _Conn(wire, address, aiohttp.ClientSession(), 1)

    run_in_virtual_time(go())
