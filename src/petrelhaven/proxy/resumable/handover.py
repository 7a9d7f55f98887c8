"""How an edge hands its sessions over, when its hall is emptied or it leaves."""

import asyncio

from petrelhaven.runtime.errors import Fault
from petrelhaven.runtime.events import Events, emit
from petrelhaven.transport.message_kinds import MessageKind

__all__ = ["SessionHandover"]


class SessionHandover:
    """Hands sessions over to their keepers."""

    def __init__(self, edge):
        self.e = edge

    def _candidate(self, s):
        es = self.e.control.control_state.doc["edges"]
        ks = [
            k
            for k in s.keepers
            if self.e.control.lives(k)
            and es[k.split("/")[0]]["state"] == "up"
            and self.e.control.control_state.zone_state(es[k.split("/")[0]]["hall"]) == "open"
        ]
        return ks[0] if ks else self.e.keeper.elect([], s.release)

    async def _hand(self, s):
        await s.lock()
        try:
            if s.state != "home":
                return
            self.e.end_txn(s)
            s.move()
            for _ in range(12):
                k = self._candidate(s)
                if k is None or s.state != "moving":
                    break
                try:
                    r = await self.e.node_caller.call(
                        k.split("/")[0],
                        MessageKind.SESSION_TAKE,
                        {
                            "sid": s.sid,
                            "to": k,
                            "epoch": s.epoch + 1,
                            "ver": s.ver,
                            "home": self.e.control.me,
                            "state": s.doc(),
                        },
                        800_000,
                    )
                    if r["ok"]:
                        self.e.keeper.part(s)
                        self.e.session_replicas.fence[s.sid] = s.epoch + 1
                        self.e.deliver.at[s.sid] = k.split("/")[0]
                        return
                except Fault as f:
                    emit(
                        self.e.log,
                        Events.SESSION_REPLICATION_DELAYED,
                        sid=s.sid,
                        fault=f.code,
                        note=f.note,
                    )
                await self.e.clock.sleep(100_000)
            if s.state == "moving":
                s.stay()
                s.is_replicated = False
        finally:
            s.unlock()

    async def hand_all(self):
        """Hands over every session, while this edge is to hold none."""
        for i in range(20):
            ss = list(self.e.homes.values())
            if not ss or self.e.state not in ("emptied", "leaving"):
                return
            await asyncio.gather(*[self._hand(s) for s in ss[:40]])

    async def _announce(self, state, us):
        """Tells control until it has heard, or `us` have passed."""
        end = self.e.clock.now() + us
        while self.e.clock.now() < end:
            try:
                return await self.e.clock.wait_for(
                    self.e.control.announce_state(state), min(3_000_000, end - self.e.clock.now())
                )
            except Fault:
                await self.e.clock.sleep(100_000)

    async def drain(self, us=9_000_000):
        """Leaves: tells control, hands every session over, waits until nothing is kept here and control has heard."""
        emit(
            self.e.log,
            Events.NODE_LEAVING,
            sessions=len(self.e.homes),
            kept=len(self.e.session_replicas.stored),
        )
        self.e.leave()
        end = self.e.clock.now() + us
        self.e.tasks.spawn(self._announce("leaving", us))
        while self.e.clock.now() < end and (self.e.homes or self.e.session_replicas.stored):
            if self.e.homes:
                await self.hand_all()
            await self.e.clock.sleep(50_000)
        for t in self.e.member_groups.values():
            t.close()
        self.e.control.lease = 0
        await self._announce("gone", 3_000_000)
        self.e.prober.leave(4)
        self.e.end()
        emit(
            self.e.log,
            Events.NODE_ENDED,
            left_sessions=len(self.e.homes),
            left_kept=len(self.e.session_replicas.stored),
        )
