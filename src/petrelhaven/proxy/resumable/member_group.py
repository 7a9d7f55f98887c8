"""One database group as an edge sees it: its epoch, its clock, and a post for each member."""

from petrelhaven.proxy.reads.log_progress import LogProgress
from petrelhaven.proxy.reads.read_clock import ReadClock
from petrelhaven.proxy.resumable.connection_pool import Pool
from petrelhaven.runtime.errors import Unreachable

__all__ = ["ResumableMember", "ResumableMemberGroup"]


class ResumableMember:
    """One member: its address, connections, and what is known of its log."""

    __slots__ = ("name", "addr", "zone", "boot", "pool", "log_progress", "stop_at", "writes")

    def __init__(self, name, addr, zone, boot, pool, log_progress):
        self.name, self.addr, self.zone, self.boot = name, addr, zone, boot
        self.pool, self.log_progress = pool, log_progress
        self.stop_at = None
        self.writes = 0


class ResumableMemberGroup:
    """Follows the epochs of one group."""

    def __init__(self, name, clock, tasks, order, wire, sends, bounds, vary=None):
        self.name, self.clock, self.tasks, self.wire, self.sends, self.bounds = (
            name,
            clock,
            tasks,
            wire,
            sends,
            bounds,
        )
        self.epoch = None
        self.posts = {}
        self.reads = ReadClock(clock, tasks, order, self._fetch, bounds, vary)
        self.fetched = 0

    @property
    def key(self):
        """(epoch, primary) while a primary serves, else None."""
        e = self.epoch
        return (e["n"], e["primary"]) if e and e["phase"] == "serve" else None

    async def _fetch(self, key):
        p = self.posts.get(key[1])
        if p is None or not self.sends(p) or self.key != key:
            raise Unreachable("no primary to ask")
        self.fetched += 1
        r = await self.wire.status(p.addr, self.bounds().join_us)
        if r["role"] != "primary" or r["term"] != self.epoch["term"]:
            raise Unreachable("not the primary of this epoch")
        return r["log"]

    def _ask(self, name):
        async def ask():
            p = self.posts.get(name)
            if p is None or not self.sends(p):
                raise Unreachable("no lease")
            r = await self.wire.status(p.addr, 250_000)
            return r["log"], r["term"]

        return ask

    def _opener(self, name):
        async def opened():
            p = self.posts.get(name)
            if p is None or not self.sends(p):
                raise Unreachable("no lease")
            return await self.wire.open(p.addr, 600_000)

        return opened

    def enter_epoch(self, e, share, zones):
        """Enters epoch `e`; returns the posts that must fall silent and by when."""
        new = self.epoch is None or self.epoch["n"] != e["n"]
        self.epoch = e
        b = self.bounds()
        for n, w in e["where"].items():
            p = self.posts.get(n)
            if p is not None and p.addr != w["addr"]:
                p.pool.close()
                p = None
            if p is None:
                p = self.posts[n] = ResumableMember(
                    n,
                    w["addr"],
                    w["hall"],
                    w["boot"],
                    None,
                    LogProgress(self.clock, self.tasks, self._ask(n)),
                )
                p.pool = Pool(self.clock, self.tasks, self._opener(n))
            elif p.boot != w["boot"]:
                p.boot = w["boot"]
                p.pool.renew()
            p.pool.warm_us = b.warm_us
            p.log_progress.set_term(e["term"])
        for n in [n for n in self.posts if n not in e["where"]]:
            self.posts.pop(n).pool.close()
        out = []
        now = self.clock.now()
        for n, p in sorted(self.posts.items()):
            stays = n in e["gates"] or n == e["primary"]
            if zones(p.zone) != "open" or not stays:
                if p.stop_at is None:
                    p.stop_at = now + (2_500_000 if stays else b.grace_us)
                    out.append(p)
            else:
                if p.stop_at is not None:
                    p.stop_at = None
                    p.pool.reopen()
            p.pool.resize(share(n))
        if new:
            self.reads.set_leadership(self.key)
        return out

    def close(self):
        """The group left the manifest."""
        for p in self.posts.values():
            p.pool.close()
        self.reads.set_leadership(None)
