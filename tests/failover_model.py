"""A simulated group that keeps committing, with the shipped coordinator; its proxies go by what records tell them."""

import asyncio
import random
import types

from hypothesis import Phase, settings
from virtual_io import LoopClock

from petrelhaven.control.consensus.view import View
from petrelhaven.control.failover.coordinator import FailoverCoordinator
from petrelhaven.control.failover.group_state import MemberEndpoint
from petrelhaven.control.state.control_state import ControlState
from petrelhaven.control.state.rows import LeadershipPhase
from petrelhaven.runtime.errors import Fenced, NotSent, Unreachable
from petrelhaven.runtime.tasks import BackgroundTasks
from petrelhaven.simulator.virtual_time import WarpLoop, end_all

__all__ = ["GENERATED", "Member", "ProxyView", "SimulatedGroup", "run_simulated"]

GENERATED = settings(
    max_examples=60, phases=[Phase.generate], deadline=None, derandomize=True, database=None
)
HEARTBEAT_INTERVAL_US = 1_200_000


class Member:
    """A simulated member.

    Attributes:
        reachable: Whether control nodes can reach it.
        running: Whether its process runs.
        refuses_control: Whether a partition resets connections of control nodes to it.
        receiving: Whether it receives the log while it isn't paused.
        loses_answers: Whether its answers to commands other than STATUS are lost.
    """

    def __init__(self, name, role):
        self.name, self.role, self.term, self.position, self.paused_term = name, role, 1, (1, 5), 0
        self.reachable = self.running = self.receiving = True
        self.loses_answers = self.refuses_control = False

    def row(self):
        return {
            "role": self.role,
            "term": self.term,
            "pos": self.position,
            "held": self.paused_term,
            "lag_ms": "0",
            "busy": 0,
            "conns": 1,
        }


class MemberConnection:
    def __init__(self, group, member):
        self.group, self.member, self.lost = group, member, False

    def send_command(self, verb, *args):
        group, member = self.group, self.member
        answered = asyncio.get_running_loop().create_future()

        def answer():
            if answered.done() or not (member.reachable and member.running):
                return
            if member.refuses_control:
                answered.set_exception(Unreachable("reset"))
                return
            if (
                verb == "pause"
                and args[0] > max(member.term, member.paused_term)
                and member.role == "replica"
            ):
                member.paused_term = args[0]
            if verb == "resume":
                member.paused_term = 0
            if verb != "status":
                group.trace.append((verb, member.name, *args))
            if verb == "status" or not member.loses_answers:
                answered.set_result(member.row())

        asyncio.get_running_loop().call_later(0.002, answer)
        return answered

    def close(self):
        self.lost = True


class ProxyView:
    """What proxies know as of one record; decides, as `MemberProofs` does, which copies make a commit acknowledged."""

    def __init__(self, control_state):
        self.seq = control_state.seq
        self.members = set(control_state.group_members("g"))
        self.without_vote = control_state.evidence("g").without_vote
        leadership = control_state.leadership("g")
        self.is_failover = leadership is not None and leadership.phase is LeadershipPhase.FAILOVER
        self.successors = leadership.pending if leadership is not None else frozenset()

    def acknowledges(self, holders):
        """Returns whether a commit that only the primary and `holders` have is acknowledged."""
        voting = holders & self.members - self.without_vote
        if self.successors:
            return bool(voting) and self.successors <= holders
        return bool(voting if self.is_failover or self.without_vote else holders)


class SimulatedGroup:
    """A group that acknowledges a commit once a replica has it, its platform and its control node.

    Its proxies apply each record `in_force_delay_s` after it was committed. They acknowledge a commit by `ProxyView`.
    """

    def __init__(self, names=("p", "r1", "r2"), zones=None):
        self.clock, self.tasks, self.log = LoopClock(), BackgroundTasks(), None
        self.members = {
            name: Member(name, "primary" if name == "p" else "replica") for name in names
        }
        self.trace, self.acknowledged, self.fencing_token, self.promoted_names = [], (1, 5), 0, []
        self.rng, self.in_force_delay_s, self.platform_outcomes = random.Random(1), 0.0, []
        self.promotion_delay_s = 0.2
        self.proxy_view = ProxyView(ControlState())
        self.wire = self.platform = self.node_caller = self.lease_table = self
        self.name, self.zone, self.heartbeat_us, self.last_heartbeats = (
            "c1",
            "a",
            HEARTBEAT_INTERVAL_US,
            {},
        )
        self.observations = {"c2": "same", "c3": "same"}
        control_state = ControlState()
        self.chain = types.SimpleNamespace(
            control_state=control_state,
            is_head=True,
            is_active=True,
            append_record=self.append_record,
            view=View(1, ("c1", "c2", "c3"), {"c1": "d1", "c2": "d2", "c3": "d3"}),
        )
        self.apply_record({"t": "manifest", "version": 1, "text": '{"groups":[{"name":"g"}]}'})
        for number, name in enumerate(names):
            self.apply_record(
                {
                    "t": "member",
                    "name": name,
                    "group": "g",
                    "hall": (zones or {}).get(name, "a"),
                    "addr": f"1.1.1.1:{number}",
                    "role": self.members[name].role,
                    "state": "ready",
                    "slots": 5,
                    "count": 1,
                }
            )
        self.coordinator = FailoverCoordinator(self, self)

    def apply_record(self, record):
        control_state = self.chain.control_state
        control_state.check(record)
        control_state.apply(control_state.seq + 1, record)
        asyncio.get_running_loop().call_later(
            self.in_force_delay_s, self.apply_at_proxies, ProxyView(control_state)
        )
        return control_state.seq

    def apply_at_proxies(self, view):
        if view.seq > self.proxy_view.seq:
            self.proxy_view = view

    async def append_record(self, record):
        await asyncio.sleep(0.005)
        seq = self.apply_record(record)
        if record["t"] == "office":
            self.trace.append((record["phase"], record["primary"], seq, record["stuck"]))
        return seq

    def set_member_state(self, name, state):
        row = self.chain.control_state.doc["members"][name]
        self.apply_record(
            {"t": "member", "name": name, **{**row, "state": state, "count": row["count"] + 1}}
        )

    def join(self, name, position=None):
        """Adds a member at a new address; it starts to receive 0.1 s after its first heartbeat."""
        member = self.start_unannounced(name, position)
        member.receiving = False
        asyncio.get_running_loop().call_later(0.1, setattr, member, "receiving", True)
        self.announce(name)

    def start_unannounced(self, name, position=None):
        """Adds a member that receives at once, before its first heartbeat; returns it."""
        member = Member(name, "replica")
        member.term = max(other.term for other in self.members.values())
        member.position = position or (1, 0)
        self.members[name] = member
        return member

    def announce(self, name):
        """Records the first heartbeat of a member."""
        self.apply_record(
            {
                "t": "member",
                "name": name,
                "group": "g",
                "hall": "a",
                "addr": f"1.1.1.2:{name}",
                "role": "replica",
                "state": "ready",
                "slots": 5,
                "count": 1,
            }
        )

    def end_member(self, name, signs_off=True):
        """Ends a member, whose log is lost."""
        self.members[name].running = False
        if signs_off and self.chain.control_state.doc["members"][name]["state"] != "gone":
            addr = self.chain.control_state.doc["members"][name]["addr"]
            self.apply_record({"t": "member", "name": name, "state": "gone", "addr": addr})

    async def drain_and_end(self, name, seconds=7.3, signs_off=True):
        """Drains a member for some seconds, then ends it."""
        self.set_member_state(name, "draining")
        await asyncio.sleep(seconds)
        self.end_member(name, signs_off)

    @property
    def evidence(self):
        return self.chain.control_state.evidence("g")

    async def wait_in_force(self, seq):
        while self.proxy_view.seq < seq:
            await asyncio.sleep(0.005)
        self.trace.append(("in force", seq))

    async def open(self, addr, group, name, timeout_us):
        member = self.members[name]
        if not member.reachable:
            await asyncio.sleep(timeout_us / 1e6)
            raise NotSent("mute")
        if not member.running or member.refuses_control:
            raise NotSent("refused")
        return MemberConnection(self, member)

    async def call(self, node, kind, body, timeout_us, again=True):
        """Answers as another control node: with this node's observation or the one that a test sets."""
        observation = self.observations[node]
        if observation is None:
            raise Unreachable("cut off")
        endpoint = MemberEndpoint.from_body(body)
        return {
            "how": await self.coordinator.observer.inspect(endpoint)
            if observation == "same"
            else observation
        }

    async def suspect(self, group, member, reason):
        self.coordinator.suspect(group, member, reason)

    async def promote(self, group, name, fencing_token, holder):
        """Promotes a member after a delay, subject to fencing and to the outcome that a test sets."""
        self.trace.append(("promote", name, fencing_token))
        self.promoted_names.append(name)
        outcome = self.platform_outcomes.pop(0) if self.platform_outcomes else "fine"
        if outcome == "unsent":
            raise NotSent("down")
        if outcome == "lost":
            raise Unreachable("cut")
        if (
            fencing_token < self.fencing_token
            or not self.members[name].running
            or outcome == "fenced"
        ):
            raise Fenced("409")
        self.fencing_token = fencing_token
        if self.members[name].role != "primary":
            asyncio.get_running_loop().call_later(self.promotion_delay_s, self.become_primary, name)
        if outcome == "unanswered":
            raise Unreachable("cut")

    def become_primary(self, name):
        """Applies an accepted promotion, whatever fencing tokens were seen since."""
        member = self.members[name]
        if not member.running or member.role == "primary":
            return
        assert member.position >= self.acknowledged, (
            f"{name} at {member.position} leads; acknowledged is {self.acknowledged}"
        )
        term = max(other.term for other in self.members.values()) + 1
        for other in self.members.values():
            other.role, other.paused_term, other.position = (
                "replica",
                0,
                min(other.position, member.position),
            )
            if other.running:
                other.term = term
        member.role, member.term = "primary", term
        self.trace.append(("leads", name))

    def commit_once(self):
        """Commits on the primary; each receiving replica gets the log with probability 0.5.

        Proxies go by the replicas that get this commit at once: earlier ones are behind it in the log.
        """
        primary = next(
            (
                member
                for member in self.members.values()
                if member.role == "primary" and member.running
            ),
            None,
        )
        if primary is None:
            return
        primary.position = (primary.term, primary.position[1] + 1)
        holders = {
            member.name
            for member in self.members.values()
            if member is not primary
            and member.running
            and member.receiving
            and not member.paused_term
            and self.rng.random() < 0.5
        }
        for name in holders:
            self.members[name].position = primary.position
        if self.proxy_view.acknowledges(holders):
            self.acknowledged = primary.position

    def announce_role_changes(self):
        """Records changed roles of known members at once."""
        for name, row in self.chain.control_state.group_members("g").items():
            if self.members[name].running and self.members[name].role != row["role"]:
                self.apply_record(
                    {
                        "t": "member",
                        "name": name,
                        **{**row, "role": self.members[name].role, "count": row["count"] + 1},
                    }
                )

    async def run_members(self):
        while True:
            await asyncio.sleep(0.01)
            self.commit_once()
            self.announce_role_changes()

    async def start(self):
        """Starts the coordinator and the members; returns once the primary serves."""
        self.tasks.spawn(self.coordinator.run())
        self.tasks.spawn(self.run_members())
        await self.wait_until(lambda: self.leadership and self.leadership["phase"] == "serve")

    async def wait_until(self, is_reached, seconds=20):
        deadline = self.clock.now() + seconds * 1_000_000
        while not is_reached():
            assert self.clock.now() < deadline, (
                self.trace[-12:],
                self.coordinator.wait_reasons,
                self.leadership,
            )
            await asyncio.sleep(0.01)

    @property
    def leadership(self):
        return self.chain.control_state.doc["offices"].get("g")

    @property
    def settled(self):
        leadership = self.leadership
        return (
            leadership["phase"] == "serve"
            and self.members[leadership["primary"]].role == "primary"
            and not any(
                member.paused_term for name, member in self.members.items() if self.is_staying(name)
            )
        )

    def is_staying(self, name):
        """Returns whether a member is present and not draining."""
        row = self.chain.control_state.doc["members"].get(name)
        return row is not None and row["state"] == "ready"

    def set_reachability(self, name, reachable=False, running=True):
        member = self.members[name]
        member.reachable, member.running = reachable, running

    def trace_index(self, *start):
        """Returns the index of the first trace entry that starts with `start`."""
        return next(i for i, entry in enumerate(self.trace) if entry[: len(start)] == start)


def run_simulated(scenario, *arguments, **keywords):
    loop = WarpLoop()
    asyncio.set_event_loop(loop)
    errors = []
    loop.set_exception_handler(lambda _, context: errors.append(context))

    async def go():
        group = SimulatedGroup(*arguments, **keywords)
        await group.start()
        await scenario(group)

    try:
        loop.run_until_complete(go())
    finally:
        end_all(loop)
        loop.close()
        asyncio.set_event_loop(None)
    assert not errors, errors
