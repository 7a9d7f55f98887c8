"""Simulates tenants' limits in virtual time, with counting control nodes and admitting proxies.

The counting service, the admission of proxies and the control state are the production code. Stubs
replace their environment: clocks that drift, a network that loses, delays and duplicates messages,
and a chain whose views the test installs. `Admissions` alone checks the limits, from the times at
which operations were sent.
"""

import asyncio
import itertools
import json
import random

from petrelhaven.control.consensus.peer_clocks import PeerClocks
from petrelhaven.control.counting.service import CountingService
from petrelhaven.control.state.control_state import ControlState
from petrelhaven.control.submit_messages import SubmitAnswer
from petrelhaven.limits.quota import Quota
from petrelhaven.proxy.tenants.admission import QuotaAdmission
from petrelhaven.proxy.tenants.directory import TenantDirectory
from petrelhaven.runtime.clock import Clock
from petrelhaven.runtime.errors import DeadlineExceeded, Fault, NotReady, NotSent, Unreachable
from petrelhaven.runtime.tasks import BackgroundTasks
from petrelhaven.simulator.virtual_time import WarpLoop, end_all
from petrelhaven.transport.message_kinds import MessageKind

VIEW_CONFIRMATION_S = 0.5
MAX_APPLY_S = 4.0
_AIM_US, _DEADLINE_US = 500_000, 2_000_000


class Admissions:
    """Records when each tenant's operations were sent, and which limits applied.

    A lowered limit applies to windows that begin at least `MAX_APPLY_S` after it was set.
    """

    def __init__(self, window_s, excess, slack):
        self.window_s, self.excess, self.slack = window_s, excess, slack
        self.times, self.limits = {}, {}
        self.submitted, self.refused = {}, {}

    def add_limit(self, tenant, quota, since):
        self.limits.setdefault(tenant, []).append((since, quota))

    def record_sent(self, tenant, now):
        self.times.setdefault(tenant, []).append(now)

    def max_in_window(self, tenant, start):
        """Returns how many operations a window that begins at `start` may hold.

        A lower limit counts only once `MAX_APPLY_S` has passed.
        """
        in_force = None
        highest = 0
        for since, quota in self.limits[tenant]:
            nominal = quota.rate_per_s * self.window_s + quota.burst
            allowed = nominal * (1 + self.excess) + self.slack
            if in_force is None or since + MAX_APPLY_S <= start:
                in_force = highest = allowed
            elif since <= start + self.window_s:
                highest = max(highest, allowed)
        return max(highest, in_force)

    def excesses(self):
        """Returns the windows above their limit as (tenant, start, count, maximum)."""
        found = []
        for tenant, times in self.times.items():
            end = 0
            for index, start in enumerate(times):
                while end < len(times) and times[end] <= start + self.window_s:
                    end += 1
                if end - index > self.max_in_window(tenant, start) + 1e-9:
                    found.append(
                        (tenant, round(start, 3), end - index, self.max_in_window(tenant, start))
                    )
        return found


class Process:
    """A process on one machine; while it is frozen, its callbacks are deferred."""

    def __init__(self, world, name):
        self.world, self.name = world, name
        self.is_up, self.frozen, self.incarnation = False, False, 0
        self._deferred = []

    def run_or_defer(self, call):
        """Calls `call` now, or when the process is thawed."""
        if self.frozen:
            self._deferred.append(call)
        else:
            call()

    def freeze(self):
        self.frozen = True

    def thaw(self):
        self.frozen = False
        deferred, self._deferred = self._deferred, []
        for call in deferred:
            self.run_or_defer(call)

    def deadline(self):
        """Ends the process: drops deferred callbacks and invalidates pending ones."""
        self.is_up, self.frozen = False, False
        self._deferred = []
        self.incarnation += 1


class ProcessClock(Clock):
    """A monotonic clock in microseconds that runs at its own rate."""

    __slots__ = ("process", "rate", "offset")

    def __init__(self, process, rate):
        self.process, self.rate = process, rate
        self.offset = process.world.rng.randrange(10**9)

    def now(self):
        return self.offset + int(self.process.world.now() * self.rate * 1e6)

    def later(self, us, call):
        process, incarnation = self.process, self.process.incarnation

        def fire():
            if process.incarnation == incarnation:
                process.run_or_defer(call)

        seconds = max(us, 0) / 1e6 / self.rate
        return asyncio.get_running_loop().call_later(seconds, fire)


class ConfirmationStub:
    """A node's view confirmation, with its readings of the other nodes' clocks."""

    def __init__(self, clock):
        self.started_at_us, self.peer_clocks = clock.now(), PeerClocks(clock)


class ChainStub:
    """A node's chain, with the guarantees that the real chain gives for `is_active`.

    A node is active in its view while a majority has recently confirmed the view, and only once no
    node is active in an earlier one.
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
    """A view that the test has installed."""

    def __init__(self, number, chain):
        self.number, self.chain = number, tuple(chain)


class ControlProcess(Process):
    """A control node: the production counting service on top of stubs."""

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
            MessageKind.QUOTA_REPORT: self.counting.handle_report,
            MessageKind.QUOTA_COUNT: self.counting.handle_count,
            MessageKind.QUOTA_COPY: self.counting.handle_copy,
            MessageKind.QUOTA_FETCH: self.counting.handle_fetch,
        }
        self.tasks.spawn(self.counting.run())

    def kill(self):
        self.tasks.kill()
        self.deadline()

    async def call(self, name, kind, body, timeout_us):
        return await self.world.call(self, name, kind, body, timeout_us)

    async def submit_record(self, record, force=True, within_us=2_000_000):
        return await self.world.submit_record(self, record, within_us)


class CoreConnectionStub:
    """A proxy's connection to a control node; picks another one after an unanswered call."""

    def __init__(self, proxy):
        self._proxy = proxy
        self.node = None

    async def call(self, kind, body, timeout_us):
        world = self._proxy.world
        if self.node is None:
            reachable = [n for n in world.nodes if world.reaches(self._proxy.name, n)]
            if not reachable:
                raise NotSent("no control node is connected")
            self.node = world.rng.choice(reachable)
        try:
            return await world.call(self._proxy, self.node, kind, body, timeout_us)
        except (DeadlineExceeded, Unreachable):
            self.node = None
            raise


class RouteStub:
    """The part of a route that admission reads."""

    aim_us = _AIM_US


class RequestStub:
    """The part of a request that admission reads and writes."""

    route = RouteStub()

    def __init__(self, tenant, end):
        self.tenant, self.deadline = tenant, end
        self.permit, self.possible_runs = None, 0


class ProxyProcess(Process):
    """A proxy: the production admission on top of stubs, and clients that send operations."""

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
        return f"retry in {delay_us} us"

    def kill(self):
        self.tasks.kill()
        self.deadline()

    def configure(self):
        """Applies the current configuration at this proxy."""
        after = TenantDirectory(self.world.control_state.configuration_with_defaults)
        before, self.directory = self.directory, after
        self.admission.apply_directory(before, after)

    def submit(self, tenant):
        self.tasks.spawn(self._run_operation(self.directory.tenants[tenant]))

    async def _run_operation(self, tenant):
        admissions, world = self.world.admissions, self.world
        admissions.submitted[tenant.name] = admissions.submitted.get(tenant.name, 0) + 1
        request = RequestStub(tenant, self.clock.now() + _DEADLINE_US)
        admitting = self.admission.admit(request)
        refusal = None
        try:
            while True:
                await next(admitting)
        except StopIteration as end:
            refusal = end.value
        finally:
            admitting.close()
        if refusal is not None:
            admissions.refused[tenant.name] = admissions.refused.get(tenant.name, 0) + 1
            return
        try:
            if world.rng.random() < world.slow_share:
                await self.clock.sleep(world.rng.randrange(_DEADLINE_US))
            if world.rng.random() >= world.unsent_share:
                self.admission.note_sent(request)
                request.possible_runs += 1
                admissions.record_sent(tenant.name, world.now())
        finally:
            self.admission.put_back(request)


class ControlStateWithDefaults(ControlState):
    """The production control state, with its configuration as a proxy reads it."""

    __slots__ = ()

    @property
    def configuration_with_defaults(self):
        from petrelhaven.control.configuration.defaults import with_defaults

        return with_defaults(dict(self.configuration))


class World:
    """The simulated system; `rng` makes all choices that a scene leaves open."""

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
        self.unsent_share, self.slow_share = 0.01, 0.0
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
            self.admissions.add_limit(tenant, quota, self.now())
        rates = itertools.cycle((1 + drift, 1 - drift))
        for name in "abcdefg"[:nodes]:
            self.nodes[name] = ControlProcess(self, name, next(rates))
        for number in range(proxies):
            name = f"p{number}"
            self.proxies[name] = ProxyProcess(self, name, next(rates))
        self.view = None
        self.install_view(self.nodes)
        self._confirmation_task = asyncio.ensure_future(self._confirm())
        self._load_tasks = []

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

    def change_quota(self, tenant, quota):
        """Changes a quota; control nodes apply it at once, proxies within `MAX_APPLY_S`."""
        self.quotas[tenant] = quota
        self._apply_quotas()
        self.admissions.add_limit(tenant, quota, self.now())
        for proxy in self.proxies.values():
            delay = self.rng.uniform(0, MAX_APPLY_S * 0.9)
            asyncio.get_running_loop().call_later(delay, self._configure, proxy)

    @staticmethod
    def _configure(proxy):
        if proxy.is_up:
            proxy.run_or_defer(proxy.configure)

    # The network

    def reaches(self, source, target):
        return (source, target) not in self.cut and self.process(target).is_up

    async def call(self, source, target, kind, body, timeout_us):
        """Sends a request, which may arrive late, twice or never, and returns the answer."""
        if not self.process(target).is_up:
            await source.clock.sleep(1_000)
            raise NotSent("connection refused")
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
        process, incarnation = self.process(target), self.process(target).incarnation
        sender_incarnation = source.incarnation

        def deliver():
            if process.incarnation == incarnation and process.is_up:
                process.run_or_defer(handle)

        def handle():
            if process.incarnation == incarnation:
                process.tasks.spawn(self._handle(process, kind, raw, send_answer))

        def send_answer(result):
            if (target, source.name) in self.cut:
                return
            asyncio.get_running_loop().call_later(self._latency(), deliver_answer, result)

        def deliver_answer(result):
            if source.incarnation == sender_incarnation:
                source.run_or_defer(lambda: answer.done() or answer.set_result(result))

        if (source.name, target) in self.cut:
            return
        asyncio.get_running_loop().call_later(self._latency(), deliver)

    @staticmethod
    async def _handle(process, kind, raw, send_answer):
        try:
            result = json.dumps(await process.handlers[kind](None, json.loads(raw)))
        except Fault as fault:
            result = fault
        send_answer(result)

    async def submit_record(self, node, record, within_us):
        """Appends a record to the chain; the record may be appended although the answer is lost."""
        is_failed = self.rng.random() < self.failed_entry_share
        is_unanswered = self.rng.random() < self.unanswered_entry_share
        await node.clock.sleep(self.rng.randrange(2_000, 60_000))
        head = self.nodes[self.view.chain[0]]
        if node.chain.view is not self.view or not head.is_up or head.frozen or is_failed:
            await node.clock.sleep(within_us)
            raise NotReady("the record was not appended")
        self.control_state.check(record)
        self.control_state.apply(self.control_state.seq + 1, record)
        self.log_event("record", record)
        if is_unanswered:
            await node.clock.sleep(within_us)
            raise DeadlineExceeded("the record was appended, but the answer was lost")
        await node.clock.sleep(self.rng.randrange(2_000, 30_000))
        return SubmitAnswer(self.control_state.seq, False)

    # Views

    def install_view(self, chain):
        """Installs a new view, which the running nodes adopt after a short delay."""
        number = self.view.number + 1 if self.view else 1
        self.view = View(number, chain)
        self.log_event("view", number, "".join(self.view.chain))
        for name in self.nodes:
            self._adopt_later(name, self.rng.uniform(0, 0.2) if number > 1 else 0)

    def _adopt_later(self, name, delay):
        asyncio.get_running_loop().call_later(delay, self._adopt, name)

    def _adopt(self, name):
        node = self.nodes[name]
        if not node.is_up or self._is_isolated(name):
            return
        node.run_or_defer(lambda: self._adopt_now(node))

    def _adopt_now(self, node):
        if node.is_up and (node.chain.view is None or node.chain.view.number < self.view.number):
            node.chain.view, node.chain.confirmed_until = self.view, -1.0

    def _is_isolated(self, name):
        """Whether a node cannot exchange messages with a majority."""
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
                if not node.is_up or node.frozen or self._is_isolated(name):
                    continue
                if node.chain.view is self.view:
                    node.chain.confirmed_until = self.now() + VIEW_CONFIRMATION_S
                else:
                    self._adopt_later(name, self.rng.uniform(0, 0.2))
            await asyncio.sleep(0.1)

    def _read_clocks(self):
        """Gives each node delayed readings of two other nodes' clocks."""
        for name, node in self.nodes.items():
            for other in self.rng.sample([n for n in self.nodes if n != name], 2):
                if self._can_exchange(name, other):
                    peer = self.nodes[other]
                    shown_us = peer.clock.now() - self.rng.randrange(500, 100_000)
                    boot = peer.chain.confirmation.started_at_us
                    node.chain.confirmation.peer_clocks.record_reading(other, boot, shown_us)

    def _can_exchange(self, name, other):
        running = all(n.is_up and not n.frozen for n in (self.nodes[name], self.nodes[other]))
        return running and not {(name, other), (other, name)} & self.cut

    # Load and faults

    def log_event(self, *event):
        self.log.append((round(self.now(), 3), *event))

    def start_load(self, tenant, per_s, name=None):
        """Starts clients that send `per_s` operations per second at all proxies, or at one."""
        names = [name] if name else list(self.proxies)
        for proxy in names:
            coroutine = self._send_operations(proxy, tenant, per_s / len(names))
            self._load_tasks.append(asyncio.ensure_future(coroutine))

    def stop_load(self):
        for task in self._load_tasks:
            task.cancel()
        self._load_tasks = []

    async def _send_operations(self, name, tenant, per_s):
        while True:
            await asyncio.sleep(self.rng.expovariate(per_s))
            proxy = self.proxies[name]
            if proxy.is_up:
                incarnation = proxy.incarnation
                proxy.run_or_defer(
                    lambda p=proxy, n=incarnation: p.incarnation == n and p.submit(tenant)
                )

    def kill(self, *names, down_s=0.0):
        """Kills processes; they restart after `down_s`, or never if it is None."""
        self.log_event("kill", *names, down_s)
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
        self.log_event("freeze", name, for_s)
        process = self.process(name)
        if process.is_up and not process.frozen:
            process.freeze()
            asyncio.get_running_loop().call_later(for_s, self._thaw, process, process.incarnation)

    @staticmethod
    def _thaw(process, incarnation):
        if process.incarnation == incarnation:
            process.thaw()

    def cut_links(self, sources, targets, for_s):
        """Drops all messages from `sources` to `targets` for `for_s` seconds."""
        self.log_event("cut", "".join(sources), "->", "".join(targets), for_s)
        links = {(s, t) for s in sources for t in targets if s != t}
        self.cut |= links
        asyncio.get_running_loop().call_later(for_s, self._restore_links, links)

    def _restore_links(self, links):
        self.cut -= links

    def close(self):
        self.stop_load()
        self._confirmation_task.cancel()
        for process in [*self.nodes.values(), *self.proxies.values()]:
            process.tasks.kill()


def play(scene, **kw):
    """Runs `scene(world)` in virtual time and returns the world."""
    loop = WarpLoop()
    asyncio.set_event_loop(loop)

    async def run():
        world = World(**kw)
        await scene(world)
        world.close()
        return world

    try:
        return loop.run_until_complete(run())
    finally:
        end_all(loop)
        loop.close()
        asyncio.set_event_loop(None)
