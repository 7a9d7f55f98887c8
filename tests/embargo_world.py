"""Simulates a fleet with connection sessions in virtual time, and checks who reads embargoed records."""

import asyncio
import json
import random

from petrelhaven.control.base_node import ControlNodeIdentity, NodeResources
from petrelhaven.control.node import ControlNode
from petrelhaven.proxy.core_connection import CoreConnection
from petrelhaven.proxy.node import ProxyNode
from petrelhaven.proxy.pool.member_connection import MemberConnection
from petrelhaven.proxy.session.statement import Reply, Statement
from petrelhaven.runtime.errors import DeadlineExceeded, Duplicate, Fault, NotSent, Unreachable
from petrelhaven.runtime.instant import format_instant
from petrelhaven.simulator.net import Net, SimulatedMachine
from petrelhaven.simulator.virtual_time import WarpLoop, end_all

START_TIME_US = 1_780_000_000_000_000
ZONES = "abc"


def virtual(scene, seed=1, **kw):
    """Runs `scene(world)` in virtual time and returns its result.

    A task that fails in any node fails the run.
    """
    loop = WarpLoop()
    asyncio.set_event_loop(loop)

    async def run():
        world = World(loop, seed, **kw)
        await world.start()
        result = await scene(world)
        assert world.net.findings == [], world.net.findings[:3]
        return result

    try:
        return loop.run_until_complete(run())
    finally:
        end_all(loop)
        loop.close()
        asyncio.set_event_loop(None)


class SimulatedWallClock:
    """A machine's wall clock: true time plus an error that a test sets."""

    def __init__(self, world, error_us):
        self.world, self.error_us = world, error_us

    def now(self):
        return self.world.true_time() + self.error_us


class Member:
    """A member with a log of (term, record key, data), a role, and a replication interval."""

    def __init__(self, world, machine, role):
        self.world, self.machine, self.role = world, machine, role
        self.log, self.paused_term, self.replication_interval_s = [], 0, 0.01

    @property
    def position(self):
        return (self.log[-1][0], len(self.log)) if self.log else (0, 0)

    def row(self):
        return {
            "role": self.role,
            "term": self.world.term,
            "pos": self.position,
            "held": self.paused_term,
            "lag_ms": "0",
            "busy": 0,
            "conns": 1,
            "at": self.position,
        }

    def reply(self, connection, rows=(), code=None):
        state = "I" if connection.open_writes is None else "T"
        return Reply(rows, "s" if code is None else "-", code, state=state, position=self.position)

    async def run(self, connection, text, after):
        """Runs a client's statement."""
        await self.machine.clock.sleep(4_000)
        keyword, _, rest = text.partition(" ")
        if keyword == "EXECUTE":
            alias, _, rest = rest.partition(" ")
            keyword = connection.prepared[alias].split(" ")[0]
        if after is not None and self.position < after:
            return self.reply(connection, code="lagging")
        if keyword == "FETCH":
            records = {record_key: data for _, record_key, data in self.log}
            records.update(connection.open_writes or {})
            return self.reply(connection, [records[rest]] if rest in records else [])
        if self.role != "primary":
            return self.reply(connection, code="readonly")
        if keyword == "PUT":
            record_key, _, data = rest.partition(" ")
            if connection.open_writes is not None:
                connection.open_writes[record_key] = data
                return self.reply(connection)
            return await self.commit(connection, [(record_key, data)])
        writes, connection.open_writes = connection.open_writes, None
        return await self.commit(connection, list(writes.items()))

    async def commit(self, connection, writes):
        self.log += [(self.world.term, record_key, data) for record_key, data in writes]
        length = len(self.log)
        for _ in range(300):
            if self.role != "primary":
                raise Unreachable("the member is no longer primary")
            if not writes or any(
                member.log[:length] == self.log[:length]
                for member in self.world.members.values()
                if member is not self
            ):
                return self.reply(connection)
            await self.machine.clock.sleep(10_000)
        raise Unreachable("no replica has the writes")

    async def send_session_statement(self, connection, verb, args):
        """Runs a statement that the proxy sends itself or sends again."""
        if verb == "begin":
            if args[1] is not None and self.position < args[1]:
                return self.reply(connection, code="lagging")
            if args[0] != "reads" and self.role != "primary":
                return self.reply(connection, code="readonly")
            connection.open_writes = {}
        elif verb == "prepare":
            connection.prepared[args[0]] = args[1]
        elif verb == "reset":
            connection.prepared = {}
        elif verb == "rollback":
            connection.open_writes = None
        return self.reply(connection)

    async def send_command(self, verb, args):
        if verb == "pause" and args[0] > self.paused_term and self.role == "replica":
            self.paused_term = args[0]
        elif verb == "resume":
            self.paused_term = 0
        return self.row()

    async def replicate(self):
        """Copies the primary's log periodically while the primary is reachable."""
        while True:
            await self.machine.clock.sleep(int(self.replication_interval_s * 1e6))
            primary = next((m for m in self.world.members.values() if m.role == "primary"), None)
            if (
                primary is None
                or primary is self
                or self.paused_term
                or not primary.machine.up
                or self.world.net.is_cut(primary.machine.name, self.machine.name)
            ):
                continue
            self.log = list(primary.log)

    async def heartbeat(self):
        """Sends announcements to the control nodes."""
        count = 0
        while True:
            count += 1
            target = self.world.rng.choice(sorted(self.world.control_nodes))
            document = {
                "member": self.machine.name,
                "group": "g",
                "hall": self.machine.zone,
                "addr": f"sim:{self.machine.name}",
                "role": self.role,
                "state": "ready",
                "slots": 9,
                "count": count,
            }
            try:
                await self.world.net.trip(
                    self.machine,
                    self.world.control_nodes[target],
                    lambda: self.world.announce(target, document),
                    500_000,
                )
            except Fault:
                pass
            await self.machine.clock.sleep(250_000)


class SimulatedMemberConnection(MemberConnection):
    """A connection to a member over the simulated network; statements run one at a time."""

    def __init__(self, source, target, net):
        super().__init__()
        self.source, self.target, self.net, self.life = source, target, net, target.life
        self.open_writes, self.prepared = None, {}
        self._last = None

    def _enqueue(self, statement):
        reply = asyncio.get_running_loop().create_future()
        previous, self._last = self._last, reply
        if self.source.tasks.spawn(self._send(reply, previous, statement)) is None:
            reply.cancel()
        return reply

    async def _send(self, reply, previous, statement):
        try:
            if previous is not None and not previous.done():
                await asyncio.wait([previous])
            if self.lost or self.target.life != self.life:
                raise Unreachable("connection lost")
            result = await self.net.trip(self.source, self.target, statement, 4_000_000)
            if not reply.done():
                reply.set_result(result)
        except Fault:
            self.close()
            if not reply.done():
                reply.set_exception(Unreachable("connection lost"))
                reply.exception()

    def send_statement(self, statement, after=None, alias=None):
        text = statement.text if alias is None else f"EXECUTE {alias} {statement.data}"
        return self._enqueue(lambda: self.target.node.run(self, text, after))

    def send_session_statement(self, verb, args=(), number="-"):
        return self._enqueue(lambda: self.target.node.send_session_statement(self, verb, args))

    def send_command(self, verb, *args):
        return self._enqueue(lambda: self.target.node.send_command(verb, args))

    def close(self):
        self.lost = True
        self.open_writes = None


class SimulatedWire:
    """Opens connections from one machine to members."""

    def __init__(self, world, machine):
        self.world, self.machine = world, machine

    async def open(self, addr, group, member, us, tenant=""):
        target = self.world.net.machines[member]

        async def accept():
            return True

        try:
            await self.world.net.trip(self.machine, target, accept, us, fresh=True)
        except Unreachable:
            raise NotSent("connection refused") from None
        except DeadlineExceeded:
            raise NotSent("no answer") from None
        return SimulatedMemberConnection(self.machine, target, self.world.net)


class EmbargoedRecord:
    """The release times of one embargoed record, each with the period in which it may be in force.

    `releases` has lists of the time of the request, the release time (None after a lift), and the
    time at which a later change was acknowledged, once there is one.
    """

    def __init__(self, record_key):
        self.record_key, self.releases, self.is_written = record_key, [], False

    def add_release(self, now, until):
        """Adds a requested release time; returns a function to call once it is acknowledged."""
        self.releases.append([now, until])
        index = len(self.releases) - 1

        def acknowledge(at):
            for release in self.releases[:index]:
                if len(release) == 2:
                    release.append(at)

        return acknowledge

    def may_be_read(self, now):
        """Whether any release time that may be in force at `now` has passed."""
        return any(
            (release[1] is None or release[1] <= now)
            for release in self.releases
            if release[0] <= now and (len(release) == 2 or now < release[2])
        )


class World:
    """Three control nodes, proxies, and a group of three members."""

    def __init__(self, loop, seed, proxies=3, rates=True, **configuration):
        self.loop, self.rng = loop, random.Random(seed)
        self.net = Net(loop, self.rng)
        self.term, self.version, self.configuration_fields = (
            1,
            0,
            {"embargoing": ["g"], **configuration},
        )
        rng = self.rng
        self.control_nodes = {
            f"c{index + 1}": SimulatedMachine(
                self.net, f"c{index + 1}", zone, rng.uniform(0.99, 1.01) if rates else 1.0
            )
            for index, zone in enumerate(ZONES)
        }
        self.proxies = {
            f"e{index + 1}": SimulatedMachine(
                self.net,
                f"e{index + 1}",
                ZONES[index % 3],
                rng.uniform(0.99, 1.01) if rates else 1.0,
            )
            for index in range(proxies)
        }
        self.wall_clocks = {
            name: SimulatedWallClock(self, rng.randrange(-80_000, 80_000))
            for name in self.control_nodes
        }
        self.members = {}
        self.records, self.served_reads, self.early_reads, self.withheld_reads = {}, [], [], 0
        self.fence, self.readers_run = 0, True

    def true_time(self):
        """Returns true time in microseconds."""
        return START_TIME_US + int(self.loop.time() * 1e6)

    def configuration(self, **kw):
        self.version += 1
        self.configuration_fields |= kw
        return json.dumps(
            {
                "name": "fleet",
                "version": self.version,
                "halls": list(ZONES),
                "groups": [{"name": "g", "cap": 40, "sync": 1}],
                "routes": [
                    {
                        "name": "r0",
                        "group": "g",
                        "host": "db",
                        "prefix": "",
                        "reads": "strong",
                        "timeout_us": 900_000,
                        "aim_us": 300_000,
                        "stale_us": 0,
                        "rank": 1,
                    },
                    {
                        "name": "r1",
                        "group": "g",
                        "host": "old",
                        "prefix": "",
                        "reads": "browsing",
                        "timeout_us": 900_000,
                        "aim_us": 300_000,
                        "stale_us": 1_500_000,
                        "rank": 1,
                    },
                ],
                "bounds": {"keepers": 0, "idle_txn_us": 30_000_000},
                **self.configuration_fields,
            }
        )

    async def start(self):
        for index, zone in enumerate(ZONES):
            machine = SimulatedMachine(self.net, f"m{index + 1}", zone).boot()
            member = machine.node = self.members[machine.name] = Member(
                self, machine, "replica" if index else "primary"
            )
            for coroutine in (member.replicate(), member.heartbeat()):
                machine.tasks.spawn(coroutine)
        for name in self.control_nodes:
            self.start_control_node(name)
        for name in self.proxies:
            self.start_proxy(name)
        await self.wait_until(
            lambda: any(m.node and m.node.chain.is_active for m in self.control_nodes.values()), 20
        )
        await self.call(lambda node: node.apply(self.configuration(), by="op"))
        await self.wait_until(
            lambda: all(
                m.node.ready and m.node.core_connection.holds_lease for m in self.proxies.values()
            ),
            20,
        )
        await self.wait_until(
            lambda: all(m.node.groups["g"].leadership for m in self.proxies.values()), 20
        )

    def start_control_node(self, name):
        machine = self.control_nodes[name].boot()
        node = ControlNode(
            ControlNodeIdentity(
                name, machine.zone, [f"sim:{seed}" for seed in sorted(self.control_nodes)]
            ),
            NodeResources(
                machine.clock,
                machine.tasks,
                machine.link,
                machine.disk,
                random.Random(self.rng.random()),
                machine.log,
            ),
            self,
            SimulatedWire(self, machine),
            1_200_000,
            wall_clock=self.wall_clocks[name],
        )
        machine.node = node
        node.start()

    def start_proxy(self, name):
        machine = self.proxies[name].boot()
        rng = random.Random(self.rng.random())

        def distance(zone):
            return 0 if zone == machine.zone else 1

        core_connection = CoreConnection(
            machine.clock,
            machine.tasks,
            machine.link,
            rng,
            name,
            [f"sim:{seed}" for seed in sorted(self.control_nodes)],
            distance,
            machine.log,
        )
        machine.node = ProxyNode(
            name,
            machine.zone,
            machine.clock,
            machine.tasks,
            rng,
            core_connection,
            SimulatedWire(self, machine),
            distance,
            3_000_000,
            3_000_000,
            machine.log,
        )
        machine.node.start()

    async def wait_until(self, condition, timeout_s, what=""):
        deadline = self.loop.time() + timeout_s
        while not condition():
            assert self.loop.time() < deadline, f"not within {timeout_s} s: {what}"
            await asyncio.sleep(0.02)

    async def announce(self, control_node, document):
        if self.control_nodes[control_node].node is None:
            raise Unreachable("the control node is down")
        await self.control_nodes[control_node].node.announce(document)

    async def promote(self, group, name, fence, holder):
        """Promotes a member; the world acts as the platform of the control nodes."""
        await asyncio.sleep(0.3)
        if fence < self.fence or not self.members[name].machine.up:
            raise Unreachable("declined")
        self.fence = fence
        if self.members[name].role != "primary":
            self.term += 1
            for member in self.members.values():
                member.role = "primary" if member is self.members[name] else "replica"
                member.paused_term = 0

    async def call(self, operation, timeout_s=60):
        """Runs an operator's `operation(node)` at any control node until one succeeds."""
        deadline, last_error = self.loop.time() + timeout_s, None
        while True:
            for name in sorted(self.control_nodes):
                node = self.control_nodes[name].node
                if node is None or self.control_nodes[name].frozen:
                    continue
                try:
                    return await asyncio.wait_for(operation(node), 25)
                except Duplicate as error:
                    return error.doc()
                except (Fault, asyncio.TimeoutError) as error:
                    last_error = error
                    if isinstance(error, Fault) and error.status in (400, 422):
                        raise
            assert self.loop.time() < deadline, f"no control node succeeded: {last_error!r}"
            await asyncio.sleep(0.2)

    async def embargo(self, action, record_key, until=None, **kw):
        """Adds, moves or lifts the embargo of one record; `until` is a true time."""
        record = self.records.setdefault(record_key, EmbargoedRecord(record_key))
        acknowledge = record.add_release(self.true_time(), until)
        document = {"do": action, "name": "x-" + record_key, "by": "op", **kw}
        if action == "add":
            document |= {"group": "g", **({} if "prefix" in kw else {"thing": record_key})}
        if until is not None:
            document["until"] = format_instant(until)
        await self.call(lambda node: node.embargoes.change(document))
        acknowledge(self.true_time())

    async def write(self, record_key, data="secret"):
        """Writes a record through any proxy, and retries until it succeeds."""
        for _ in range(200):
            for _name, machine in sorted(self.proxies.items()):
                if machine.node is None or machine.frozen or machine.node.state != "serving":
                    continue
                session = machine.node.open("db", "writer")
                reply = await machine.node.serve_statement(
                    session, Statement("w", "write", f"PUT {record_key} {data}", writes=True)
                )
                machine.node.close(session)
                if reply.ok:
                    return
            await asyncio.sleep(0.1)
        raise AssertionError("no proxy accepted the write")

    def check_reply(self, proxy, record_key, reply, client=""):
        """Checks one reply and records whether the record was read too early."""
        now, record = self.true_time(), self.records.get(record_key)
        if reply.code == "withheld":
            self.withheld_reads += 1
            assert (reply.rows, reply.position, reply.stamp) == ((), None, "-")
        if reply.ok and reply.rows:
            self.served_reads.append((now, proxy, record_key))
            if record is not None and client != "early" and not record.may_be_read(now):
                self.early_reads.append(
                    (round(self.loop.time(), 3), proxy, record_key, record.releases)
                )

    async def read(self, proxy, record_key, host="db", client="u", how="single"):
        """Reads a record once at a proxy and checks the reply."""
        machine = self.proxies[proxy]
        node, life = machine.node, machine.life
        if node is None or node.state != "serving":
            return None
        session = node.open(host, client)
        if how == "prepared":
            await node.serve_statement(
                session,
                Statement("p", "prepare", "PREPARE q FETCH s1", name="q", prepared_text="FETCH s1"),
            )
            statement = Statement(
                "r",
                "execute",
                f"EXECUTE q {record_key}",
                name="q",
                data=record_key,
                prepared_text="FETCH s1",
            )
        else:
            statement = Statement("r", "read", f"FETCH {record_key}")
        if how in ("reads", "writes"):
            await node.serve_statement(
                session, Statement("b", "begin", "BEGIN", writes=how == "writes")
            )
        reply = await node.serve_statement(session, statement)
        if machine.life == life:
            self.check_reply(proxy, record_key, reply, client)
        if how in ("reads", "writes"):
            await node.serve_statement(session, Statement("e", "rollback", "ROLLBACK"))
        node.close(session)
        return reply

    async def run_reader(self, proxy, record_key, number):
        """Reads a record at a proxy repeatedly, in every way."""
        machine, rng = self.proxies[proxy], random.Random(f"{proxy}{record_key}{number}")
        while self.readers_run:
            await asyncio.sleep(rng.uniform(0.01, 0.06))
            if machine.up and not machine.frozen:
                task = machine.tasks.spawn(
                    self.read(
                        proxy,
                        record_key,
                        rng.choice(("db", "old")),
                        "u",
                        rng.choice(("single", "prepared", "reads", "writes")),
                    )
                )
                if task is not None:
                    await asyncio.wait([task], timeout=30)

    async def run_transaction_reader(self, proxy, record_key, number):
        """Reads a record several times in long transactions, repeatedly."""
        machine, rng = self.proxies[proxy], random.Random(f"long{proxy}{record_key}{number}")
        while self.readers_run:
            await asyncio.sleep(rng.uniform(0.05, 0.2))
            if machine.up and not machine.frozen:
                task = machine.tasks.spawn(self._read_in_transaction(proxy, record_key, rng))
                if task is not None:
                    await asyncio.wait([task], timeout=60)

    async def _read_in_transaction(self, proxy, record_key, rng):
        machine = self.proxies[proxy]
        node, life = machine.node, machine.life
        if node is None or node.state != "serving":
            return
        session = node.open("db", "u")
        await node.serve_statement(
            session,
            Statement("p", "prepare", "PREPARE q FETCH s1", name="q", prepared_text="FETCH s1"),
        )
        await node.serve_statement(
            session, Statement("b", "begin", "BEGIN", writes=rng.random() < 0.5)
        )
        await node.serve_statement(session, Statement("r", "read", "FETCH other"))
        for _ in range(4):
            await machine.clock.sleep(rng.randrange(200_000, 2_000_000))
            statement = rng.choice(
                (
                    Statement("r", "read", f"FETCH {record_key}"),
                    Statement(
                        "r",
                        "execute",
                        f"EXECUTE q {record_key}",
                        name="q",
                        data=record_key,
                        prepared_text="FETCH s1",
                    ),
                )
            )
            reply = await node.serve_statement(session, statement)
            if machine.life == life:
                self.check_reply(proxy, record_key, reply)
        await node.serve_statement(session, Statement("e", "rollback", "ROLLBACK"))
        node.close(session)

    def start_readers(self, record_keys, per_record=2):
        """Starts readers of every record at every proxy."""
        return [
            asyncio.ensure_future(run(proxy, record_key, number))
            for proxy in self.proxies
            for record_key in record_keys
            for number, run in enumerate(
                [self.run_reader] * per_record + [self.run_transaction_reader]
            )
        ]

    async def stop_readers(self, readers):
        self.readers_run = False
        await asyncio.wait(readers, timeout=120)

    def release_delays(self, record_key, until):
        """Returns how many seconds after the release each proxy first served the record."""
        delays = {}
        for at, proxy, served_key in self.served_reads:
            if served_key == record_key and at >= until:
                delays.setdefault(proxy, (at - until) / 1e6)
        return delays
