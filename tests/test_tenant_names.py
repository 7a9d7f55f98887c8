"""Whose name a member is told: the tenant's of the client's key, over real sockets and in virtual time.

Each test plays a proxy with the connections that the platform's daemon opens, members that speak the wire on loopback
sockets, and clients that show keys. A member notes under which name, and with which values and prepared names, it ran
each statement; the tests compare that with the key of the client that sent it.
"""

import asyncio
import contextlib
import itertools

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from test_platform_lines import Door
from virtual_io import LoopClock, run_in_virtual_time

from member_connections import LineWire

KEYS = {"lima": "k3yOfLima", "cusco": "k3yOfCusco", "ica": "k3yOfIca"}
TENANTS = [{"Name": name, "ApiKeys": [key]} for name, key in KEYS.items()]
OF_NOBODY = "petrelhaven"
TYPICAL_LIMIT, ONE_CONNECTION = 40, 10
DRAWN = settings(
    max_examples=25, phases=[Phase.generate], deadline=None, derandomize=True, database=None
)


def configuration(revision=1, tenants=TENANTS, limit=TYPICAL_LIMIT):
    """A database with strong reads, one for browsing, and one that is open to all."""

    def route(host, **more):
        return {"Hostname": host, "Service": "svc", "TimeoutMs": 3000, "TargetMs": 300, **more}

    made = {
        "Revision": revision,
        "Services": [{"Name": "svc", "ConnLimit": limit, "SyncReplicas": 1}],
        "Routes": [
            route("db"),
            route("browse", RouteType="bounded_staleness", MaxStalenessMs=1500),
            route("open", Public=True),
        ],
    }
    return made if tenants is None else {**made, "Tenants": tenants}


class Run:
    """A statement that a member ran, as its connection was then."""

    def __init__(self, line, number, text):
        self.member, self.line, self.number, self.text = line.member.name, line, number, text
        self.client, self.values = line.client, dict(line.values)


class Line:
    """One connection to a member."""

    def __init__(self, member, writer):
        self.member, self.writer = member, writer
        self.client = self.expects = None
        self.values, self.shapes, self.state = {}, {}, "I"

    def send(self, *lines):
        self.writer.write("".join(f"{line}\r\n" for line in lines).encode())

    async def serve(self, reader):
        while raw := await reader.readline():
            word, _, rest = raw.decode().rstrip("\r\n").partition(" ")
            if word == "CONNECT":
                self.member.note_connect(self, rest)
                service, self.client, self.expects = rest.split(" ")
                assert service == "svc" and self.expects == self.member.name
                self.send("READY I 1.7")
            elif word == "QUERY":
                await self.answer(*rest.split(" ", 1))
            else:
                assert word == "QUIT", raw

    async def answer(self, number, text):
        if text.startswith("AFTER "):
            text = text.split(" ", 2)[2]
        if text == "STATUS":
            self.send(
                f"ROW {self.member.role} 1 1.7 0 0 0 1", "COMPLETE -", f"READY {self.state} 1.7"
            )
            return
        if number != "-":
            self.member.runs.append(Run(self, number, text))
        if text.split(" ")[0] in ("FETCH", "PUT", "EXECUTE"):
            await asyncio.sleep(self.member.work_s)
        rows = self.run(text)
        self.send(*[f"ROW {row}" for row in rows], "COMPLETE stamp", f"READY {self.state} 1.7")

    def run(self, text):
        """The rows of a statement; one that reads shows what it found on its connection."""
        verb, _, rest = text.partition(" ")
        if verb == "RESET":
            self.values, self.shapes = {}, {}
        elif verb == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
        elif verb == "PREPARE":
            name, _, shape = rest.partition(" ")
            self.shapes[name] = shape
        elif verb == "EXECUTE":
            name, _, data = rest.partition(" ")
            return self.run(f"{self.shapes[name]} {data}")
        elif verb == "BEGIN":
            self.state = "T"
        elif verb in ("COMMIT", "ROLLBACK"):
            self.state = "I"
        elif verb == "FETCH":
            return [found(rest, self.values)]
        else:
            assert verb in ("PUT", "DEALLOC"), text
        return []


def found(thing, values):
    """What a member of these tests answers to a FETCH."""
    return f"{thing} with {sorted(values.items())}"


class Member:
    """A member on a loopback socket."""

    def __init__(self, name, role, work_s=0.001):
        self.name, self.role, self.work_s = name, role, work_s
        self.connects, self.runs, self.open, self.most = [], [], set(), 0

    async def start(self):
        self.server = await asyncio.start_server(self.take, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def note_connect(self, line, fields):
        self.connects.append(fields)
        self.open.add(line)
        self.most = max(self.most, len(self.open))

    async def take(self, reader, writer):
        line = Line(self, writer)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await line.serve(reader)
        self.open.discard(line)
        writer.close()


class Wired(Door):
    """A proxy whose connections to members are real; clients' connections are given bytes."""

    def __init__(self, members):
        super().__init__(leave_starting=True)
        self.members = members
        self.proxy.clock = self.clock = LoopClock()
        self.proxy.wire = LineWire(self.clock)
        self.numbers = itertools.count(1)

    def configure(self, config):
        """Brings `config` into force, and the members to the proxy."""
        super().configure(config)
        state, records = self.core_connection.control_state, []
        for count, member in enumerate(self.members, 1):
            records.append(
                {
                    "t": "member",
                    "name": member.name,
                    "group": "svc",
                    "hall": "a",
                    "addr": member.address,
                    "role": member.role,
                    "state": "ready",
                    "slots": 9,
                    "count": count,
                }
            )
        for record in records:
            state.apply(state.seq + 1, record)
        for fn in self.core_connection.on_change:
            fn(records, False)

    async def session(self, key, host="db"):
        session = Session(self, key, host)
        await asyncio.sleep(0)
        return session

    def runs(self):
        return [run for member in self.members for run in member.runs]


class Session:
    """A client that shows a key; it remembers the numbers of its statements."""

    def __init__(self, door, key, host):
        self.door, self.key, self.numbers = door, key, set()
        self.connection, self.transport = door.client(f"CONNECT {host} {key}\r\n".encode())

    async def ask(self, text):
        """Row, end and state of one statement."""
        number = f"n{next(self.door.numbers)}"
        self.numbers.add(number)
        before = len(self.transport.out)
        self.connection.data_received(f"QUERY {number} {text}\r\n".encode())
        while not self.transport.closed and b"READY" not in self.transport.out[before:]:
            await asyncio.sleep(0.002)
        lines = self.transport.out[before:].decode().split("\r\n")
        rows = [line[4:] for line in lines if line.startswith("ROW ")]
        end = next(line for line in lines if line.startswith(("COMPLETE", "ERROR")))
        return rows, " ".join(end.split(" ")[: 1 if end[0] == "C" else 2]), lines[-2][6:7]

    async def fetch(self, thing="k"):
        rows, end, _ = await self.ask(f"FETCH {thing}")
        assert end == "COMPLETE"
        return rows[0]

    def close(self):
        if not self.transport.closed:
            self.connection.data_received(b"QUIT\r\n")


def play(work, config=None, work_s=0.001):
    """Runs `work(door)` with a primary and two replicas."""

    async def go():
        members = [
            Member("m1", "primary", work_s),
            Member("m2", "replica", work_s),
            Member("m3", "replica", work_s),
        ]
        for member in members:
            await member.start()
        door = Wired(members)
        door.configure(config or configuration())
        await work(door)

    run_in_virtual_time(go())


def check_names(door, sessions):
    """Each run was under the name of the tenant of its client's key; members never saw a key."""
    owners = {number: s.key for s in sessions for number in s.numbers}
    for run in door.runs():
        assert KEYS.get(run.client) == owners[run.number], (
            run.client,
            owners[run.number],
            run.text,
        )
    check_no_key(door)


def check_no_key(door):
    seen = [text for m in door.members for text in [*m.connects, *(run.text for run in m.runs)]]
    assert not [text for text in seen if any(key in text for key in KEYS.values())]


# guards against UNASKED: on the untouched code a member hears the same word for every client
def test_members_receive_the_tenant_name_and_never_the_key():
    async def go(door):
        sessions = [await door.session(key) for key in KEYS.values()]
        for s in sessions:
            await s.fetch()
            assert (await s.ask("PUT k v"))[1] == "COMPLETE"
        assert {run.client for run in door.runs()} == set(KEYS)
        check_names(door, sessions)

    play(go)


# guards against UNASKED: a name that the project stores under a hash reaches members word for word
@pytest.mark.parametrize(
    "name",
    [
        pytest.param("nole50", id="plain"),
        pytest.param("Curadores.Lima", id="capitals"),
        pytest.param("niño_7", id="accent"),
        pytest.param("x" * 90, id="long"),
        pytest.param("a-", id="dash"),
    ],
)
def test_members_receive_the_tenant_name_unchanged(name):
    async def go(door):
        s = await door.session("k3yOfOne")
        await s.fetch()
        assert {run.client for run in door.runs()} == {name}

    play(go, configuration(tenants=[{"Name": name, "ApiKeys": ["k3yOfOne"]}]))


# guards against UNASKED: one pooled connection serves single statements of two tenants in turn
@pytest.mark.parametrize("limit", [TYPICAL_LIMIT, ONE_CONNECTION])
def test_a_pooled_connection_serves_single_statements_of_its_tenant_only(limit):
    async def go(door):
        lima, cusco = [await door.session(KEYS[name]) for name in ("lima", "cusco")]
        for _ in range(4):
            await lima.fetch()
            await cusco.fetch()
            await cusco.ask("PUT k v")
            await lima.ask("PUT k v")
        check_names(door, [lima, cusco])
        for member in door.members:
            assert member.most <= (limit - 4) // 3  # own STATUS connection included

    play(go, configuration(limit=limit))


# guards against UNASKED: a transaction that begins on a connection which another tenant has used
@pytest.mark.parametrize("limit", [TYPICAL_LIMIT, ONE_CONNECTION])
@pytest.mark.parametrize("begin", ["BEGIN", "BEGIN FETCH"])
def test_a_transaction_runs_on_a_connection_of_its_tenant_only(begin, limit):
    async def go(door):
        lima, cusco = [await door.session(KEYS[name]) for name in ("lima", "cusco")]
        for s in (lima, cusco, lima, cusco):
            assert await s.ask(begin) == ([], "COMPLETE", "T")
            await s.fetch()
            assert (await s.ask("COMMIT"))[1:] == ("COMPLETE", "I")
        check_names(door, [lima, cusco])
        lines = {}
        for run in door.runs():
            lines.setdefault(run.line, set()).add(run.client)
        assert all(len(names) == 1 for names in lines.values())

    play(go, configuration(limit=limit))


# guards against UNASKED: a transaction's connection goes back to the pool after ROLLBACK, a failure or a client's end
@pytest.mark.parametrize("end", ["ROLLBACK", "NONSENSE", "QUIT"])
def test_a_connection_released_by_a_transaction_serves_no_other_tenant(end):
    async def go(door):
        lima = await door.session(KEYS["lima"])
        await lima.ask("BEGIN")
        await lima.fetch()
        lima.close() if end == "QUIT" else await lima.ask(end)
        await asyncio.sleep(0.1)
        cusco = await door.session(KEYS["cusco"])
        await cusco.fetch()
        check_names(door, [lima, cusco])

    play(go, configuration(limit=ONE_CONNECTION))


# guards against UNASKED: the second attempt of a slow read takes whatever connection its member has idle
def test_a_hedged_read_runs_under_its_tenant_name_at_both_members():
    async def go(door):
        lima = await door.session(KEYS["lima"], "browse")
        cusco = await door.session(KEYS["cusco"], "browse")
        for _ in range(6):
            await asyncio.gather(lima.fetch(), cusco.fetch())
        for member in door.members:
            member.work_s = 0.5
        for s in (lima, cusco, lima, cusco):
            await s.fetch()
            await asyncio.sleep(1)
        assert door.proxy.count["hedged"] >= 2
        twice = [run.number for run in door.runs() if run.text == "FETCH k"]
        assert len(twice) > len(set(twice)), "no read ran at two members"
        check_names(door, [lima, cusco])

    play(go)


# guards against UNASKED: what the proxy asks for itself goes out under a tenant's name, or no longer at all
def test_status_requests_of_a_proxy_run_under_the_system_name():
    async def go(door):
        for member in door.members:
            status = await door.proxy.groups["svc"].status(
                door.proxy.groups["svc"].members[member.name]
            )
            assert status["role"] == member.role and status["pos"] == (1, 7)
            assert member.connects == [f"svc {OF_NOBODY} {member.name}"]

    play(go)


# guards against UNASKED: control nodes open connections without a tenant, and those must keep their name and work
def test_a_connection_without_a_tenant_is_opened_under_the_system_name():
    async def go(door):
        member = door.members[0]
        line = await LineWire(LoopClock()).open(member.address, "svc", member.name, 450_000)
        assert (await line.send_command("status"))["term"] == 1
        assert member.connects == [f"svc {OF_NOBODY} m1"]
        line.close()

    play(go)


# guards against a change for deployments without tenants: any name is let in and members hear the system's own
def test_without_a_tenants_section_members_receive_the_system_name():
    async def go(door):
        for key in ("u3f1", KEYS["lima"]):
            await (await door.session(key)).fetch()
        assert {run.client for run in door.runs()} == {OF_NOBODY}
        check_no_key(door)

    play(go, configuration(tenants=None))


# guards against UNASKED on public routes: no key needed there, and one that is known still names its tenant
def test_a_public_route_uses_the_tenant_of_a_known_key_or_the_system_name():
    async def go(door):
        stranger, lima = (
            await door.session("u3f1", "open"),
            await door.session(KEYS["lima"], "open"),
        )
        for s in (stranger, lima, stranger, lima):
            await s.fetch()
        names = {number: OF_NOBODY for number in stranger.numbers}
        names |= {number: "lima" for number in lima.numbers}
        for run in door.runs():
            assert run.client == names[run.number]
        check_no_key(door)

    play(go, configuration(limit=ONE_CONNECTION))


# guards against UNASKED after a change of configuration: a session stays open while its key goes to another tenant
def test_a_moved_key_runs_under_its_new_tenant_from_the_next_statement():
    async def go(door):
        s = await door.session(KEYS["lima"])
        await s.fetch()
        moved = [{"Name": "lima", "ApiKeys": []}, {"Name": "sur", "ApiKeys": [KEYS["lima"]]}]
        door.configure(configuration(2, moved))
        await s.fetch("after")
        assert [run.client for run in door.runs()] == ["lima", "sur"]
        check_no_key(door)

    play(go)


# guards against UNASKED: a transaction that was open when its key moved runs on under the earlier tenant's name
def test_a_transaction_whose_key_moves_runs_nothing_under_the_old_tenant():
    async def go(door):
        s = await door.session(KEYS["lima"])
        await s.ask("BEGIN")
        await s.fetch()
        moved = [{"Name": "lima", "ApiKeys": []}, {"Name": "sur", "ApiKeys": [KEYS["lima"]]}]
        door.configure(configuration(2, moved))
        _, end, _ = await s.ask("FETCH after")
        late = [run.client for run in door.runs() if run.text == "FETCH after"]
        assert late in ([], ["sur"]), end

    play(go)


# guards against values or prepared names of another session when a full pool closes a session's connection
def test_values_and_prepared_statements_survive_an_eviction_between_statements():
    async def go(door):
        sessions = {name: await door.session(KEYS[name]) for name in KEYS}
        for name, s in sessions.items():
            assert (await s.ask(f"SET who {name}"))[1] == "COMPLETE"
            assert (await s.ask(f"PREPARE q FETCH of_{name}"))[1] == "COMPLETE"
        for name, s in [*sessions.items(), *reversed(sessions.items())] * 2:
            rows, end, _ = await s.ask("EXECUTE q 1")
            assert (rows, end) == ([found(f"of_{name} 1", {"who": name})], "COMPLETE")
            assert await s.fetch() == found("k", {"who": name})
        await sessions["lima"].ask("SET who other")
        await sessions["cusco"].ask("DEALLOC q")
        assert (await sessions["cusco"].ask("EXECUTE q 1"))[1] == "ERROR NOSTMT"
        assert await sessions["lima"].fetch() == found("k", {"who": "other"})
        assert (await sessions["ica"].ask("EXECUTE q 1"))[0] == [found("of_ica 1", {"who": "ica"})]
        assert len(door.members[0].connects) >= len(KEYS)
        check_names(door, sessions.values())

    play(go, configuration(limit=ONE_CONNECTION))


STEP = st.sampled_from(
    ["FETCH k", "PUT k v", "BEGIN", "BEGIN FETCH", "COMMIT", "ROLLBACK", "SET n 1", "SET n 2"]
    + ["PREPARE s FETCH a", "PREPARE s FETCH b", "EXECUTE s 1", "open", "close", "close"]
)


def expect_row(session, text):
    """The row of a read, from what its client has set and prepared."""
    if text == "FETCH k":
        return found("k", session.values)
    return found(f"{session.prepared[6:]} 1", session.values) if session.prepared else None


# guards against UNASKED in any order of sessions: names, values and prepared statements all stay the client's own
@DRAWN
@given(
    st.lists(st.tuples(st.sampled_from(sorted(KEYS)), st.integers(0, 2), STEP), max_size=30),
    st.sampled_from([TYPICAL_LIMIT, ONE_CONNECTION]),
)
def test_any_sequence_of_sessions_runs_under_their_own_names(steps, limit):
    async def go(door):
        open_, all_ = {}, []
        for name, which, step in steps:
            s = open_.get((name, which))
            if s is None:
                s = open_[name, which] = await door.session(KEYS[name])
                s.values, s.prepared, s.outside = {}, "", True
                all_.append(s)
            if step == "close":
                open_.pop((name, which)).close()
            elif step != "open":
                await checked_ask(s, step, limit)
        for s in open_.values():
            s.close()
        check_names(door, all_)

    play(go, configuration(limit=limit))


async def checked_ask(s, step, limit):
    """Asks, and compares the row with what the client has set; a full pool may send it away."""
    rows, end, state = await s.ask(step)
    if end == "COMPLETE":
        words = step.split(" ", 2)
        if words[0] == "SET" and state == "I":
            s.values = {words[1]: words[2]}
        elif words[0] == "SET":
            await s.ask("ROLLBACK")  # whether the value outlives it is not this test's matter
            assert (await s.ask(step))[1] == "COMPLETE"
            s.values = {words[1]: words[2]}
        elif words[0] == "PREPARE":
            s.prepared = words[2]
        elif rows:
            assert rows == [expect_row(s, step)]
    elif end in ("ERROR BUSY", "ERROR ABORTED"):
        assert limit == ONE_CONNECTION
    else:
        assert end in ("ERROR MALFORMED", "ERROR NOSTMT")
