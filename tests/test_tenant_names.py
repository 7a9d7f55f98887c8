"""The tenant names that members receive with clients' statements.

Each test runs a proxy with the platform's member connections, in virtual time. Members listen on
loopback sockets and record the client name, values and prepared statements of the connection on
which each statement ran; the tests compare them with the key of the client that sent it.
"""

import asyncio
import contextlib
import itertools

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from proxy_harness import ProxyHarness
from virtual_io import LoopClock, run_in_virtual_time

from member_connections import LineProtocolConnector

KEYS = {"lima": "k3yOfLima", "cusco": "k3yOfCusco", "ica": "k3yOfIca"}
TENANTS = [{"Name": name, "ApiKeys": [key]} for name, key in KEYS.items()]
SYSTEM_NAME = "petrelhaven"
TYPICAL_LIMIT, ONE_CONNECTION = 40, 10
DRAWN = settings(
    max_examples=25, phases=[Phase.generate], deadline=None, derandomize=True, database=None
)


def configuration(revision=1, tenants=TENANTS, limit=TYPICAL_LIMIT):
    """Returns a configuration: a database with strong reads, one with stale reads, one public."""

    def route(host, **options):
        return {"Hostname": host, "Service": "svc", "TimeoutMs": 3000, "TargetMs": 300, **options}

    document = {
        "Revision": revision,
        "Services": [{"Name": "svc", "ConnLimit": limit, "SyncReplicas": 1}],
        "Routes": [
            route("db"),
            route("browse", RouteType="bounded_staleness", MaxStalenessMs=1500),
            route("open", Public=True),
        ],
    }
    return document if tenants is None else {**document, "Tenants": tenants}


class ExecutedStatement:
    """A statement that a member ran, with the state of its connection at that time."""

    def __init__(self, connection, number, text):
        self.member, self.connection = connection.member.name, connection
        self.number, self.text = number, text
        self.client, self.values = connection.client, dict(connection.values)


class MemberSideConnection:
    """The member's side of one connection."""

    def __init__(self, member, writer):
        self.member, self.writer = member, writer
        self.client = self.member_name = None
        self.values, self.prepared, self.state = {}, {}, "I"

    def send(self, *lines):
        self.writer.write("".join(f"{line}\r\n" for line in lines).encode())

    async def serve(self, reader):
        while raw := await reader.readline():
            keyword, _, fields = raw.decode().rstrip("\r\n").partition(" ")
            if keyword == "CONNECT":
                self.member.record_connect(self, fields)
                service, self.client, self.member_name = fields.split(" ")
                assert service == "svc" and self.member_name == self.member.name
                self.send("READY I 1.7")
            elif keyword == "QUERY":
                await self.answer(*fields.split(" ", 1))
            else:
                assert keyword == "QUIT", raw

    async def answer(self, number, text):
        if text.startswith("AFTER "):
            text = text.split(" ", 2)[2]
        if text == "STATUS":
            self.send(
                f"ROW {self.member.role} 1 1.7 0 0 0 1", "COMPLETE -", f"READY {self.state} 1.7"
            )
            return
        if number != "-":
            self.member.statements.append(ExecutedStatement(self, number, text))
        if text.split(" ")[0] in ("FETCH", "PUT", "EXECUTE"):
            await asyncio.sleep(self.member.work_s)
        rows = self.run(text)
        self.send(*[f"ROW {row}" for row in rows], "COMPLETE stamp", f"READY {self.state} 1.7")

    def run(self, text):
        """Returns the rows of a statement; those of a read contain the values of the connection."""
        verb, _, rest = text.partition(" ")
        if verb == "RESET":
            self.values, self.prepared = {}, {}
        elif verb == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
        elif verb == "PREPARE":
            name, _, statement = rest.partition(" ")
            self.prepared[name] = statement
        elif verb == "EXECUTE":
            name, _, argument = rest.partition(" ")
            return self.run(f"{self.prepared[name]} {argument}")
        elif verb == "BEGIN":
            self.state = "T"
        elif verb in ("COMMIT", "ROLLBACK"):
            self.state = "I"
        elif verb == "FETCH":
            return [fetch_result(rest, self.values)]
        else:
            assert verb in ("PUT", "DEALLOC"), text
        return []


def fetch_result(record_key, values):
    """Returns the row with which a member answers a FETCH."""
    return f"{record_key} with {sorted(values.items())}"


class Member:
    """A member on a loopback socket."""

    def __init__(self, name, role, work_s=0.001):
        self.name, self.role, self.work_s = name, role, work_s
        self.connects, self.statements, self.open, self.max_open = [], [], set(), 0

    async def start(self):
        self.server = await asyncio.start_server(self.accept_connection, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def record_connect(self, connection, fields):
        self.connects.append(fields)
        self.open.add(connection)
        self.max_open = max(self.max_open, len(self.open))

    async def accept_connection(self, reader, writer):
        connection = MemberSideConnection(self, writer)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await connection.serve(reader)
        self.open.discard(connection)
        writer.close()


class HarnessWithMembers(ProxyHarness):
    """A proxy with member connections over sockets; client connections are called with bytes."""

    def __init__(self, members):
        super().__init__(leave_starting=True)
        self.members = members
        self.proxy.clock = self.clock = LoopClock()
        self.proxy.wire = LineProtocolConnector(self.clock)
        self.numbers = itertools.count(1)

    def configure(self, config):
        """Applies `config` and registers the members with the proxy."""
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
        for listener in self.core_connection.on_change:
            listener(records, False)

    async def session(self, key, host="db"):
        session = Session(self, key, host)
        await asyncio.sleep(0)
        return session

    def executed_statements(self):
        return [statement for member in self.members for statement in member.statements]


class Session:
    """A client that connects with a key; it records the numbers of its statements."""

    def __init__(self, harness, key, host):
        self.harness, self.key, self.numbers = harness, key, set()
        self.connection, self.transport = harness.client(f"CONNECT {host} {key}\r\n".encode())

    async def ask(self, text):
        """Sends one statement; returns its rows, how it ended, and the transaction state."""
        number = f"n{next(self.harness.numbers)}"
        self.numbers.add(number)
        before = len(self.transport.out)
        self.connection.data_received(f"QUERY {number} {text}\r\n".encode())
        while not self.transport.closed and b"READY" not in self.transport.out[before:]:
            await asyncio.sleep(0.002)
        lines = self.transport.out[before:].decode().split("\r\n")
        rows = [line[4:] for line in lines if line.startswith("ROW ")]
        end = next(line for line in lines if line.startswith(("COMPLETE", "ERROR")))
        return rows, " ".join(end.split(" ")[: 1 if end[0] == "C" else 2]), lines[-2][6:7]

    async def fetch(self, record_key="k"):
        rows, end, _ = await self.ask(f"FETCH {record_key}")
        assert end == "COMPLETE"
        return rows[0]

    def close(self):
        if not self.transport.closed:
            self.connection.data_received(b"QUIT\r\n")


def play(scenario, config=None, work_s=0.001):
    """Runs `scenario(harness)` with a primary and two replicas."""

    async def run_scenario():
        members = [
            Member("m1", "primary", work_s),
            Member("m2", "replica", work_s),
            Member("m3", "replica", work_s),
        ]
        for member in members:
            await member.start()
        harness = HarnessWithMembers(members)
        harness.configure(config or configuration())
        await scenario(harness)

    run_in_virtual_time(run_scenario())


def check_names(harness, sessions):
    """Checks that statements ran under their key's tenant and that members received no key."""
    owners = {number: session.key for session in sessions for number in session.numbers}
    for statement in harness.executed_statements():
        assert KEYS.get(statement.client) == owners[statement.number], (
            statement.client,
            owners[statement.number],
            statement.text,
        )
    check_no_key(harness)


def check_no_key(harness):
    seen = [
        text
        for member in harness.members
        for text in [*member.connects, *(statement.text for statement in member.statements)]
    ]
    assert not [text for text in seen if any(key in text for key in KEYS.values())]


# Guards against UNASKED: members receive the same name for every client.
def test_members_receive_the_tenant_name_and_never_the_key():
    async def scenario(harness):
        sessions = [await harness.session(key) for key in KEYS.values()]
        for session in sessions:
            await session.fetch()
            assert (await session.ask("PUT k v"))[1] == "COMPLETE"
        assert {statement.client for statement in harness.executed_statements()} == set(KEYS)
        check_names(harness, sessions)

    play(scenario)


# Guards against UNASKED: members receive a changed name or the hash under which a name is stored.
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
    async def scenario(harness):
        session = await harness.session("k3yOfOne")
        await session.fetch()
        assert {statement.client for statement in harness.executed_statements()} == {name}

    play(scenario, configuration(tenants=[{"Name": name, "ApiKeys": ["k3yOfOne"]}]))


# Guards against UNASKED: a pooled connection serves statements of two tenants in turn.
@pytest.mark.parametrize("limit", [TYPICAL_LIMIT, ONE_CONNECTION])
def test_a_pooled_connection_serves_single_statements_of_its_tenant_only(limit):
    async def scenario(harness):
        lima, cusco = [await harness.session(KEYS[name]) for name in ("lima", "cusco")]
        for _ in range(4):
            await lima.fetch()
            await cusco.fetch()
            await cusco.ask("PUT k v")
            await lima.ask("PUT k v")
        check_names(harness, [lima, cusco])
        for member in harness.members:
            assert member.max_open <= (limit - 4) // 3  # including the proxy's STATUS connection

    play(scenario, configuration(limit=limit))


# Guards against UNASKED: a transaction begins on a connection that another tenant has used.
@pytest.mark.parametrize("limit", [TYPICAL_LIMIT, ONE_CONNECTION])
@pytest.mark.parametrize("begin", ["BEGIN", "BEGIN FETCH"])
def test_a_transaction_runs_on_a_connection_of_its_tenant_only(begin, limit):
    async def scenario(harness):
        lima, cusco = [await harness.session(KEYS[name]) for name in ("lima", "cusco")]
        for session in (lima, cusco, lima, cusco):
            assert await session.ask(begin) == ([], "COMPLETE", "T")
            await session.fetch()
            assert (await session.ask("COMMIT"))[1:] == ("COMPLETE", "I")
        check_names(harness, [lima, cusco])
        clients_by_connection = {}
        for statement in harness.executed_statements():
            clients_by_connection.setdefault(statement.connection, set()).add(statement.client)
        assert all(len(names) == 1 for names in clients_by_connection.values())

    play(scenario, configuration(limit=limit))


# Guards against UNASKED: a transaction's connection returns to the pool after ROLLBACK, an error
# or a disconnect, and then serves another tenant.
@pytest.mark.parametrize("end", ["ROLLBACK", "NONSENSE", "QUIT"])
def test_a_connection_released_by_a_transaction_serves_no_other_tenant(end):
    async def scenario(harness):
        lima = await harness.session(KEYS["lima"])
        await lima.ask("BEGIN")
        await lima.fetch()
        lima.close() if end == "QUIT" else await lima.ask(end)
        await asyncio.sleep(0.1)
        cusco = await harness.session(KEYS["cusco"])
        await cusco.fetch()
        check_names(harness, [lima, cusco])

    play(scenario, configuration(limit=ONE_CONNECTION))


# Guards against UNASKED: the hedged attempt of a slow read uses an idle connection of any tenant.
def test_a_hedged_read_runs_under_its_tenant_name_at_both_members():
    async def scenario(harness):
        lima = await harness.session(KEYS["lima"], "browse")
        cusco = await harness.session(KEYS["cusco"], "browse")
        for _ in range(6):
            await asyncio.gather(lima.fetch(), cusco.fetch())
        for member in harness.members:
            member.work_s = 0.5
        for session in (lima, cusco, lima, cusco):
            await session.fetch()
            await asyncio.sleep(1)
        assert harness.proxy.count["hedged"] >= 2
        numbers = [
            statement.number
            for statement in harness.executed_statements()
            if statement.text == "FETCH k"
        ]
        assert len(numbers) > len(set(numbers)), "no read ran at two members"
        check_names(harness, [lima, cusco])

    play(scenario)


# Guards against UNASKED: the proxy's own requests use a tenant's name, or are no longer sent.
def test_status_requests_of_a_proxy_run_under_the_system_name():
    async def scenario(harness):
        for member in harness.members:
            status = await harness.proxy.groups["svc"].status(
                harness.proxy.groups["svc"].members[member.name]
            )
            assert status["role"] == member.role and status["pos"] == (1, 7)
            assert member.connects == [f"svc {SYSTEM_NAME} {member.name}"]

    play(scenario)


# Guards against UNASKED: connections without a tenant, as control nodes open them, use another name.
def test_a_connection_without_a_tenant_is_opened_under_the_system_name():
    async def scenario(harness):
        member = harness.members[0]
        connection = await LineProtocolConnector(LoopClock()).open(
            member.address, "svc", member.name, 450_000
        )
        assert (await connection.send_command("status"))["term"] == 1
        assert member.connects == [f"svc {SYSTEM_NAME} m1"]
        connection.close()

    play(scenario)


# Guards against a change for deployments without tenants: any client is accepted, and members
# receive the system name.
def test_without_a_tenants_section_members_receive_the_system_name():
    async def scenario(harness):
        for key in ("u3f1", KEYS["lima"]):
            await (await harness.session(key)).fetch()
        assert {statement.client for statement in harness.executed_statements()} == {SYSTEM_NAME}
        check_no_key(harness)

    play(scenario, configuration(tenants=None))


# Guards against UNASKED on public routes: they need no key, but a known key selects its tenant.
def test_a_public_route_uses_the_tenant_of_a_known_key_or_the_system_name():
    async def scenario(harness):
        stranger, lima = (
            await harness.session("u3f1", "open"),
            await harness.session(KEYS["lima"], "open"),
        )
        for session in (stranger, lima, stranger, lima):
            await session.fetch()
        names = {number: SYSTEM_NAME for number in stranger.numbers}
        names |= {number: "lima" for number in lima.numbers}
        for statement in harness.executed_statements():
            assert statement.client == names[statement.number]
        check_no_key(harness)

    play(scenario, configuration(limit=ONE_CONNECTION))


# Guards against UNASKED after a configuration change: the key of an open session moves to another
# tenant.
def test_a_moved_key_runs_under_its_new_tenant_from_the_next_statement():
    async def scenario(harness):
        session = await harness.session(KEYS["lima"])
        await session.fetch()
        moved = [{"Name": "lima", "ApiKeys": []}, {"Name": "sur", "ApiKeys": [KEYS["lima"]]}]
        harness.configure(configuration(2, moved))
        await session.fetch("after")
        assert [statement.client for statement in harness.executed_statements()] == ["lima", "sur"]
        check_no_key(harness)

    play(scenario)


# Guards against UNASKED: a transaction that was open when its key moved continues under the old
# tenant.
def test_a_transaction_whose_key_moves_runs_nothing_under_the_old_tenant():
    async def scenario(harness):
        session = await harness.session(KEYS["lima"])
        await session.ask("BEGIN")
        await session.fetch()
        moved = [{"Name": "lima", "ApiKeys": []}, {"Name": "sur", "ApiKeys": [KEYS["lima"]]}]
        harness.configure(configuration(2, moved))
        _, end, _ = await session.ask("FETCH after")
        late = [
            statement.client
            for statement in harness.executed_statements()
            if statement.text == "FETCH after"
        ]
        assert late in ([], ["sur"]), end

    play(scenario)


# Guards against values or prepared statements of another session, after a full pool has closed a
# session's connection.
def test_values_and_prepared_statements_survive_an_eviction_between_statements():
    async def scenario(harness):
        sessions = {name: await harness.session(KEYS[name]) for name in KEYS}
        for name, session in sessions.items():
            assert (await session.ask(f"SET who {name}"))[1] == "COMPLETE"
            assert (await session.ask(f"PREPARE q FETCH of_{name}"))[1] == "COMPLETE"
        for name, session in [*sessions.items(), *reversed(sessions.items())] * 2:
            rows, end, _ = await session.ask("EXECUTE q 1")
            assert (rows, end) == ([fetch_result(f"of_{name} 1", {"who": name})], "COMPLETE")
            assert await session.fetch() == fetch_result("k", {"who": name})
        await sessions["lima"].ask("SET who other")
        await sessions["cusco"].ask("DEALLOC q")
        assert (await sessions["cusco"].ask("EXECUTE q 1"))[1] == "ERROR NOSTMT"
        assert await sessions["lima"].fetch() == fetch_result("k", {"who": "other"})
        assert (await sessions["ica"].ask("EXECUTE q 1"))[0] == [
            fetch_result("of_ica 1", {"who": "ica"})
        ]
        assert len(harness.members[0].connects) >= len(KEYS)
        check_names(harness, sessions.values())

    play(scenario, configuration(limit=ONE_CONNECTION))


STEP = st.sampled_from(
    ["FETCH k", "PUT k v", "BEGIN", "BEGIN FETCH", "COMMIT", "ROLLBACK", "SET n 1", "SET n 2"]
    + ["PREPARE s FETCH a", "PREPARE s FETCH b", "EXECUTE s 1", "open", "close", "close"]
)


def expect_row(session, text):
    """Returns the expected row of a read, from the values and statement that the client has set."""
    if text == "FETCH k":
        return fetch_result("k", session.values)
    return fetch_result(f"{session.prepared[6:]} 1", session.values) if session.prepared else None


# Guards against UNASKED in any interleaving of sessions: names, values and prepared statements
# must stay those of each client.
@DRAWN
@given(
    st.lists(st.tuples(st.sampled_from(sorted(KEYS)), st.integers(0, 2), STEP), max_size=30),
    st.sampled_from([TYPICAL_LIMIT, ONE_CONNECTION]),
)
def test_any_sequence_of_sessions_runs_under_their_own_names(steps, limit):
    async def go(harness):
        open_, all_ = {}, []
        for name, which, step in steps:
            s = open_.get((name, which))
            if s is None:
                s = open_[name, which] = await harness.session(KEYS[name])
                s.values, s.prepared, s.outside = {}, "", True
                all_.append(s)
            if step == "close":
                open_.pop((name, which)).close()
            elif step != "open":
                await checked_ask(s, step, limit)
        for s in open_.values():
            s.close()
        check_names(harness, all_)

    play(go, configuration(limit=limit))


async def checked_ask(session, step, limit):
    """Runs one step and compares its row with the client's values; a full pool may refuse it."""
    rows, end, state = await session.ask(step)
    if end == "COMPLETE":
        parts = step.split(" ", 2)
        if parts[0] == "SET" and state == "I":
            session.values = {parts[1]: parts[2]}
        elif parts[0] == "SET":
            await session.ask("ROLLBACK")  # whether the value survives ROLLBACK is not tested here
            assert (await session.ask(step))[1] == "COMPLETE"
            session.values = {parts[1]: parts[2]}
        elif parts[0] == "PREPARE":
            session.prepared = parts[2]
        elif rows:
            assert rows == [expect_row(session, step)]
    elif end in ("ERROR BUSY", "ERROR ABORTED"):
        assert limit == ONE_CONNECTION
    else:
        assert end in ("ERROR MALFORMED", "ERROR NOSTMT")
