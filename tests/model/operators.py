"""Operators and readers of the model: they retry orders on any node and check the answers."""

import asyncio
import json

from petrelhaven.control.request_router import ANSWER_TIMEOUT_US
from petrelhaven.runtime.errors import Duplicate, Fault, Invalid, Malformed, NotSent, Stale

__all__ = ["Operators", "configuration"]

_CLIENT_TIMEOUT_US = 1_000_000
_SERVER_TIMEOUT_US = 4_000_000
_RETRY_DELAY_S = 0.2
_ORDER_TIMEOUT_S = 12.0
_ZONES = ("a", "b", "c")


def configuration(version, content="x"):
    """The text of a configuration; `content` distinguishes configurations of the same version."""
    route = {"name": "r", "group": "g1", "host": "r", "prefix": "/", "reads": "strong"}
    return json.dumps(
        {
            "name": f"fleet-{content}",
            "version": version,
            "halls": list(_ZONES),
            "groups": [{"name": "g1", "cap": 10, "sync": 0}],
            "routes": [{**route, "timeout_us": 2_000_000, "aim_us": 400_000, "stale_us": 0}],
            "bounds": {"keepers": 0},
        }
    )


class Operators:
    """Sends orders and reads, drops some answers, and compares reads with the acknowledged orders.

    Attributes:
        lost_answers: The probability that an answer is lost.
        tasks: The running orders and reads.
        version: The highest configuration version that was used.
        configurations: The acknowledged configurations by version.
        zones: The acknowledged states of zones for which no order is pending.
        highest_change: The highest record number that was acknowledged.
        orders: Number of orders.
        acknowledged: Number of acknowledged orders.
        reads: Number of successful reads.
    """

    def __init__(self, cluster):
        self._cluster = cluster
        self._observer = cluster.observer
        self.lost_answers = 0.0
        self.tasks = []
        self.version = 0
        self.configurations = {}
        self.zones = {}
        self._zone_locks = {zone: asyncio.Lock() for zone in _ZONES}
        self.highest_change = 0
        self.orders = self.acknowledged = self.reads = 0

    def spawn(self, coroutine):
        """Runs an operator concurrently with the schedule."""
        self.tasks.append(asyncio.get_running_loop().create_task(coroutine))

    def next_version(self):
        """A configuration version that no order has used."""
        self.version += 1
        return self.version

    async def _call(self, machine, function):
        """Calls one node. The answer may be lost; a request is not started after its caller gave up."""
        waiting = True

        async def run():
            if not waiting or machine.node is None:
                raise NotSent(machine.name)
            return await machine.node.clock.limit(function(machine.node), _SERVER_TIMEOUT_US)

        net, operators = self._cluster.net, self._cluster.operators
        try:
            answer = await net.trip(operators, machine, run, _CLIENT_TIMEOUT_US, fresh=True)
        finally:
            waiting = False
        if net.rng.random() < self.lost_answers:
            raise NotSent("the answer was lost")
        return answer

    async def _order(self, function, first):
        """Retries an order on one node after the other until the outcome is known.

        Returns the outcome and the number of the record.
        """
        self.orders += 1
        loop = self._cluster.loop
        deadline = loop.time() + _ORDER_TIMEOUT_S
        index = first
        while loop.time() < deadline:
            try:
                answer = await self._call(self._cluster.at(index), function)
                return "acknowledged", answer["change"]
            except Duplicate:
                return "acknowledged", 0
            except Stale:
                return "refused", 0
            except (Invalid, Malformed) as fault:
                raise AssertionError(f"a valid order was rejected: {fault.details}") from fault
            except Fault:
                index += 1
                await asyncio.sleep(_RETRY_DELAY_S)
        return "unknown", 0

    def _record_acknowledged(self, change):
        self.acknowledged += 1
        self.highest_change = max(self.highest_change, change)

    async def apply(self, first, version=None, content="x"):
        """Applies a configuration; returns whether it was acknowledged."""
        version = version or self.next_version()
        text = configuration(version, content)
        outcome, change = await self._order(
            lambda node: node.apply(text, within_us=ANSWER_TIMEOUT_US), first
        )
        if outcome != "acknowledged":
            return False
        if self.configurations.setdefault(version, text) != text:
            self._observer.report("one content per version", f"two were acknowledged as {version}")
        self._record_acknowledged(change)
        return True

    async def race(self, first, second):
        """Two operators concurrently apply different configurations with the same version."""
        version = self.next_version()
        await asyncio.gather(
            self.apply(first, version, "left"), self.apply(second, version, "right")
        )

    async def change_zone(self, first, zone):
        """Evacuates or restores a zone, with one order per zone at a time."""
        async with self._zone_locks[zone]:
            state = "open" if self.zones.get(zone) == "emptied" else "emptied"
            self.zones.pop(zone, None)
            outcome, change = await self._order(
                lambda node: node.set_zone_state(zone, state, within_us=ANSWER_TIMEOUT_US), first
            )
            if outcome == "acknowledged":
                self.zones[zone] = state
                self._record_acknowledged(change)

    async def fence(self, index):
        """The active head starts a new leadership of a group and uses its record number as a fencing token."""
        machine = self._cluster.at(index)
        if (
            not machine.up
            or machine.frozen
            or machine.node is None
            or not machine.node.chain.is_head
        ):
            return
        started_at, life = self._cluster.loop.time(), machine.life

        async def append_leadership():
            chain = machine.node.chain
            leadership = chain.control_state.doc["offices"].get("fenced")
            record = {
                "t": "office",
                "group": "fenced",
                "n": (leadership["n"] if leadership else 0) + 1,
            }
            record |= {"phase": "move", "primary": "none", "term": 0, "cause": "model"}
            try:
                seq = await chain.append_record({**record, "by": machine.name, "stuck": False})
            except Fault:
                return
            if chain.is_active and chain.is_head:
                self._observer.record_fence(seq, machine.name, started_at, (life, started_at))

        machine.tasks.spawn(append_leadership())

    async def read(self, index):
        """Reads the control state on one node and checks that it includes all orders acknowledged before."""
        change, version = self.highest_change, max(self.configurations, default=0)
        zones = dict(self.zones)

        async def read_document(node):
            return json.loads(json.dumps(await node.control_state()))

        try:
            document = await self._call(self._cluster.at(index), read_document)
        except Fault:
            return None
        self.reads += 1
        self._check_document(document, change, version, "read")
        for zone, state in zones.items():
            if self.zones.get(zone) == state and document["halls"].get(zone, "open") != state:
                self._observer.report(
                    "acknowledged orders are not lost", f"zone {zone} was acknowledged {state}"
                )
        return document

    def _check_document(self, document, change, version, source):
        applied = document["manifest"]
        read_version = applied["version"] if applied else 0
        invariant = "a read includes all orders acknowledged before it"
        if document["seq"] < change or read_version < version:
            self._observer.report(
                invariant,
                f"{source}: change {document['seq']} of {change}, version {read_version} of {version}",
            )
        acknowledged = self.configurations.get(read_version)
        if acknowledged is not None and applied["text"] != acknowledged:
            self._observer.report(
                "one content per version", f"{read_version} is read as {applied['text'][:60]}"
            )
