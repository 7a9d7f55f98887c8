"""A world in virtual time for the tenants' limits: control nodes that count, and proxies that admit.

The counting service, the admission of proxies and the control state are the shipped ones. Stubs
stand for what is around them: clocks that drift, a network that loses, holds up and doubles
messages, and a chain whose views are decided here. Only `Admissions` judges, and it sees only the
moments at which operations were admitted.
"""

import asyncio
import itertools
import json
import random

from petrelhaven.control.consensus.peer_clocks import PeerClocks
from petrelhaven.control.counting.service import CountingService
from petrelhaven.control.order_messages import EnterAnswer
from petrelhaven.control.state.control_state import ControlState
from petrelhaven.limits.terms import Quota
from petrelhaven.proxy.tenants.admission import QuotaAdmission
from petrelhaven.proxy.tenants.directory import TenantDirectory
from petrelhaven.runtime.clock import Clock
from petrelhaven.runtime.errors import DeadlineExceeded, Fault, NotReady, NotSent, Unreachable
from petrelhaven.runtime.tasks import BackgroundTasks
from petrelhaven.simulator.virtual_time import WarpLoop, end_all
from petrelhaven.transport.message_kinds import MessageKind

CONFIRM_S = 0.5
APPLY_S = 4.0
_AIM_US, _DEADLINE_US = 500_000, 2_000_000


class Admissions:
    """When each tenant's operations were sent, and the limits in force.

    A lowered limit binds windows that begin once every proxy has had `APPLY_S` for it.
    """

    def __init__(self, window_s, excess, slack):
        self.window_s, self.excess, self.slack = window_s, excess, slack
        self.times, self.limits = {}, {}
        self.asked, self.refused = {}, {}

    def limit(self, tenant, quota, since):
        self.limits.setdefault(tenant, []).append((since, quota))

    def admitted(self, tenant, now):
        self.times.setdefault(tenant, []).append(now)

    def most(self, tenant, start):
        """How many a window that begins at `start` may hold: a lower limit comes into force late."""
        in_force = None
        highest = 0
        for since, quota in self.limits[tenant]:
            nominal = quota.rate_per_s * self.window_s + quota.burst
            allowed = nominal * (1 + self.excess) + self.slack
            if in_force is None or since + APPLY_S <= start:
                in_force = highest = allowed
            elif since <= start + self.window_s:
                highest = max(highest, allowed)
        return max(highest, in_force)

    def excesses(self):
        """The windows that hold too many: tenant, start, how many, how many they may hold."""
        found = []
        for tenant, times in self.times.items():
            end = 0
            for index, start in enumerate(times):
                while end < len(times) and times[end] <= start + self.window_s:
                    end += 1
                if end - index > self.most(tenant, start) + 1e-9:
                    found.append((tenant, round(start, 3), end - index, self.most(tenant, start)))
        return found


class Process:
    """What runs on one machine; it stands still while it is frozen."""

    def __init__(self, world, name):
        self.world, self.name = world, name
        self.is_up, self.frozen, self.life = False, False, 0
        self._put_off = []

    def run_or_put_off(self, call):
        """Calls `call` now, or on waking."""
        if self.frozen:
            self._put_off.append(call)
        else:
            call()

    def freeze(self):
        self.frozen = True

    def thaw(self):
        self.frozen = False
        put_off, self._put_off = self._put_off, []
        for call in put_off:
            self.run_or_put_off(call)

    def forget(self):
        """Its end: nothing of it happens any more."""
        self.is_up, self.frozen = False, False
        self._put_off = []
        self.life += 1


class ProcessClock(Clock):
    """Steady microseconds at a rate of its own."""

    __slots__ = ("process", "rate", "offset")

    def __init__(self, process, rate):
        self.process, self.rate = process, rate
        self.offset = process.world.rng.randrange(10**9)

    def now(self):
        return self.offset + int(self.process.world.now() * self.rate * 1e6)

    def later(self, us, call):
        process, life = self.process, self.process.life

        def ring():
            if process.life == life:
                process.run_or_put_off(call)

        seconds = max(us, 0) / 1e6 / self.rate
        return asyncio.get_running_loop().call_later(seconds, ring)


class ConfirmationStub:
    """What a node knows of the clocks of the others."""

    def __init__(self, clock):
        self.started_at_us, self.peer_clocks = clock.now(), PeerClocks(clock)


class ChainStub:
    """A node's place in the views, with what the real chain promises of `is_active`.

    A node acts under its view while a majority has confirmed it lately, and only once no node acts
    under a former one.
    """

    def __init__(self, node):
        self._node, self._world = node, node.world
        self.view, self.confirmed_until = None, -1.0
        self.confirmation = ConfirmationStub(node.clock)

    @property
    def control_state(self):
        return self._world.control_state

    @property
    def is_head(self):
        return self.view is not None and self.view.chain[0] == self._node.name

    @property
    def confirmed(self):
        return self.view is not None and self._world.now() < self.confirmed_until

    @property
    def is_active(self):
        if not self.confirmed or self._node.name not in self.view.chain:
            return False
        return not any(
            node.is_up and node.chain.confirmed and node.chain.view.number < self.view.number
            for node in self._world.nodes.values()
        )


class View:
    """A decided view."""

    def __init__(self, number, chain):
        self.number, self.chain = number, tuple(chain)


class ControlProcess(Process):
    """A control node: the shipped counting service over stubs."""

    def __init__(self, world, name, rate):
        super().__init__(world, name)
        self._rate = rate
        self.start()

    def start(self):
        self.is_up = True
        self.clock = ProcessClock(self, self._rate)
        self.tasks = BackgroundTasks()
        self.chain, self.log = ChainStub(self), None
        self.counting = CountingService(self, lambda: self.world.rng.getrandbits(40))
        self.handlers = {
            MessageKind.QUOTA_REPORT: self.counting.report,
            MessageKind.QUOTA_COUNT: self.counting.count,
            MessageKind.QUOTA_COPY: self.counting.copy,
            MessageKind.QUOTA_FETCH: self.counting.fetch,
        }
        self.tasks.spawn(self.counting.run())

    def kill(self):
        self.tasks.kill()
        self.forget()

    async def call(self, name, kind, body, timeout_us):
        return await self.world.call(self, name, kind, body, timeout_us)

    async def enter(self, record, force=True, within_us=2_000_000):
        return await self.world.enter(self, record, within_us)


class CoreConnectionStub:
    """A proxy's connection to one control node, another one after a call without an answer."""

    def __init__(self, proxy):
        self._proxy = proxy
        self.node = None

    async def call(self, kind, body, us):
        world = self._proxy.world
        if self.node is None:
            reached = [n for n in world.nodes if world.reaches(self._proxy.name, n)]
            if not reached:
                raise NotSent("no control node is connected")
            self.node = world.rng.choice(reached)
        try:
            return await world.call(self._proxy, self.node, kind, body, us)
        except (DeadlineExceeded, Unreachable):
            self.node = None
            raise


class RouteStub:
    """What admission reads of a route."""

    aim_us = _AIM_US


class RequestStub:
    """What admission reads and writes of a request."""

    route = RouteStub()

    def __init__(self, tenant, end):
        self.tenant, self.end = tenant, end
        self.permit, self.runs = None, 0


class ProxyProcess(Process):
    """A proxy: the shipped admission over stubs, and clients that ask."""

    def __init__(self, world, name, rate):
        super().__init__(world, name)
        self._rate = rate
        self.start()

    def start(self):
        self.is_up = True
        self.clock = ProcessClock(self, self._rate)
        self.tasks = BackgroundTasks()
        self.rng = random.Random(self.world.rng.random())
        self.count = dict.fromkeys(("over_quota", "shed"), 0)
        self.core_connection = CoreConnectionStub(self)
        self.admission = QuotaAdmission(self)
        self.directory = TenantDirectory(self.world.control_state.configuration_with_defaults)

    def retry_after(self, delay_us=0):
        return f"come back in {delay_us} us"

    def kill(self):
        self.tasks.kill()
        self.forget()

    def configure(self):
        """The configuration that is in force now reaches this proxy."""
        after = TenantDirectory(self.world.control_state.configuration_with_defaults)
        before, self.directory = self.directory, after
        self.admission.apply(before, after)

    def ask(self, tenant):
        self.tasks.spawn(self._operate(self.directory.tenants[tenant]))

    async def _operate(self, tenant):
        admissions, world = self.world.admissions, self.world
        admissions.asked[tenant.name] = admissions.asked.get(tenant.name, 0) + 1
        request = RequestStub(tenant, self.clock.now() + _DEADLINE_US)
        going_on = self.admission.admit(request)
        refusal = None
        try:
            while True:
                await next(going_on)
        except StopIteration as end:
            refusal = end.value
        finally:
            going_on.close()
        if refusal is not None:
            admissions.refused[tenant.name] = admissions.refused.get(tenant.name, 0) + 1
            return
        try:
            if world.rng.random() < world.slow_share:
                await self.clock.sleep(world.rng.randrange(_DEADLINE_US))
            if world.rng.random() >= world.put_back_share:
                self.admission.note_sent(request)
                request.runs += 1
                admissions.admitted(tenant.name, world.now())
        finally:
            self.admission.put_back(request)


class ControlStateWithDefaults(ControlState):
    """The shipped control state, and its configuration as a proxy reads it."""

    __slots__ = ()

    @property
    def configuration_with_defaults(self):
        from petrelhaven.control.configuration.defaults import with_defaults

        return with_defaults(dict(self.configuration))


class World:
    """Everything; `rng` decides what the schedule leaves open."""

    def __init__(  # noqa: PLR0913
        self,
        seed=0,
        quotas=None,
        nodes=5,
        proxies=4,
        drift=0.01,
        excess_per_mille=100,
        slack=20,
        window_us=5_000_000,
    ):
        self.rng = random.Random(seed)
        self.put_back_share, self.slow_share = 0.01, 0.0
        self.late_share, self.double_share = 0.0, 0.0
        self.failed_entry_share = self.unanswered_entry_share = 0.0
        self.quotas = dict(quotas or {"t": Quota(20, 20)})
        self._bounds = {
            "quota_window_us": window_us,
            "quota_excess": excess_per_mille,
            "quota_slack": slack,
        }
        self.admissions = Admissions(window_us / 1e6, excess_per_mille / 1000, slack)
        self.cut = set()
        self.log = []
        self.control_state = ControlStateWithDefaults()
        self.nodes, self.proxies = {}, {}
        self._apply_quotas()
        for tenant, quota in self.quotas.items():
            self.admissions.limit(tenant, quota, self.now())
        rates = itertools.cycle((1 + drift, 1 - drift))
        for name in "abcdefg"[:nodes]:
            self.nodes[name] = ControlProcess(self, name, next(rates))
        for number in range(proxies):
            name = f"p{number}"
            self.proxies[name] = ProxyProcess(self, name, next(rates))
        self.view = None
        self.decide(self.nodes)
        self._confirming = asyncio.ensure_future(self._confirm())
        self._asking = []

    @staticmethod
    def now():
        return asyncio.get_running_loop().time()

    def process(self, name):
        return self.nodes.get(name) or self.proxies[name]

    # The configuration

    def _apply_quotas(self):
        tenants = [
            {"name": name, "keys": [name], "rate": quota.rate_per_s, "burst": quota.burst}
            for name, quota in self.quotas.items()
        ]
        document = {
            "groups": [],
            "routes": [],
            "bounds": self._bounds,
            "keyed": True,
            "tenants": tenants,
        }
        state = self.control_state
        version = (state.accepted_configuration.version if state.accepted_configuration else 0) + 1
        state.apply(
            state.seq + 1,
            {"t": "manifest", "text": json.dumps(document), "version": version},
        )

    def limit(self, tenant, quota):
        """Another limit: control nodes have it at once, proxies within `APPLY_S`."""
        self.quotas[tenant] = quota
        self._apply_quotas()
        self.admissions.limit(tenant, quota, self.now())
        for proxy in self.proxies.values():
            delay = self.rng.uniform(0, APPLY_S * 0.9)
            asyncio.get_running_loop().call_later(delay, self._configure, proxy)

    @staticmethod
    def _configure(proxy):
        if proxy.is_up:
            proxy.run_or_put_off(proxy.configure)

    # The network

    def reaches(self, source, target):
        return (source, target) not in self.cut and self.process(target).is_up

    async def call(self, source, target, kind, body, timeout_us):
        """One call over the network; a request may come late, twice, or not at all."""
        if not self.process(target).is_up:
            await source.clock.sleep(1_000)
            raise NotSent("refused")
        answer = asyncio.get_running_loop().create_future()
        self._send(source, target, kind, json.dumps(body), answer)
        if self.rng.random() < self.double_share:
            self._send(source, target, kind, json.dumps(body), answer)
        raw = await source.clock.limit(answer, timeout_us)
        if isinstance(raw, Fault):
            raise raw
        return json.loads(raw)

    def _latency(self):
        if self.rng.random() < self.late_share:
            return self.rng.uniform(0.1, 4.0)
        return self.rng.uniform(0.0005, 0.015)

    def _send(self, source, target, kind, raw, answer):
        process, life = self.process(target), self.process(target).life
        sender_life = source.life

        def arrive():
            if process.life == life and process.is_up:
                process.run_or_put_off(handle)

        def handle():
            if process.life == life:
                process.tasks.spawn(self._handle(process, kind, raw, back))

        def back(result):
            if (target, source.name) in self.cut:
                return
            asyncio.get_running_loop().call_later(self._latency(), arrive_back, result)

        def arrive_back(result):
            if source.life == sender_life:
                source.run_or_put_off(lambda: answer.done() or answer.set_result(result))

        if (source.name, target) in self.cut:
            return
        asyncio.get_running_loop().call_later(self._latency(), arrive)

    @staticmethod
    async def _handle(process, kind, raw, back):
        try:
            result = json.dumps(await process.handlers[kind](None, json.loads(raw)))
        except Fault as fault:
            result = fault
        back(result)

    async def enter(self, node, record, within_us):
        """Enters a record; it may be entered although the answer is lost."""
        is_failed = self.rng.random() < self.failed_entry_share
        is_unanswered = self.rng.random() < self.unanswered_entry_share
        await node.clock.sleep(self.rng.randrange(2_000, 60_000))
        head = self.nodes[self.view.chain[0]]
        if node.chain.view is not self.view or not head.is_up or head.frozen or is_failed:
            await node.clock.sleep(within_us)
            raise NotReady("not entered")
        self.control_state.check(record)
        self.control_state.apply(self.control_state.seq + 1, record)
        self.note("record", record)
        if is_unanswered:
            await node.clock.sleep(within_us)
            raise DeadlineExceeded("entered, but the answer is lost")
        await node.clock.sleep(self.rng.randrange(2_000, 30_000))
        return EnterAnswer(self.control_state.seq, False)

    # Views

    def decide(self, chain):
        """Another view; the nodes of both views learn of it in a while, those that are up."""
        number = self.view.number + 1 if self.view else 1
        self.view = View(number, chain)
        self.note("view", number, "".join(self.view.chain))
        for name in self.nodes:
            self._adopt_later(name, self.rng.uniform(0, 0.2) if number > 1 else 0)

    def _adopt_later(self, name, delay):
        asyncio.get_running_loop().call_later(delay, self._adopt, name)

    def _adopt(self, name):
        node = self.nodes[name]
        if not node.is_up or self._is_alone(name):
            return
        node.run_or_put_off(lambda: self._adopt_now(node))

    def _adopt_now(self, node):
        if node.is_up and (node.chain.view is None or node.chain.view.number < self.view.number):
            node.chain.view, node.chain.confirmed_until = self.view, -1.0

    def _is_alone(self, name):
        """Whether a node doesn't reach a majority both ways."""
        others = [
            other
            for other in self.nodes
            if other != name
            and self.reaches(name, other)
            and (other, name) not in self.cut
            and not self.nodes[other].frozen
        ]
        return len(others) + 1 <= len(self.nodes) // 2

    async def _confirm(self):
        while True:
            self._read_clocks()
            for name, node in self.nodes.items():
                if not node.is_up or node.frozen or self._is_alone(name):
                    continue
                if node.chain.view is self.view:
                    node.chain.confirmed_until = self.now() + CONFIRM_S
                else:
                    self._adopt_later(name, self.rng.uniform(0, 0.2))
            await asyncio.sleep(0.1)

    def _read_clocks(self):
        """Each node reads the clocks of some others, a while after they showed it."""
        for name, node in self.nodes.items():
            for other in self.rng.sample([n for n in self.nodes if n != name], 2):
                if self._may_talk(name, other):
                    peer = self.nodes[other]
                    shown_us = peer.clock.now() - self.rng.randrange(500, 100_000)
                    boot = peer.chain.confirmation.started_at_us
                    node.chain.confirmation.peer_clocks.record_reading(other, boot, shown_us)

    def _may_talk(self, name, other):
        running = all(n.is_up and not n.frozen for n in (self.nodes[name], self.nodes[other]))
        return running and not {(name, other), (other, name)} & self.cut

    # What happens

    def note(self, *what):
        self.log.append((round(self.now(), 3), *what))

    def load(self, tenant, per_s, name=None):
        """Clients of all proxies, or of one, ask `per_s` operations a second of a tenant in all."""
        names = [name] if name else list(self.proxies)
        for proxy in names:
            coroutine = self._ask(proxy, tenant, per_s / len(names))
            self._asking.append(asyncio.ensure_future(coroutine))

    def unload(self):
        for task in self._asking:
            task.cancel()
        self._asking = []

    async def _ask(self, name, tenant, per_s):
        while True:
            await asyncio.sleep(self.rng.expovariate(per_s))
            proxy = self.proxies[name]
            if proxy.is_up:
                life = proxy.life
                proxy.run_or_put_off(lambda p=proxy, n=life: p.life == n and p.ask(tenant))

    def kill(self, *names, down_s=0.0):
        """Processes end at this instant, and start again after `down_s`; None: never."""
        self.note("kill", *names, down_s)
        for name in names:
            process = self.process(name)
            if process.is_up:
                process.kill()
                if down_s is not None:
                    asyncio.get_running_loop().call_later(down_s, self._start, process)

    def _start(self, process):
        if not process.is_up:
            process.start()
            if process.name in self.nodes:
                self._adopt(process.name)

    def freeze(self, name, for_s):
        self.note("freeze", name, for_s)
        process = self.process(name)
        if process.is_up and not process.frozen:
            process.freeze()
            asyncio.get_running_loop().call_later(for_s, self._thaw, process, process.life)

    @staticmethod
    def _thaw(process, life):
        if process.life == life:
            process.thaw()

    def cut_off(self, sources, targets, for_s):
        """Nothing passes from `sources` to `targets` for a while."""
        self.note("cut", "".join(sources), "->", "".join(targets), for_s)
        links = {(s, t) for s in sources for t in targets if s != t}
        self.cut |= links
        asyncio.get_running_loop().call_later(for_s, self._join, links)

    def _join(self, links):
        self.cut -= links

    def close(self):
        self.unload()
        self._confirming.cancel()
        for process in [*self.nodes.values(), *self.proxies.values()]:
            process.tasks.kill()


def play(scene, **kw):
    """The world after `scene(world)` was played in virtual time."""
    loop = WarpLoop()
    asyncio.set_event_loop(loop)

    async def go():
        world = World(**kw)
        await scene(world)
        world.close()
        return world

    try:
        return loop.run_until_complete(go())
    finally:
        end_all(loop)
        loop.close()
        asyncio.set_event_loop(None)
