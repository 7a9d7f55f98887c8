"""The chain: entered at the head, answered from the tail, each core synced before it hands on."""

import asyncio

from petrelhaven.control.consensus.peer_clocks import PeerClocks
from petrelhaven.control.consensus.view import View
from petrelhaven.runtime.errors import (
    DeadlineExceeded,
    DiskRefused,
    Fault,
    NotHead,
    NotReady,
    ViewSuperseded,
)
from petrelhaven.runtime.events import Events, emit

__all__ = ["Chain", "CONFIRM_US", "DRIFT"]

CONFIRM_US = 500_000
DRIFT = 1.05
_AWAIT_US = 150_000
_PAUSE_US = 300_000


class Chain:
    """One core's place in the chain of its view."""

    def __init__(self, clock, tasks, mem, call, log=None, confirm_us=CONFIRM_US, ask_us=120_000):
        self.confirm_us, self.ask_us = confirm_us, ask_us
        self.clock, self.tasks, self.mem, self._call, self.log = clock, tasks, mem, call, log
        self.view = None
        self.active_at = self.adopted = 0
        self.commit = 0
        self.confirmed = 0
        self._sent = {}
        self._news = asyncio.Event()
        self._moved = asyncio.Event()
        self._lock = asyncio.Lock()
        self._feeder = None
        self.on_commit = []
        self.connected_proxies = int
        self.sparing = False
        self._turns = 0
        self.connected_proxy_counts = {}
        self.boot = clock.now()
        self._ticked = clock.now()
        self.pause = (0, 0)
        self.peer_clocks = PeerClocks(clock)
        self._granted = {}
        self.on_view = []

    @property
    def me(self):
        return self.mem.name

    @property
    def control_state(self):
        return self.mem.control_state

    def _at(self):
        return self.view.position(self.me, self.mem.disk) if self.view else None

    @property
    def head(self):
        return self._at() == 0

    @property
    def tail(self):
        return self._at() is not None and self.view.tail == self.me

    @property
    def complete(self):
        return (
            self.view is not None
            and self.mem.done == self.view.number
            and self._at() is not None
            and not self.mem.refuses
        )

    @property
    def ruling(self):
        """In the current view, holding everything of it, confirmed by a majority lately."""
        return self.complete and self.clock.now() < self.confirmed

    def confirmation_age(self):
        """Microseconds since this core asked what a majority then confirmed."""
        return self.clock.now() - (self.confirmed - self.confirm_us)

    @property
    def active(self):
        """Ruling, and every core of the former view has certainly lapsed."""
        return self.ruling and self.clock.now() >= self.active_at

    def adopt(self, view):
        """Takes a decided view if it is newer."""
        if view is None or self.view and view.number <= self.view.number:
            return
        newer = not self.mem.vote["value"] or self.mem.vote["value"]["n"] < view.number
        self.mem.put_vote(
            done=view.number if self._holds_all_of(view) else None,
            ids=dict(view.ids),
            **({"value": view.to_document()} if newer else {}),
        )
        self.view = view
        self.confirmed = 0
        self.adopted = self.clock.now()
        self.active_at = self.clock.now() + int(self.confirm_us * DRIFT)
        emit(
            self.log,
            Events.VIEW_ADOPTED,
            n=view.number,
            chain=",".join(view.chain),
            cause=view.cause,
        )
        if self._feeder:
            self._feeder.cancel()
            self._feeder = None
        at = self._at()
        successor = None if at is None else view.successor(at)
        if successor is not None:
            self._feeder = self.tasks.spawn(self._feed(view, successor))
        for f in self.on_view:
            f()
        self._ask_others()
        self._wake()
        self._settle()

    def former_cores(self):
        """The cores, by disk, that may still rule when the next view is proposed; None where that isn't known."""
        if self.clock.now() >= self.active_at:
            return (self.view.ids,)
        before = self.view.before
        return None if before is None else (*before, self.view.ids)

    def granted_ages(self):
        """For each core, how long ago this one last confirmed a view to it."""
        now = self.clock.now()
        return {name: now - at for name, at in self._granted.items()}

    def lapse_by(self, told, at):
        """Ends the wait after a new view as soon as every core of a former one has lapsed.

        `told` is what the cores of this view said of themselves by the moment `at` or before, since the view was
        adopted. A core rules under an older view only for `confirm_us` after a majority confirmed that to it. Of any
        majority of a former view's cores, one confirmed to it last; once they all hold the newer view, none will again.
        """
        before = self.view.before
        if before is None:
            return
        n, lapsed_at = self.view.number, at
        # This core is among those it asked, too: each counts once.
        by_name = {r["name"]: r for r in told}
        for ids in before:
            moved = [
                r
                for r in by_name.values()
                if ids.get(r["name"]) == r["disk"] and r["view"] is not None and r["view"]["n"] >= n
            ]
            for core in ids:
                others = [r for r in moved if r["name"] != core]
                if any(r["name"] == core for r in moved):
                    continue
                if len(others) <= len(ids) // 2:
                    return
                age = min(r["granted_us"].get(core, r["up_us"]) for r in others)
                lapsed_at = max(lapsed_at, at + int(self.confirm_us * DRIFT) - age)
        self.active_at = min(self.active_at, lapsed_at)

    def _holds_all_of(self, view):
        """Whether this core holds all that is committed by the time `view` begins.

        The head of a view does, and so does a core that was complete in the view before and stays in the chain:
        what was committed there is on every core of that chain.
        """
        if view.position(self.me, self.mem.disk) is None:
            return False
        return view.head == self.me or self.mem.done == view.number - 1

    def _wake(self):
        """Lets whoever waits for a commit look again."""
        moved, self._moved = self._moved, asyncio.Event()
        moved.set()

    def _settle(self):
        if self.tail and self.complete:
            self._committed(self.control_state.seq)
        self._news.set()

    def _committed(self, seq):
        if seq > self.commit:
            self.commit = seq
            self._wake()
            for f in self.on_commit:
                f()

    async def until(self, seq):
        """Waits until `seq` is committed here."""
        while self.commit < seq:
            await self._moved.wait()

    def keeps(self, seq, view):
        """Whether the record that this core holds as number `seq` is the one that was entered in `view`.

        A number alone names no record: what a head entered and could not commit is replaced by another head's records.
        """
        if seq == self.control_state.seq:
            return self.mem.mark == view
        return any(
            number == seq and entered == view for number, entered, _ in reversed(self.mem.recs)
        )

    async def settled(self, seq, view):
        """Waits until record `seq` of `view` is committed here; NotReady once it may have been replaced."""
        while True:
            if not self.keeps(seq, view):
                raise NotReady("another record took the number; read back to see the outcome")
            if self.commit >= seq:
                return
            if self._at() is None:
                raise NotReady("not in the chain any more; read back to see the outcome")
            await self._moved.wait()

    async def confirm(self):
        """Keeps asking the other cores whether this view is still theirs."""
        while True:
            self._ask_others()
            self._ticked = self.clock.now()
            await self.clock.sleep(self.ask_us)
            self.note_pause()

    def _ask_others(self):
        """Asks the other cores of the view; only as many as needed while this one is surely confirmed."""
        v = self.view
        if not v:
            return
        now = self.clock.now()
        self._sent[self.me] = now
        others = [n for n in v.ids if n != self.me]
        if self.sparing and now < self.confirmed - self.confirm_us // 2:
            self._turns += 1
            others = [others[(self._turns + i) % len(others)] for i in range(v.quorum - 1)]
        for n in others:
            self.tasks.spawn(self._ask(n, v.number, now))
        self._count(v)

    def note_pause(self):
        """Notes when this process last stood still, and for how long; it should have asked every `ask_us`."""
        stood_us = self.clock.now() - self._ticked - self.ask_us
        if stood_us > _PAUSE_US:
            self.pause = (self.clock.now(), stood_us)

    async def ask(self, name):
        """Asks one core whether this view is still its own."""
        await self._ask(name, self.view.number, self.clock.now())

    async def _ask(self, name, n, at):
        try:
            r = await self._call(
                name,
                "view.confirm",
                {"name": self.me, "n": n, "tied": self.connected_proxies()},
                400_000,
            )
        except Fault:
            return
        self.peer_clocks.note(name, r["boot"], r["clock"])
        newer = View.from_optional(r["view"])
        if newer and self.view and newer.number > self.view.number:
            self.adopt(newer)
        elif r["ok"] and self.view.number == n:
            self._sent[name] = max(at, self._sent.get(name, 0))
            self._count(self.view)

    def _count(self, v):
        ts = sorted((self._sent.get(n, 0) for n in v.ids), reverse=True)
        t = ts[v.quorum - 1]
        if t and self.mem.vote["value"] and self.mem.vote["value"]["n"] <= v.number:
            self.confirmed = max(self.confirmed, t + self.confirm_us)

    async def confirmed_by(self, ch, b):
        """Answers another core's view.confirm: no, once a newer view was accepted here."""
        v = self.mem.vote["value"]
        self.connected_proxy_counts[b["name"]] = (self.clock.now(), b["tied"])
        ok = bool(
            v
            and v["n"] == b["n"]
            and v["ids"].get(self.me) == self.mem.disk
            and not self.mem.refuses
        )
        if ok:
            self._granted[b["name"]] = self.clock.now()
        newer = self.view.to_document() if self.view and self.view.number > b["n"] else None
        return {"ok": ok, "view": newer, "boot": self.boot, "clock": self.clock.now()}

    async def enter(self, rec, horizon=8_000_000):
        """Numbers, checks and commits a record; this core must be the active head."""
        async with self._lock:
            if not (self.head and self.active):
                raise NotHead(
                    "not the active head",
                    details={"head": self.view.head if self.view else None},
                )
            self.control_state.check(rec)
            seq = self.control_state.seq + 1
            n = self.view.number
            self.mem.put_rec(seq, n, rec)
            self._news.set()
            self._settle()
        await self.clock.limit(self.settled(seq, n), horizon)
        while not self.active:
            if self.mem.refuses or self.view.number != n and not self.head:
                raise NotReady("the view changed; read back to see the outcome")
            await self.clock.sleep(30_000)
        what = ("name", "group", "hall", "state", "role") if rec["t"] == "member" else ()
        more = {k: rec[k] for k in what if rec.get(k)}
        emit(self.log, Events.RECORD_COMMITTED, seq=seq, kind=rec["t"], **more)
        return seq

    def read(self):
        """The control state, answered only by the tail of the current view."""
        if not (self.tail and self.active):
            raise NotReady(
                "not the active tail", details={"tail": self.view.tail if self.view else None}
            )
        return self.control_state.doc

    async def _feed(self, view, to):
        held = mark = fed = None
        while self.view is view:
            try:
                if not self.complete:
                    await self.clock.sleep(40_000)
                    continue
                body = {
                    "view": view.number,
                    "prev": -1,
                    "mark": 0,
                    "recs": [],
                    "frame": None,
                    "done": False,
                }
                if held is not None:
                    rs = self.mem.since(held, mark)
                    if rs is None:
                        body.update(
                            frame=self.control_state.snapshot(),
                            prev=self.control_state.seq,
                            mark=self.mem.mark,
                            done=True,
                        )
                    elif rs or held != fed:
                        body.update(recs=rs[:100], prev=held, mark=mark, done=len(rs) <= 100)
                    else:
                        self._news.clear()
                        await self._news.wait()
                        continue
                r = await self._call(to, "chain.append", body, 1_500_000)
                held, mark = r["held"], r["mark"]
                if body["done"]:
                    fed = held if r["commit"] >= held else None
                    self._committed(min(r["commit"], self.control_state.seq))
            except ViewSuperseded:
                await self.clock.sleep(100_000)
                held = fed = None
            except Fault:
                held = fed = None
                await self.clock.sleep(60_000)

    async def append(self, ch, b):
        """Takes records from the predecessor; answers once all successors hold them, or soon with what is committed."""
        v = self.view
        if v is None or v.number != b["view"] or not self._at():
            raise ViewSuperseded(f"view {v.number if v else 0}")
        if self.mem.refuses:
            raise DiskRefused("the disk of this core refuses writes")
        if b["prev"] >= 0:
            if b["frame"] is not None:
                if b["prev"] != self.control_state.seq or b["mark"] != self.mem.mark:
                    self.mem.reset(b["frame"], b["mark"])
                    self._wake()
            elif (b["prev"], b["mark"]) == (self.control_state.seq, self.mem.mark):
                for s, n, r in b["recs"]:
                    self.mem.put_rec(s, n, r)
            if b["done"]:
                self.mem.put_done(v.number)
            seq = self.control_state.seq
            self._settle()
            if not self.tail and b["done"]:
                try:
                    await self.clock.limit(self.until(seq), _AWAIT_US)
                except DeadlineExceeded:
                    pass
        return {"held": self.control_state.seq, "mark": self.mem.mark, "commit": self.commit}
