"""A core machine of the path where sessions live with their connection: ledger, failover, edges' ties."""

import asyncio

from petrelhaven.control.base_node import _ADDR, BaseControlNode
from petrelhaven.control.configuration.document import read
from petrelhaven.control.consensus.chain import DRIFT
from petrelhaven.control.consensus.proxy_survey import ProxySurvey
from petrelhaven.control.core_changes import CoreChanges
from petrelhaven.control.failover.coordinator import FailoverCoordinator
from petrelhaven.control.leases import ConnectionLeaseTable
from petrelhaven.control.orders import ANSWER_US, OrderRouter
from petrelhaven.control.state.control_state import ControlState
from petrelhaven.runtime.errors import (
    DeadlineExceeded,
    Duplicate,
    Fault,
    Malformed,
    NotReady,
    Stale,
)
from petrelhaven.runtime.limits import NAME

__all__ = ["CONNECTION_LEASE_US", "ControlNode"]

CONNECTION_LEASE_US = 700_000

_FACTS = {
    "member": str,
    "group": str,
    "hall": str,
    "addr": str,
    "role": str,
    "state": str,
    "slots": int,
    "count": int,
}
_FORCED_US = 20_000_000
_OWN_US = 8_000_000
_SPREAD_US = 20_000
_LATE_US = 3_000_000
_YOUNG_US = 1_500_000
_TOLD_US = 3_000_000
_CONNECTED_US = 3_500_000


class ControlNode(BaseControlNode):
    """One core daemon's logic; `wire` opens connections to members, `platform` moves offices."""

    state_of = ControlState
    repair_interval_us, confirm_us, ask_us, probe_us = 300_000, 600_000, 200_000, 200_000
    suspect_us = 500_000

    def __init__(
        self,
        name,
        zone,
        seeds,
        clock,
        tasks,
        link,
        disk,
        rng,
        platform,
        wire,
        heartbeat_us,
        log=None,
        founds=True,
        losses=1,
        wall_clock=None,
    ):
        self._wall_clock, self._embargoes = wall_clock, None
        self.wire, self.heartbeat_us = wire, heartbeat_us
        self._born = clock.now()
        self.heard, self.connected_proxies = {}, {}
        self.proxy_survey = ProxySurvey(clock, tasks, log)
        super().__init__(name, zone, seeds, clock, tasks, link, disk, rng, platform, log)
        self.changes = CoreChanges(self, 2 * losses + 1)
        self.founds = founds and link.addr in seeds
        self.orders = OrderRouter(clock, self.chain, self.reach, name, self.roster.state)
        self.chain.sparing = True
        self.roster.quiet = 12
        self.prober.join_us = 6_000_000
        self.chain.connected_proxies = lambda: len(self.connected_proxies)
        self._news = asyncio.Event()
        self.roster.on_turn.append(self._peer_turned)
        self.chain.on_view.append(self._news.set)
        self.chain.on_view.append(lambda: tasks.spawn(self._ask_who_moved()))
        self.chain.on_commit.append(self._committed)

    @property
    def embargoes(self):
        """The duty of embargoes, loaded when it is first needed."""
        if self._embargoes is None:
            from petrelhaven.control.embargo.duty import EmbargoDuty

            self._embargoes = EmbargoDuty(self, self._wall_clock)
        return self._embargoes

    def _committed(self):
        if "embargo" in (self.chain.control_state.doc["manifest"] or ()):
            self.embargoes.start()

    async def _read_wall_clock(self, ch, b):
        return {"wall": self.embargoes.time.wall_clock.now()}

    async def _true_time(self, ch, b):
        return self.embargoes.edge_time()

    def make_lease_table(self):
        """The desk of the edges' ties."""
        lapse = int((CONNECTION_LEASE_US + self.confirm_us) * DRIFT)
        return ConnectionLeaseTable(self.clock, self.tasks, self.chain, self.call, self.log, lapse)

    def make_duty(self, platform):
        """The duty that keeps a primary in office for each group."""
        return FailoverCoordinator(self, platform)

    def handlers(self):
        """What edges and other cores ask."""
        return {
            "edge.hold": self._hold,
            "chain.force": self.lease_table.force,
            "tie.pulse": self._pulse,
            "warden.doubt": self._suspected,
            "warden.look": self.duty.answer_look,
            "wall.read": self._read_wall_clock,
            "tie.wall": self._true_time,
        }

    async def rest(self):
        """Looks at the others often while there is something to mend, seldom while all is whole."""
        v = self.chain.view
        whole = (
            v is not None
            and v.every_member_in_chain
            and self.chain.active
            and all(self.roster.state(n) == "alive" for n in v.ids)
            and not self.changes.wiped(v, self.news())
        )
        busy = v is None or self.undecided or self.changes.has_place_for_newcomer(v, self.news())
        us = (
            self.repair_interval_us // 4
            if busy
            else 2_000_000
            if whole
            else self.repair_interval_us
        )
        self._news.clear()
        try:
            await self.clock.limit(self._news.wait(), us + self.rng.randrange(50_000))
        except DeadlineExceeded:
            pass

    def _peer_turned(self, peer, _was):
        """A peer is new here, or another than it was: the cores are looked at again at once."""
        if peer.state == "alive":
            self.link.dial_anew(peer.addr)
        self._news.set()

    def wake(self):
        """Ends the rest between two looks at the other cores."""
        self._news.set()

    def _there(self, n):
        """A core that this one has not met since its start may be starting too."""
        young = self.clock.now() - self._born < _YOUNG_US
        return super()._there(n) or young and self.roster.state(n) is None

    def informed(self):
        """After a new view: what the others tell may end the wait for the cores of the former one."""
        chain, now = self.chain, self.clock.now()
        if chain.view is None or chain.active_at <= now:
            return
        told = [r for at, r in self._infos.values() if r and at >= chain.adopted]
        chain.lapse_by([*told, self.told()], now)

    async def _ask_who_moved(self):
        """Asks the others for what ends the wait after a new view, once they may have heard of it."""
        await self.clock.sleep(_SPREAD_US)
        if self.chain.active_at > self.clock.now():
            for address in self.others():
                self.tasks.spawn(self._info(address))

    def others(self):
        """The seeds, and every core that is known by now."""
        ps = self.roster.peers.values()
        return sorted(
            {*self.seeds, *(p.addr for p in ps if p.role == "core" and p.state != "gone")}
        )

    def news(self):
        """What cores told within the last while."""
        now = self.clock.now()
        return {r["name"]: r for at, r in self._infos.values() if r and now - at < _TOLD_US}

    async def recast(self, v, infos):
        """Takes a newcomer in, or lets a lost core go that one is to replace."""
        change = self.changes.next_change(v, infos)
        if change is not None and self.chain.active:
            await self.propose(v, change.chain, change.ids, change.cause)

    async def frames(self):
        """The ledgers that living edges hold, by their names; edges are met as they come round."""
        return await self.proxy_survey.gather()

    async def _hold(self, ch, b):
        if not self.chain.active:
            await self.proxy_survey.meet(ch, b["edge"])
            return {"ok": False, "note": "not confirmed by a majority"}
        self._applied(b["edge"], b["applied"])
        return await self.lease_table.hold(ch, b)

    def _applied(self, edge, seq):
        """An edge says what it has applied, also what another core pushed to it."""
        self.lease_table.acked[edge] = max(self.lease_table.acked.get(edge, 0), seq)

    async def _pulse(self, ch, b):
        now = self.clock.now()
        self._applied(b["name"], b["seq"])
        self.connected_proxies[b["name"]] = now
        if self.proxy_survey.on:
            self.tasks.spawn(self.proxy_survey.meet(ch, b["name"]))
        for n in [n for n, at in self.connected_proxies.items() if now - at > _CONNECTED_US]:
            del self.connected_proxies[n]
        for d in b["doubts"]:
            self.tasks.spawn(self.suspect(*d))
        v = self.chain.view
        cores = []
        if v and b["cores"] != v.number:
            for n in sorted(v.ids):
                a = self.roster.addr_of(n)
                if a:
                    cores.append([n, self.zone if n == self.name else self.roster.peers[n].zone, a])
        ok = self.chain.active
        if ok:
            self.lease_table.grant(b["name"], CONNECTION_LEASE_US)
        return {
            "ok": ok,
            "us": CONNECTION_LEASE_US,
            "age": self.chain.confirmation_age(),
            "need": self.chain.control_state.seq,
            "view": v.number if v else 0,
            "edges": len(self.connected_proxies)
            + sum(
                n
                for at, n in self.chain.connected_proxy_counts.values()
                if now - at < _CONNECTED_US
            ),
            "cores": cores,
        }

    async def suspect(self, group, member, how):
        """An edge or a core doubts a primary: the head is told."""
        v = self.chain.view
        if v is None:
            return
        b = {"group": group, "member": member, "how": how}
        try:
            await self.call(v.head, "warden.doubt", b, 800_000)
        except Fault:
            pass

    async def _suspected(self, ch, b):
        self.duty.suspect(b["group"], b["member"], b["how"])

    async def enter(self, rec, force=True, within_us=_FORCED_US):
        """Enters a record at the head, wherever that is or moves to; with `force`, returns once it is in force."""
        return await self.orders.submit(rec, force, within_us, lambda b: self._enter(None, b))

    async def control_state(self, within_us=_OWN_US):
        """The control state as the tail answers it."""
        return await self.orders.read(within_us)

    async def _enter(self, ch, b):
        self.orders.check(b["bound"])
        try:
            return await super()._enter(ch, b)
        except (Duplicate, Stale) as e:
            seq = self.chain.control_state.seq
            await self.clock.limit(self.chain.settled(seq, self.chain.mem.mark), 5_000_000)
            if not self.chain.active:
                raise NotReady("not the active head any more") from None
            if b["force"] and isinstance(e, Duplicate):
                await self.lease_table.in_force(seq)
            raise

    async def apply(self, text, by="", retire=True, within_us=_OWN_US):
        """Checks and applies a manifest; returns once it is on every disk of the view."""
        m = read(text)
        rec = {
            "t": "manifest",
            "text": text,
            "version": m.version,
            "by": by,
            **({} if retire else {"retire": False}),
        }
        if m.embargoing or m.embargoes:
            r = await self.embargoes.apply(m, rec)
        else:
            r = await self.enter(rec, False, within_us)
        return {"version": m.version, "change": r["seq"]}

    async def set_zone_state(self, zone, state, by="", within_us=_OWN_US):
        """Empties or restores a hall."""
        rec = {"t": "hall", "hall": zone, "state": state, "by": by}
        r = await self.enter(rec, False, within_us)
        return {"hall": zone, "state": state, "change": r["seq"]}

    async def elect(self, group: str, member: str, leadership: int, by: str = "") -> dict:
        """Records an operator's order to elect `member` although acknowledged commits may be lost.

        `office` is the number of the waiting office that the operator saw: an order that was held
        up on its way finds another number and is declined.
        """
        order = {
            "t": "evidence",
            "group": group,
            "what": "order",
            "member": member,
            "n": leadership,
            "by": by or "operator",
        }
        answer = await self.enter(order, False)
        return {"group": group, "member": member, "change": answer["seq"]}

    async def announce(self, doc):
        """Takes a member's announcement; what it changes is on the chain before this returns."""
        for k, t in _FACTS.items():
            if type(doc.get(k)) is not t:
                raise Malformed(f"announcement field {k} must be {t.__name__}")
        for k, ok in (
            ("addr", _ADDR.fullmatch(doc["addr"])),
            ("group", NAME.fullmatch(doc["group"])),
            ("role", doc["role"] in ("primary", "replica")),
            ("member", 0 < len(doc["member"]) <= 128),
            ("state", doc["state"] in ("ready", "draining")),
            ("count", 0 <= doc["count"] < 1 << 53),
        ):
            if not ok:
                raise Malformed(f"announcement field {k} is not valid")
        now = self.clock.now()
        n = doc["member"]
        at, count = self.heard.get(n, (-1 << 60, -1))
        if doc["count"] < count and now - at < _LATE_US:
            return
        self.heard[n] = (now, doc["count"])
        m = self.chain.control_state.doc["members"].get(n)
        rec = {"t": "member", "name": n, **{k: doc[k] for k in _FACTS if k != "member"}}
        if m and all(
            m.get(k) == rec[k] for k in ("group", "hall", "addr", "role", "state", "slots")
        ):
            return await self._confirm_control_state()
        await self._heard(rec)

    async def depart(self, member):
        """A member says that it ends."""
        m = self.chain.control_state.doc["members"].get(member)
        self.heard.pop(member, None)
        if m is None or m["state"] == "gone":
            return await self._confirm_control_state()
        await self._heard({"t": "member", "name": member, "state": "gone", "addr": m["addr"]})

    async def _confirm_control_state(self):
        """Returns once all that this core's ledger says is committed, and a majority has confirmed this core since.

        A head, or any core before the tail, holds records that are not committed yet and may go with it.
        """
        chain = self.chain
        await self.clock.limit(chain.settled(chain.control_state.seq, chain.mem.mark), ANSWER_US)
        if not chain.ruling:
            raise NotReady("not confirmed by a majority")

    async def _heard(self, rec):
        try:
            await self.enter(rec, False, ANSWER_US)
        except (Duplicate, Stale):
            pass

    def core_near(self, zone):
        """The link address of the core in `hall`, if one is in the view and alive."""
        v = self.chain.view
        for n in v.chain if v else ():
            p = self.roster.peers.get(n)
            if n == self.name and zone == self.zone:
                return self.link.addr
            if p is not None and p.zone == zone and p.state == "alive":
                return p.addr
        return None

    def status(self):
        """The belief and what the duty is waiting for."""
        return {
            **self.belief(),
            "ruling": self.chain.ruling,
            "active": self.chain.active,
            "head": self.chain.head,
            "waiting": dict(self.duty.why),
            "tied": sorted(self.connected_proxies),
            "garbage": self.link.garbage,
            **({"time": self._embargoes.time.status()} if self._embargoes else {}),
        }
