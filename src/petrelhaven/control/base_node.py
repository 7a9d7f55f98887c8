"""A core machine: roster, voter, chain, lease desk and the planning duty put together."""

import asyncio
import re

from transitions import Machine

from petrelhaven.control.configuration.document import read
from petrelhaven.control.consensus.chain import Chain
from petrelhaven.control.consensus.disk_watch import DiskWatch
from petrelhaven.control.consensus.reform import Reform
from petrelhaven.control.consensus.register import Proposer, Voter
from petrelhaven.control.consensus.view import View
from petrelhaven.control.departure import Departure
from petrelhaven.control.leases import LeaseTable
from petrelhaven.control.storage.core_store import CoreStore
from petrelhaven.membership.prober import Prober
from petrelhaven.membership.roster import Roster
from petrelhaven.runtime.errors import Duplicate, Fault, Invalid, Malformed, NotReady
from petrelhaven.runtime.events import Events, emit
from petrelhaven.runtime.limits import NAME
from petrelhaven.transport.reach import Reach

__all__ = ["BaseControlNode"]

_ADDR = re.compile(r"[A-Za-z0-9.-]{1,64}:[A-Za-z0-9-]{1,32}")
_FACTS = {
    "member": str,
    "group": str,
    "hall": str,
    "addr": str,
    "role": str,
    "log": int,
    "cap": int,
    "draining": bool,
    "boot": str,
    "store": str,
    "warm": bool,
    "term": int,
}


class BaseControlNode:
    """One core daemon's logic; clock, link and disk are given."""

    states = ["outside", "joining", "chained"]
    state_of = None
    repair_interval_us, confirm_us, ask_us, probe_us, suspect_us = (
        250_000,
        500_000,
        120_000,
        200_000,
        900_000,
    )

    def __init__(self, name, zone, seeds, clock, tasks, link, disk, rng, platform, log=None):
        self.name, self.zone, self.seeds = name, zone, seeds
        self.clock, self.tasks, self.link, self.rng, self.log = clock, tasks, link, rng, log
        self.mem = CoreStore(disk, name, rng, log, state=self.state_of)
        self.roster = Roster(clock, (name, "core", zone, link.addr, 0), log, self.suspect_us)
        self.reach = Reach(clock, link, self.roster, rng)
        self.prober = Prober(clock, link, tasks, rng, self.roster, seeds, self.probe_us)
        self.chain = Chain(clock, tasks, self.mem, self.call, log, self.confirm_us, self.ask_us)
        self.lease_table = self.make_lease_table()
        self.duty = self.make_duty(platform)
        self.voter = Voter(self.mem)
        self._ask = Proposer(self.mem, self.call)
        self.disk_watch = DiskWatch(self)
        self._infos = {}
        self.undecided = False
        self.settings = dict
        self._alone = clock.now()
        self.founds = True
        Machine(
            self,
            states=self.states,
            initial="outside",
            auto_transitions=False,
            transitions=[
                {"trigger": "knock", "source": "*", "dest": "joining"},
                {"trigger": "enchain", "source": "*", "dest": "chained"},
                {"trigger": "part", "source": "*", "dest": "outside"},
            ],
        )
        for k, f in {
            "vote.prepare": self.voter.prepare,
            "vote.accept": self.voter.accept,
            "view.ask": self._told,
            "view.learn": self._learn,
            "view.confirm": self.chain.confirmed_by,
            "chain.append": self.chain.append,
            "disk.turned": self.disk_watch.heard,
            "chain.enter": self._enter,
            "chain.read": self._read,
            "chain.force": self.lease_table.force,
            "edge.hold": self.lease_table.hold,
            "creed.belief": self._belief,
            **self.handlers(),
        }.items():
            link.on(k, f)
        self.chain.on_view.append(self.turn)

    def make_lease_table(self):
        """The desk that lends leases to edges."""
        return LeaseTable(self.clock, self.tasks, self.chain, self.call, self.log)

    def make_duty(self, platform):
        """The duty that this core does while it is the head."""
        from petrelhaven.control.resumable.planning_duty import PlanningDuty

        return PlanningDuty(
            self.clock,
            self.tasks,
            self.chain,
            self.lease_table,
            self.roster,
            self.call,
            platform,
            self.log,
        )

    def handlers(self):
        """What this core answers beside the chain's own calls."""
        return {
            "duty.heard": self.duty.told,
            "edge.lease": self.lease_table.lease,
            "edge.enter": self._edge,
        }

    def start(self):
        """Starts the core's tasks."""
        emit(
            self.log,
            Events.NODE_STARTED,
            name=self.name,
            zone=self.zone,
            addr=self.link.addr,
            disk=self.mem.disk,
        )
        for co in (self.prober.run(), self.chain.confirm(), self._maintain_view(), self.duty.run()):
            self.tasks.spawn(co)
        self.disk_watch.start()

    async def call(self, name, kind, body, us):
        """Calls another core (or this one) by name."""
        if name == self.name:
            return await self.link.handlers[kind](None, body)
        return await self.reach.call(name, kind, body, us)

    def turn(self):
        """The one function that changes this core's state."""
        view = self.chain.view
        if view is None:
            want = "outside"
        else:
            chained = view.position(self.name, self.mem.disk) is not None
            want = "chained" if chained else "joining"
        if want != self.state:
            {"outside": self.part, "joining": self.knock, "chained": self.enchain}[want]()
            if want == "chained":
                event = Events.CHAIN_REJOINED if view.number > 1 else Events.NODE_READY
                emit(self.log, event, view=view.number)

    async def _told(self, ch, b):
        return self.told()

    def told(self):
        """What this core tells the others of itself."""
        m = self.mem
        m.expect_identity()
        return {
            "name": self.name,
            "disk": m.disk,
            "fresh": m.fresh,
            "view": self._view_document(),
            "done": m.done,
            "held": m.control_state.seq,
            "commit": self.chain.commit,
            "up_us": self.clock.now() - self.chain.boot,
            "granted_us": self.chain.granted_ages(),
        }

    def _view_document(self):
        return None if self.chain.view is None else self.chain.view.to_document()

    async def _learn(self, ch, b):
        self.chain.adopt(View.from_optional(b["view"]))

    async def _maintain_view(self):
        while True:
            await self.rest()
            for a in self.others():
                self.tasks.spawn(self._info(a))
            if self.mem.refuses:
                continue
            self.undecided = True
            try:
                await self._consider()
                self.undecided = False
            except Fault as e:
                v = e.details.get("value")
                if self.chain.view is None and v:
                    await self._finish(v)

    def others(self):
        """Addresses of the cores to look at."""
        return self.seeds

    def news(self):
        """What the cores looked at told last, by name."""
        return {r["name"]: r for a, (_, r) in self._infos.items() if r and a in self.seeds}

    async def rest(self):
        """Waits between two looks at the other cores."""
        await self.clock.sleep(self.repair_interval_us + self.rng.randrange(50_000))

    async def _info(self, addr):
        at = self.clock.now()
        try:
            if addr == self.link.addr:
                r = await self._told(None, {})
            else:
                r = await self.link.call(addr, "view.ask", {"name": self.name}, 500_000)
        except Fault:
            r = None
            for n, p in list(self.roster.peers.items()):
                if p.addr == addr and p.state == "alive":
                    try:
                        r = await self.reach.call(n, "view.ask", {"name": self.name}, 500_000)
                    except Fault:
                        pass
        _, before = self._infos.get(addr, (0, None))
        self._infos[addr] = (at, r)
        if r and (before is None or before["disk"] != r["disk"]):
            self.wake()
        self.informed()
        if r and r["view"]:
            self.chain.adopt(View.from_document(r["view"]))

    def informed(self):
        """Another core has told of itself."""

    async def _finish(self, v):
        try:
            self.spread(await self._ask.change(self.mem.vote["ids"] or v.ids, lambda x: x or v))
        except Fault:
            pass

    def spread(self, view):
        """Adopts a decided view and tells the other cores of it."""
        self.chain.adopt(view)
        for n in view.ids:
            if n != self.name:
                self.tasks.spawn(self._send_view(n, view))

    async def _send_view(self, n, view):
        try:
            await self.call(n, "view.learn", {"view": view.to_document()}, 500_000)
        except Fault:
            pass

    async def _consider(self):
        infos = self.news()
        v = self.chain.view
        now = self.clock.now()
        if v is None:
            if self.mem.vote["value"]:
                return await self._finish(View.from_document(self.mem.vote["value"]))
            blank = all(r["fresh"] and not r["view"] for r in infos.values())
            if not self.founds or len(infos) < len(self.seeds) or not blank:
                self._alone = now
                return
            if min(infos) != self.name and now - self._alone < 2_000_000:
                return
            ids = {n: r["disk"] for n, r in sorted(infos.items())}
            new = View(1, tuple(sorted(ids)), ids, "first view", self.name, before=())
            emit(self.log, Events.VIEW_PROPOSED, n=1, cause="first view")
            self.spread(await self._ask.change(ids, lambda x: x or new))
            return
        newest = View.from_optional(self.mem.vote["value"])
        if newest and newest.number > v.number and newest.is_member(self.name):
            return await self._finish(newest)
        await self._repair_view(v, infos)

    def wake(self):
        """Has the other cores looked at soon."""

    def _there(self, n):
        return n == self.name or self.roster.state(n) in ("alive", "suspect")

    async def _repair_view(self, v, infos):
        keep = [
            n
            for n in v.chain
            if self._there(n)
            and self.disk_watch.takes_writes(n)
            and (n not in infos or infos[n]["disk"] == v.ids[n])
        ]
        if not keep or keep[0] != self.name or not self.chain.complete:
            return
        join = [
            n
            for n in sorted(infos)
            if n not in keep
            and self._there(n)
            and v.is_member(n)
            and self.disk_watch.takes_writes(n)
        ]
        chain = (*keep, *join)
        ids = {**v.ids, **{n: infos[n]["disk"] for n in join}}
        if chain == v.chain and ids == v.ids:
            return await self.recast(v, infos)
        if len(chain) < v.quorum:
            return
        out = [n for n in v.chain if n not in keep]
        cause = "; ".join(
            filter(
                None,
                [
                    "lost " + ",".join(out) if out else "",
                    "joined " + ",".join(join) if join else "",
                ],
            )
        )
        await self.propose(v, chain, ids, cause)

    async def recast(self, v, infos):
        """Takes in or lets go of cores once the chain is whole as far as it can be."""

    async def propose(self, v, chain, ids, cause):
        """Has a majority of the view's cores decide the next view."""
        before = self.chain.former_cores()
        new = View(v.number + 1, tuple(chain), ids, cause, self.name, before)
        emit(self.log, Events.VIEW_PROPOSED, n=new.number, cause=cause)
        self.spread(
            await self._ask.change(v.ids, lambda x: new if x is None or x.number == v.number else x)
        )

    async def _edge(self, ch, b):
        rec = {
            "t": "edge",
            "name": b["edge"],
            "inc": b["inc"],
            "state": b["state"],
            "boot": b["boot"],
            "hall": b["hall"],
            "addr": b["addr"],
            "http": b["http"],
            "by": b["edge"],
        }
        try:
            return {"seq": (await self.enter(rec, False))["seq"]}
        except Duplicate:
            return {"seq": 0}

    async def enter(self, rec, force=True):
        """Enters a record at the head, wherever that is; with `force`, returns once it is in force."""
        v = self.chain.view
        if v is None:
            raise NotReady("no view yet")
        if v.head == self.name:
            return await self._enter(None, {"rec": rec, "force": force, "bound": None})
        return await self.reach.call(
            v.head,
            "chain.enter",
            {"rec": rec, "force": force, "bound": None},
            20_000_000,
        )

    async def _enter(self, ch, b):
        seq = await self.chain.enter(b["rec"])
        us = 0
        if b["force"]:
            us = await self.lease_table.in_force(seq)
        return {"seq": seq, "forced": b["force"], "doc": {"in_force_us": us}}

    async def _read(self, ch, b):
        return {"doc": self.chain.read()}

    async def control_state(self):
        """The control state as the tail answers it."""
        v = self.chain.view
        if v is None:
            raise NotReady("no view yet")
        if v.tail == self.name:
            return self.chain.read()
        return (await self.reach.call(v.tail, "chain.read", {"what": None}, 2_000_000))["doc"]

    async def apply(self, text, by="", retire=False):
        """Checks and applies a manifest."""
        m = read(text)
        if m.embargoing or m.embargoes:
            raise Invalid(
                "manifest declined",
                details={
                    "faults": [
                        [
                            "embargoing",
                            "embargoes are kept only where sessions live with their connection",
                        ]
                    ]
                },
            )
        r = await self.enter({"t": "manifest", "text": text, "by": by, "retire": retire})
        return {"version": m.version, "change": r["seq"], **r["doc"]}

    async def set_zone_state(self, zone, state, by=""):
        """Empties or restores a hall."""
        r = await self.enter({"t": "hall", "hall": zone, "state": state, "by": by})
        return {"hall": zone, "state": state, "change": r["seq"], **r["doc"]}

    async def reform(self, lost, by=""):
        """Forms the chain anew without the disks of `lost`, at the operator's word."""
        return await Reform(self, self.log).run(lost, by)

    async def frames(self):
        """The control state that each living edge holds, by its name."""

        async def frame(n):
            try:
                return n, (await self.reach.call(n, "edge.frame", {"name": self.name}, 1_500_000))[
                    "frame"
                ]
            except Fault as e:
                emit(self.log, Events.SURVEY_UNANSWERED, node=n, fault=e.code)
                return n, None

        return {
            n: f
            for n, f in await asyncio.gather(*[frame(n) for n in self.roster.living("edge")])
            if f
        }

    def unconfirmed(self):
        """The control state as this core alone holds it: no majority says that it is the newest."""
        return self.chain.control_state.doc

    async def drain(self):
        """Leaves in order: returns once the others go on without this core, or cannot."""
        await Departure(self).run()

    def announce(self, doc):
        """Takes a member's announcement after checking it."""
        if not isinstance(doc, dict):
            raise Malformed("announcement must be an object")
        for k, t in _FACTS.items():
            if type(doc.get(k)) is not t:
                raise Malformed(f"announcement field {k} must be {t.__name__}")
        if type(doc.get("beat", 0)) is not int:
            raise Malformed("announcement field beat must be int")
        for k in ("member", "group", "hall"):
            if not NAME.fullmatch(doc[k]):
                raise Malformed(f"announcement field {k} must be a name")
        if not _ADDR.fullmatch(doc["addr"]):
            raise Malformed("announcement field addr must be an address")
        if doc["role"] not in ("primary", "replica"):
            raise Malformed("announcement field role must be primary or replica")
        for k, lo, hi in (
            ("log", 0, 1 << 53),
            ("term", 0, 1 << 53),
            ("cap", 1, 10_000),
            ("beat", 0, 1 << 53),
        ):
            if not lo <= doc.get(k, lo) <= hi:
                raise Malformed(f"announcement field {k} must be from {lo} to {hi}")
        old = self.duty.heard.get(doc["member"])
        if old and old["doc"]["group"] != doc["group"] and self.clock.now() - old["at"] < 5_000_000:
            raise Malformed(
                f"announcement field group must stay {old['doc']['group']} for {doc['member']}"
            )
        self.duty.announce(doc)

    def belief(self):
        """What this node believes."""
        return {
            **self.chain.control_state.belief(),
            "name": self.name,
            "role": "core",
            "state": self.state,
            "commit": self.chain.commit,
            "view": self._view_document(),
            "kith": {row[0]: row[5] for row in self.roster.full()},
        }

    async def _belief(self, ch, b):
        return {"doc": self.belief()}

    def status(self):
        """The belief and what the duty is waiting for."""
        now = self.clock.now()
        return {
            **self.belief(),
            "settings": self.settings(),
            "ruling": self.chain.ruling,
            "active": self.chain.active,
            "head": self.chain.head,
            "waiting": dict(self.duty.why) if self.chain.head else {},
            "garbage": getattr(self.link, "garbage", 0),
            "members": {
                m: {**h["doc"], "age_us": now - h["at"]} for m, h in sorted(self.duty.heard.items())
            },
        }

    @property
    def ready(self):
        """Ready once chained, complete and confirmed."""
        return self.chain.ruling
