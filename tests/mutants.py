"""The guards, each taken out alone: what the tests of test_never.py run against."""
import petrelhaven.helm.desk as desk
import petrelhaven.helm.duty as duty
import petrelhaven.helm.memory as memory
import petrelhaven.helm.plan as plan
import petrelhaven.span.clock as clock
import petrelhaven.span.control as control
import petrelhaven.span.edge as edge
import petrelhaven.span.flow as flow
import petrelhaven.span.keep as keep
import petrelhaven.span.pool as pool
import petrelhaven.span.troop as troop
from petrelhaven.creed.fault import Late, Unreached


def nothing_kept(mp):
    async def no(self, s):
        s.ver += 1
        s.keeper = None
        return False
    mp.setattr(keep.Keeper, "keep", no)


def no_intent(mp):
    real = keep.Keeper.keep

    async def keep_(self, s):
        if any(v["outcome"] == "unknown" for v in s.tries.values()):
            return True
        return await real(self, s)
    mp.setattr(keep.Keeper, "keep", keep_)


def tries_forgotten(mp):
    mp.setattr(flow.Flow, "_try_of", lambda self, s, d: (d["try"], None))


def lost_is_not_kept(mp):
    real = flow.Flow._write

    def write(self, s, d, op, t, end):
        r = yield from real(self, s, d, op, t, end)
        return {**r, "outcome": "not kept"} if r["outcome"] == "unknown" and not r.get("repeated") else r
    mp.setattr(flow.Flow, "_write", write)


def any_pair_fits(mp):
    mp.setattr(clock.ReadClock, "_fits", staticmethod(lambda start, us, r: True))


def browsing_any_age(mp):
    mp.setattr(clock.ReadClock, "_fits", staticmethod(lambda start, us, r: start > r.arr or r.since is not None))


def no_after(mp):
    real = flow.Flow._try

    def try_(self, post, s, ops, end, first, pos, pin):
        return real(self, post, s, ops, end, [o for o in first if o["v"] != "after"], pos, pin)
    mp.setattr(flow.Flow, "_try", try_)


def no_hold(mp):
    async def held(self, t, primary, term, pos):
        return True
    mp.setattr(edge.Edge, "held", held)


def any_candidate(mp):
    mp.setattr(plan, "_candidates", lambda s: [n for n in s.members if n != s.epoch["primary"] and s.live(n)])


def no_reset(mp):
    mp.setattr(flow.Flow, "_tag", lambda self, s: "same")


def leaving_ignored(mp):
    mp.setattr(plan.Sight, "leaving", lambda self, n: False)


def halls_ignored(mp):
    real = troop.Troop.turn
    mp.setattr(troop.Troop, "turn", lambda self, e, share, halls: real(self, e, share, lambda h: "open"))
    mp.setattr(plan.Sight, "leaving", lambda self, n: self.members[n]["draining"])


def no_lease(mp):
    mp.setattr(control.Control, "sends", property(lambda self: True))


def acked_at_once(mp):
    async def in_force(self, seq, grace=0, horizon=0):
        return 0
    mp.setattr(desk.Desk, "in_force", in_force)


def cold_is_warm(mp):
    real = duty.Duty.announce

    def announce(self, d):
        real(self, {**d, "warm": True})
    mp.setattr(duty.Duty, "announce", announce)
    mp.setattr(pool.Pool, "ramp", lambda self: 1.0)


def no_ramp(mp):
    mp.setattr(pool.Pool, "ramp", lambda self: 1.0)


def nothing_synced(mp):
    mp.setattr(memory.Memory, "_keep", lambda self, doc: None if doc["t"] == "rec" else self._ring.append(doc, self._whole))


def share_at_once(mp):
    from petrelhaven.helm.realm import Realm
    mp.setattr(Realm, "share", lambda self, g, e, m: self.doc["epochs"].get(g, {"shares": {}})["shares"].get(e, {}).get(m, 0))


def epoch_voids_nothing(mp):
    def turn(self, key):
        self.key = key
        self._pump()
    mp.setattr(clock.ReadClock, "turn", turn)


def resent(mp):
    real = flow.Flow._on

    def on(self, post, conn, s, ops, us, first=(), pinned=False):
        try:
            return (yield from real(self, post, conn, s, ops, us, first, pinned))
        except (Late, Unreached):
            if pinned:
                raise
            c = yield from self._take(post, s, 500_000)
            try:
                return (yield from real(self, post, c, s, ops, us, first, pinned))
            finally:
                post.pool.give(c)
    mp.setattr(flow.Flow, "_on", on)


def amnesiac_votes(mp):
    from petrelhaven.helm.vote import Voter
    mp.setattr(Voter, "_fits", lambda self, ids: True)


__all__ = [n for n, f in list(globals().items()) if callable(f) and getattr(f, "__module__", "") == __name__]
