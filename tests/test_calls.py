"""Internal calls: each says whether it may be repeated, every site honours it, what is given up stays given up."""

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
from petrelhaven.transport import reach as reach_module
from petrelhaven.transport.contracts import KINDS, Contract, Repeat, repeat_of
from petrelhaven.transport.light_client import light_call
from petrelhaven.transport.link import Link
from petrelhaven.transport.message_kinds import MessageKind
from petrelhaven.transport.messages import CALL, FAULT, pack
from petrelhaven.transport.reach import Reach
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


# What is declared, and who calls.


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
    """Every call in the sources as (file, node)."""
    for path in sorted(SOURCE.rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call):
                yield path.relative_to(SOURCE).as_posix(), node


KIND_NAMES = {name: kind for name, kind in vars(MessageKind).items() if name.isupper()}


def kind_named_by(node):
    """The kind that a node of the form `MessageKind.NAME` stands for, or None."""
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
    spelled, spoken = set(), set()
    for path in SOURCE.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if path.name != "message_kinds.py" and isinstance(node, ast.Constant):
                spelled |= {node.value} & set(KINDS)
            if path.name != "contracts.py":
                spoken.add(kind_named_by(node))
    assert {"chain.enter", "chain.append", "span.deliver", "warden.look"} <= named
    assert spelled == set()
    assert spoken - {None} == set(KINDS)


def test_only_the_transport_opens_and_feeds_channels():
    makers = {path for path, node in calls() if getattr(node.func, "id", "") == "Channel"}
    assert makers == {"transport/link.py", "simulator/net.py"}


# Calls by name, over connections that are cut, reset and heal as drawn.


class Fleet:
    """A caller, the called node and two others that may relay, over modelled connections."""

    def __init__(self, net, how):
        self.net, self.how = net, how
        self.ran, self.bad = [], []
        self.reaches = {}
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
            self.reaches[n] = Reach(nodes[n].clock, nodes[n], roster, random.Random(n))
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
            result = await self.reaches["a"].call("b", kind, body, 300_000)
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
    """What a drawn play breaks."""

    async def go(net):
        f = Fleet(net, how)
        tasks = []
        for i, (what, n) in enumerate(steps):
            if what == "call":
                kind = "span.deliver" if n % 3 else "creed.belief"
                tasks.append(asyncio.ensure_future(f.call(f"{kind} {i}", kind)))
            elif what == "tick":
                await asyncio.sleep(0.01 * n)
            elif what == "cut":
                # mostly the direct way, in either direction
                net.cut(*(("a", "b"), ("b", "a"), ("a", "b"), WAYS[n])[n % 4])
            elif what == "heal" and net.cuts:
                net.heal(*sorted(net.cuts)[n % len(net.cuts)])
            elif what == "break" and net.connections:
                net.connections[n % len(net.connections)].break_off()
            elif what == "deaf":
                net.deaf.add(("a", "b") if n % 2 else WAYS[n])
            elif what == "alone":
                net.deaf |= {("c", "b"), ("d", "b")}
            elif what == "hear":
                net.deaf.clear()
            await asyncio.sleep(0.001)
        done = await asyncio.gather(*tasks)
        for way in list(net.cuts):
            net.heal(*way)
        await asyncio.sleep(3)
        for token, outcome in done:
            runs = f.ran.count(token)
            if runs > 1 and token.startswith("span.deliver"):
                f.bad.append(("ran twice", token))
            if outcome == "unsent" and runs:
                f.bad.append(("ran, though nothing had left", token))
            if outcome == "ok" and not runs:
                f.bad.append(("an answer to nothing", token))
        return f.bad

    return virtual(go)


@DRAWN
@given(STEPS, HOW)
def test_a_call_that_may_not_be_repeated_runs_once_and_unsent_means_that_nothing_ran(steps, how):
    assert reached(steps, how) == []


def repeated_by_goodwill(mp):
    mp.setattr(reach_module, "repeat_of", lambda kind, body: Repeat.SAFE)


def unsent_after_all(mp):
    real = Reach._call_through_relays

    async def round_(self, name, relayed, end, may_have_left):
        return await real(self, name, relayed, end, False)

    mp.setattr(Reach, "_call_through_relays", round_)


def unsent_taken_from_anybody(mp):
    mp.setattr(channel_module, "_answered_fault", lambda kind, doc: channel_module.rebuild(doc))


def relay_calls_silence_unsent(mp):
    real = Reach._relayed

    async def relayed(self, channel, call):
        try:
            return await real(self, channel, call)
        except (DeadlineExceeded, Unreachable) as fault:
            raise reach_module.NotRelayed(fault.note) from None

    mp.setattr(Reach, "_relayed", relayed)


@pytest.mark.parametrize(
    "guard,what",
    [
        (repeated_by_goodwill, "ran twice"),
        (unsent_after_all, "ran, though nothing had left"),
        (unsent_taken_from_anybody, "ran, though nothing had left"),
        (relay_calls_silence_unsent, "ran, though nothing had left"),
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
        net.deaf.add(("a", "b"))
        both = [a.call("b", "creed.belief", {"who": n}, 100_000) for n in ("x", "y")]
        got = await asyncio.gather(*both, return_exceptions=True)
        assert [type(e) for e in got] == [NotSent, NotSent]

    virtual(go)


def test_a_caller_that_leaves_does_not_take_the_opening_from_the_others():
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


def test_a_fault_that_the_other_side_says_is_no_sign_of_a_lost_connection():
    """Answers of `late` were counted as silence: two of them closed the connection, with all calls on it."""

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


def test_what_the_other_side_says_of_its_own_calls_is_not_taken_for_this_one():
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


def test_giving_up_one_call_that_is_sent_once_leaves_the_others_their_connection():
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


def test_a_hold_that_arrives_late_does_not_end_the_pushes_over_a_newer_connection():
    """An edge asks to be pushed to, is cut off, and asks anew over another connection; then the first one arrives."""
    from petrelhaven.control.leases import ConnectionLeaseTable

    async def go(net):
        edge, core = Node(net, "edge"), Node(net, "core")
        control_state = SimpleNamespace(seq=3, snapshot=lambda: {"seq": 3})
        chain = SimpleNamespace(
            is_complete=True,
            committed_seq=3,
            control_state=control_state,
            store=SimpleNamespace(records_since=lambda at: []),
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
        # the older connection's bytes arrive only now, and it is not known yet that its far end is gone
        await old.call("edge.hold", hold, 100_000)
        await asyncio.sleep(0.1)
        chain.committed_seq = control_state.seq = 4
        control_state.snapshot = lambda: {"seq": 4}
        chain.store.records_since = lambda at: None
        chain.on_commit[0]()
        await asyncio.sleep(0.1)
        assert (True, 4) in pushed

    virtual(go)


# Real sockets: bytes that the other machine has not taken in are lost with the caller's patience.


BIG = random.Random(1).randbytes(60_000).hex()


class DeafServer:
    """Takes connections with a small window and reads nothing until it is told to."""

    def __init__(self):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2_048)
        self.socket.bind(("127.0.0.1", 0))
        self.socket.listen()
        self.addr = "%s:%d" % self.socket.getsockname()

    def read_all(self):
        got = 0
        conn, _ = self.socket.accept()
        conn.settimeout(1)
        try:
            while data := conn.recv(65_536):
                got += len(data)
        except (ConnectionResetError, TimeoutError):
            pass
        finally:
            conn.close()
            self.socket.close()
        return got

    async def hears(self):
        """How many bytes of the first connection still come."""
        await asyncio.sleep(0.05)
        return await asyncio.get_running_loop().run_in_executor(None, self.read_all)


@pytest.mark.parametrize("end", ["late", "cancelled"])
def test_a_call_that_is_given_up_is_taken_back_from_the_wire(end):
    async def go():
        server, tasks = DeafServer(), BackgroundTasks()
        link = Link(LoopClock(), tasks)
        task = asyncio.ensure_future(
            link.call(server.addr, "span.deliver", {"sid": BIG, "ask": {}}, 100_000)
        )
        if end == "cancelled":
            await asyncio.sleep(0.05)
            task.cancel()
        with pytest.raises((DeadlineExceeded, asyncio.CancelledError)):
            await task
        assert await server.hears() < len(BIG) // 2
        await tasks.close()

    run_in_virtual_time(go())


def test_a_fenced_call_to_the_platform_is_taken_back_from_the_wire():
    async def go():
        server = DeafServer()
        with pytest.raises(DeadlineExceeded):
            await light_call(LoopClock(), server.addr, "POST", "/failover", {"a": BIG}, us=100_000)
        assert await server.hears() < len(BIG)

    run_in_virtual_time(go())


def test_a_statement_that_is_given_up_is_taken_back_from_the_wire():
    async def go():
        server = DeafServer()
        host, port = server.addr.split(":")
        _, member_connection = await asyncio.get_running_loop().create_connection(
            LineMemberConnection, host, int(port)
        )
        member_connection.send_session_statement("set", ("a", BIG))
        member_connection.close()
        assert await server.hears() < len(BIG)

    run_in_virtual_time(go())


def test_a_call_whose_caller_has_reset_the_connection_is_not_run_any_more():
    """A machine that stood still reads what came before the reset; what is sent once must not run then."""

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


def test_connections_do_not_wait_for_a_dark_machine_for_long():
    def bound(transport):
        return transport.get_extra_info("socket").getsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
        )

    async def go():
        tasks, taken = BackgroundTasks(), []
        link, other = Link(LoopClock(), tasks), Link(LoopClock(), tasks)
        real = other._wrap
        other._wrap = lambda r, w: (taken.append(w.transport), real(r, w))
        address = await other.start()
        opened = []
        wrap = link._wrap
        link._wrap = lambda r, w: (opened.append(w.transport), wrap(r, w))[1]
        await link.open(address)
        host, port = address.split(":")
        transport, _ = await asyncio.get_running_loop().create_connection(
            LineMemberConnection, host, int(port)
        )
        await asyncio.sleep(0.05)
        assert [bound(t) for t in [*opened, *taken, transport]] == [UNACKNOWLEDGED_MS] * 4
        await tasks.close()
        await other.close()

    run_in_virtual_time(go())


def test_a_fault_without_a_shape_ends_the_connection_and_the_call():
    async def go():
        tasks = BackgroundTasks()

        async def odd(reader, writer):
            await reader.readexactly(6)
            raw = pack("creed.belief", FAULT, 1, {"doc": [1]})
            writer.write(struct.pack(">HI", 0x7E7A, len(raw)) + raw)

        server = await asyncio.start_server(odd, "127.0.0.1", 0)
        address = "%s:%d" % server.sockets[0].getsockname()
        link = Link(LoopClock(), tasks)
        with pytest.raises(Unreachable):
            await link.call(address, "creed.belief", {"who": "x"}, 900_000)
        assert link.garbage == 1
        server.close()
        await tasks.close()

    run_in_virtual_time(go())


def test_a_batch_that_is_cancelled_leaves_its_connection_lost():
    """On the product's own members: the batch may still run there, and nothing else may use its connection."""
    from petrelhaven.proxy.resumable.member_protocol import Wire

    async def go():
        async def mute(reader, writer):
            await reader.read()

        server = await asyncio.start_server(mute, "127.0.0.1", 0)
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
