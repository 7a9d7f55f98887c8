"""An edge machine: control tie, troops, sessions and their keepers put together."""

import asyncio
import collections

from transitions import Machine

from petrelhaven.control.configuration.document import Bounds
from petrelhaven.membership.prober import Prober
from petrelhaven.membership.roster import NodeIdentity, Roster
from petrelhaven.proxy.reads.read_clock import LogicalClock
from petrelhaven.proxy.resumable.control_client import Control
from petrelhaven.proxy.resumable.delivery import Delivery
from petrelhaven.proxy.resumable.handover import SessionHandover
from petrelhaven.proxy.resumable.session import Session
from petrelhaven.proxy.resumable.session_keeper import SessionKeeper
from petrelhaven.proxy.resumable.session_replicas import SessionReplicas
from petrelhaven.proxy.resumable.state_follower import StateFollower
from petrelhaven.proxy.resumable.statement_flow import StatementFlow
from petrelhaven.proxy.routing.request_slots import RequestSlots
from petrelhaven.runtime.errors import (
    Busy,
    DeadlineExceeded,
    Fault,
    Malformed,
    NoSession,
    NotReady,
    SessionMoving,
)
from petrelhaven.runtime.events import Events, emit
from petrelhaven.transport.message_kinds import MessageKind
from petrelhaven.transport.node_caller import NodeCaller

__all__ = ["ResumableProxy"]


class ResumableProxy:
    """One edge daemon's logic; clock, link and wire are given."""

    states = ["starting", "serving", "emptied", "leaving", "left"]
    state: str

    def __init__(
        self, name, zone, seeds, clock, tasks, link, rng, wire, http="", log=None, vary=None
    ):
        self.name, self.zone = name, zone
        self.clock, self.tasks, self.link, self.rng, self.wire, self.log = (
            clock,
            tasks,
            link,
            rng,
            wire,
            log,
        )
        self.http, self.vary = http, vary
        identity = NodeIdentity(name, "edge", zone, link.addr, 0)
        self.roster = Roster(clock, identity, log)
        self.node_caller = NodeCaller(clock, link, self.roster, rng)
        self.prober = Prober(clock, link, tasks, rng, self.roster, seeds)
        self.control = Control(
            clock,
            tasks,
            link,
            rng,
            self.roster,
            seeds,
            lambda: {"hall": zone, "addr": link.addr, "http": self.http},
            log,
        )
        self.logical_clock = LogicalClock()
        self.request_slots = RequestSlots(clock)
        self.homes = {}
        self.keeper = SessionKeeper(
            clock, tasks, rng, self.control, self.node_caller, self.homes, zone, self.bounds, log
        )
        self.session_replicas = SessionReplicas(
            clock, tasks, rng, self.control, self.node_caller, self.homes, self.keeper, log
        )
        self.flow, self.follow, self.deliver, self.move = (
            StatementFlow(self),
            StateFollower(self),
            Delivery(self),
            SessionHandover(self),
        )
        self.routes, self.member_groups = {}, {}
        self._std = Bounds()
        self.sent = 0
        self.settings = dict
        self.waits = collections.Counter()
        Machine(
            self,
            states=self.states,
            initial="starting",
            auto_transitions=False,
            transitions=[
                {"trigger": "serve", "source": ["starting", "emptied"], "dest": "serving"},
                {"trigger": "empty", "source": ["starting", "serving"], "dest": "emptied"},
                {"trigger": "leave", "source": "*", "dest": "leaving"},
                {"trigger": "end", "source": "leaving", "dest": "left"},
            ],
        )
        self.control.on_change.append(self.follow.changed)
        self.control.on_lapse.append(self.follow.let_go)
        self.control.on_anew += [self.session_replicas.clear, self.keeper.clear]
        for k, f in {
            MessageKind.SESSION_DELIVER: self.deliver.taken,
            MessageKind.REPLICA_KEEP: self.session_replicas.hold,
            MessageKind.SESSION_TAKE: self.session_replicas.take,
            MessageKind.REPLICA_DROP: self.session_replicas.drop,
            MessageKind.SESSION_CEDE: self.session_replicas.cede,
            MessageKind.REPLICA_VERSIONS: self.session_replicas.seen,
            MessageKind.NODE_REPORTED_STATE: self._belief,
        }.items():
            link.on(k, f)

    def start(self):
        """Starts the edge's tasks."""
        emit(self.log, Events.NODE_STARTED, name=self.name, zone=self.zone, addr=self.link.addr)
        self.tasks.spawn_service(self.prober.run)
        self.tasks.spawn_service(self.session_replicas.run)
        self.control.start()

    def bounds(self):
        """The bounds in force."""
        m = self.control.control_state.configuration
        return m.bounds if m else self._std

    def sends(self, post):
        """Whether a statement may go to `post` now; asked right before each send."""
        return self.control.sends and (post.stop_at is None or self.clock.now() < post.stop_at)

    @property
    def ready(self):
        """Whether the platform should send new connections here."""
        return self.state == "serving" and self.control.sends and bool(self.member_groups)

    def end_txn(self, s, clean=False):
        """Ends a session's transaction; without `clean` its connection is closed, so the member drops it."""
        x, s.txn = s.txn, None
        if x is not None:
            x.pool.pool.give(x.conn) if clean and not x.conn.lost else x.pool.pool.drop(x.conn)

    def watch_txn(self, s, x):
        """Ends a transaction that its visitor left idle past the bound."""

        def check():
            if s.txn is x:
                left = x.since + self.bounds().idle_txn_us - self.clock.now()
                if left > 0:
                    self.clock.call_later(left, check)
                else:
                    self.end_txn(s)

        self.clock.call_later(self.bounds().idle_txn_us, check)

    def pick(self, t, pos, bad):
        """A replica for a read, by weight; those known to hold `pos` first."""
        ps = [t.posts[n] for n in t.epoch["gates"] if n not in bad and n in t.posts]
        ps = [p for p in ps if self.sends(p) and p.pool.limit > 0 and not p.pool.closed]
        if not ps:
            return None
        ahead = [p for p in ps if p.log_progress.position >= pos] or ps
        ws = [p.pool.limit * (2 if p.zone == self.zone else 1) for p in ahead]
        return self.rng.choices(ahead, ws)[0]

    async def wait_replicated(self, t, primary, term, pos):
        """Whether every in-sync replica's log came to hold `pos` within the bound, under a lease."""
        end = self.clock.now() + self.bounds().commit_us
        while self.clock.now() < end:
            e = t.epoch
            if e["term"] != term or e["primary"] != primary:
                return False
            miss = [t.posts[n] for n in e["hold"] if t.posts[n].log_progress.position < pos]
            if not miss and e["open"] and self.control.sends:
                return True
            try:
                await self.clock.wait_for(
                    miss[0].log_progress.poll_until_reached(pos)
                    if miss
                    else asyncio.get_running_loop().create_future(),
                    40_000,
                )
            except DeadlineExceeded:
                pass
        return False

    async def open_session(self):
        """A new session at home here."""
        if not self.ready:
            raise NotReady("this edge takes no sessions now")
        if len(self.homes) >= self.bounds().sessions:
            raise Busy("this edge holds as many sessions as it may")
        s = Session("s-%016x" % self.rng.getrandbits(64))
        self.homes[s.sid] = s
        try:
            await self.keeper.keep(s)
        except Fault:
            s.over = True
            raise
        return {"session": s.sid, "home": self.name, "keepers": s.keepers}

    async def close_session(self, sid):
        """The visitor ends its session."""
        s = self.homes.get(sid)
        if s is None:
            return await self.deliver.out(sid, {"verb": "close"})
        await s.lock()
        try:
            if s.state != "home":
                raise self.moved(s)
            self.end_txn(s)
            await self.keeper.bury(s)
        finally:
            s.unlock()
        return {"ok": True}

    async def statement(self, sid, d):
        """Serves one statement of session `sid`, wherever it is at home."""
        if not isinstance(d, dict) or not isinstance(d.get("verb"), str):
            raise Malformed("a statement is an object with a verb")
        arr = self.logical_clock.next_timestamp()
        s = self.homes.get(sid)
        if s is None:
            return await self.deliver.out(sid, d)
        if d["verb"] == "close":
            return await self.close_session(sid)
        us = self.bounds().statement_us
        try:
            return await self.request_slots.run(self.flow.run(s, d, arr, self.clock.now() + us), us)
        except Fault as f:
            if isinstance(f, Busy):
                emit(self.log, Events.LOAD_SHED, used=self.request_slots.used)
            if f.retry_after_us is not None:
                f.retry_after_us = int(f.retry_after_us * self.rng.uniform(0.75, 1.25))
            raise

    def moved(self, s):
        """The fault for a statement that found its session gone from here."""
        return (
            NoSession("the session has ended")
            if s.state == "closed"
            else SessionMoving("the session lives elsewhere now")
        )

    def reported_state(self):
        """What this node believes."""
        r = self.control.control_state
        return {
            **r.reported_state(),
            "name": self.name,
            "role": "edge",
            "state": self.state,
            "commit": r.seq,
            "view": None,
            "kith": {row[0]: row[5] for row in self.roster.all_rows()},
        }

    async def _belief(self, ch, b):
        return {"doc": self.reported_state()}

    async def drain(self, us=9_000_000):
        """Leaves: hands every session over and ends."""
        await self.move.drain(us)

    def status(self):
        """The belief, the lease, the sessions and the clocks' counts."""
        now = self.clock.now()
        return {
            **self.reported_state(),
            "settings": self.settings(),
            "ready": self.ready,
            "lease_us": max(0, self.control.lease - now),
            "sessions": len(self.homes),
            "kept": len(self.session_replicas.stored),
            "unkept": sum(not s.keepers for s in self.homes.values()),
            "thin": sum(
                not s.is_replicated or len(s.keepers) < self.bounds().keepers
                for s in self.homes.values()
            ),
            "slots_used": self.request_slots.used,
            "shed": self.request_slots.shed_count,
            "sent": self.sent,
            "waits": dict(self.waits),
            "clocks": {g: dict(t.reads.count) for g, t in sorted(self.member_groups.items())},
            "tides": {
                g: {
                    n: [p.log_progress.position, p.log_progress.status_requests]
                    for n, p in sorted(t.posts.items())
                }
                for g, t in sorted(self.member_groups.items())
            },
            "pools": {
                g: {
                    n: {"share": p.pool.share, "held": p.pool.total, "limit": p.pool.limit}
                    for n, p in sorted(t.posts.items())
                }
                for g, t in sorted(self.member_groups.items())
            },
        }
