"""Operators and readers of the model: orders sent again through any core, and what they were told."""

import asyncio
import json

from petrelhaven.control.request_router import ANSWER_TIMEOUT_US
from petrelhaven.runtime.errors import Duplicate, Fault, Invalid, Malformed, NotSent, Stale

__all__ = ["Operators", "configuration"]

_PATIENCE_US = 1_000_000
_SERVER_US = 4_000_000
_PAUSE_S = 0.2
_PATIENCE_S = 12.0
_ZONES = ("a", "b", "c")


def configuration(version, content="x"):
    """The text of a manifest; `content` tells two under one version apart."""
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
    """Sends orders and reads, loses answers, and checks what comes back against what was acknowledged."""

    def __init__(self, cluster):
        self._cluster = cluster
        self._observer = cluster.observer
        self.lost_answers = 0.0
        self.tasks = []
        self.version = 0
        self.configurations = {}
        self.zones = {}
        self._zone_locks = {h: asyncio.Lock() for h in _ZONES}
        self.highest_change = 0
        self.orders = self.acknowledged = self.reads = 0

    def spawn(self, coroutine):
        """Runs an operator beside the schedule."""
        self.tasks.append(asyncio.get_running_loop().create_task(coroutine))

    def next_version(self):
        """A version that no order had yet."""
        self.version += 1
        return self.version

    async def _trip(self, machine, there):
        """One call to one core; the answer may be lost. A request whose caller left is not begun."""
        waiting = True

        async def begun():
            if not waiting or machine.node is None:
                raise NotSent(machine.name)
            return await machine.node.clock.limit(there(machine.node), _SERVER_US)

        net, operators = self._cluster.net, self._cluster.operators
        try:
            answer = await net.trip(operators, machine, begun, _PATIENCE_US, fresh=True)
        finally:
            waiting = False
        if net.rng.random() < self.lost_answers:
            raise NotSent("the answer was lost")
        return answer

    async def _order(self, there, first):
        """Sends an order again and again, through one core after the other, until its answer is clear."""
        self.orders += 1
        loop = self._cluster.loop
        end = loop.time() + _PATIENCE_S
        attempt = first
        while loop.time() < end:
            try:
                answer = await self._trip(self._cluster.at(attempt), there)
                return "acknowledged", answer["change"]
            except Duplicate:
                return "acknowledged", 0
            except Stale:
                return "refused", 0
            except (Invalid, Malformed) as fault:
                raise AssertionError(f"a proper order was declined: {fault.details}") from fault
            except Fault:
                attempt += 1
                await asyncio.sleep(_PAUSE_S)
        return "unclear", 0

    def _acknowledge(self, change):
        self.acknowledged += 1
        self.highest_change = max(self.highest_change, change)

    async def apply(self, first, version=None, content="x"):
        """Applies a manifest; true once acknowledged."""
        version = version or self.next_version()
        text = configuration(version, content)
        outcome, change = await self._order(
            lambda node: node.apply(text, within_us=ANSWER_TIMEOUT_US), first
        )
        if outcome != "acknowledged":
            return False
        if self.configurations.setdefault(version, text) != text:
            self._observer.report("one content a version", f"two were confirmed as {version}")
        self._acknowledge(change)
        return True

    async def race(self, first, second):
        """Two operators choose one version for different manifests at once."""
        version = self.next_version()
        await asyncio.gather(
            self.apply(first, version, "left"), self.apply(second, version, "right")
        )

    async def turn_zone(self, first, zone):
        """Empties or opens a hall, one order of it at a time."""
        async with self._zone_locks[zone]:
            state = "open" if self.zones.get(zone) == "emptied" else "emptied"
            self.zones.pop(zone, None)
            outcome, change = await self._order(
                lambda node: node.set_zone_state(zone, state, within_us=ANSWER_TIMEOUT_US), first
            )
            if outcome == "acknowledged":
                self.zones[zone] = state
                self._acknowledge(change)

    async def fence(self, index):
        """The active head takes the next office of a group and uses the number of its record as a fence."""
        machine = self._cluster.at(index)
        if (
            not machine.up
            or machine.frozen
            or machine.node is None
            or not machine.node.chain.is_head
        ):
            return
        begun, life = self._cluster.loop.time(), machine.life

        async def take():
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
                self._observer.fence(seq, machine.name, begun, (life, begun))

        machine.tasks.spawn(take())

    async def read(self, index):
        """Reads the control state from one core; it is no older than what was acknowledged before."""
        change, version = self.highest_change, max(self.configurations, default=0)
        zones = dict(self.zones)

        async def there(node):
            return json.loads(json.dumps(await node.control_state()))

        try:
            document = await self._trip(self._cluster.at(index), there)
        except Fault:
            return None
        self.reads += 1
        self._check(document, change, version, "read")
        for zone, state in zones.items():
            if self.zones.get(zone) == state and document["halls"].get(zone, "open") != state:
                self._observer.report(
                    "acknowledged is kept", f"hall {zone} was acknowledged {state}"
                )
        return document

    def _check(self, document, change, version, what):
        held = document["manifest"]
        shown = held["version"] if held else 0
        rule = "no read is older than what was acknowledged before it"
        if document["seq"] < change or shown < version:
            self._observer.report(
                rule, f"{what}: change {document['seq']} of {change}, version {shown} of {version}"
            )
        acknowledged = self.configurations.get(shown)
        if acknowledged is not None and held["text"] != acknowledged:
            self._observer.report(
                "one content a version", f"{shown} is read as {held['text'][:60]}"
            )
