import asyncio

from .entry import Entry
from .signal import Signal

__all__ = ["Group"]


class Group:
    """The members of one service and the log they share: terms, numbers, replication and promotes.

    A position is the term and number of the newest commit it includes, so a promote by itself moves no position.
    """

    def __init__(
        self,
        service,
        history,
        *,
        sync_replicas=1,
        lag_ms=60,
        net_ms=1,
        promote_ms=300,
        slots=13,
        queue=26,
        conn_limit=130,
        work_ms=11,
        connect_ms=12,
        sync_wait_ms=3000,
    ):
        self.service, self.history = service, history
        self.sync_replicas, self.lag_ms, self.net_ms, self.promote_ms = (
            sync_replicas,
            lag_ms,
            net_ms,
            promote_ms,
        )
        self.slots, self.queue, self.conn_limit = slots, queue, conn_limit
        self.work_ms, self.connect_ms, self.sync_wait_ms = work_ms, connect_ms, sync_wait_ms
        self.members, self.entries = {}, []
        self.term = 1
        self.leader = None
        self.changed = Signal()
        self._promotes = set()

    def add(self, member):
        """Takes a member in; the first one leads."""
        self.members[member.id] = member
        if self.leader is None and len(self.members) == 1:
            self.leader = member

    def replace(self, old, member):
        """Puts a new member at the address of one that has ended; it gets its log."""
        del self.members[old.id]
        member.take_log(old)
        self.members[member.id] = member

    def append(self, leader, writes):
        """Gives a commit of the leader the next number."""
        before = leader.log[-1] if leader.log else None
        entry = Entry(self.service, self.term, len(leader.log) + 1, tuple(writes), before)
        self.history.entries.append(entry)
        self.entries.append(entry)
        leader.receive([entry])
        self.changed.fire()
        return entry

    async def synced(self, leader, entry):
        """Waits until as many replicas as wanted received `entry`; tells whether it may be answered."""
        term = self.term
        if self.sync_replicas:
            try:
                async with asyncio.timeout(self.sync_wait_ms / 1000):
                    await self.changed.wait_for(
                        lambda: entry.synced or self.leader is not leader or self.term != term
                    )
            except TimeoutError:
                return False
        return self.leader is leader and self.term == term

    def promote_soon(self, member):
        """Promotes `member` after the time that a promote takes."""

        async def later():
            await asyncio.sleep(self.promote_ms / 1000)
            if member.running:
                self.promote(member)

        if self.leader is not member:
            task = asyncio.ensure_future(later())
            self._promotes.add(task)
            task.add_done_callback(self._promotes.discard)

    def promote(self, member):
        """Lets `member` lead the next term with what it has received; whoever was ahead is cut back."""
        self.term += 1
        self.leader = member
        kept = set(member.log)
        for entry in self.entries:
            if entry.cut_at is None and entry not in kept:
                entry.cut_at = self.history.now()
        for m in self.members.values():
            m.held = 0
            if m.running and not m.dark:
                m.follow()
            m.tell()
        self.changed.fire()

    def step_down(self, member):
        """Takes the lead from `member` and gives it to nobody."""
        if self.leader is member:
            self.leader = None
            member.tell()
            self.changed.fire()

    async def feed(self, member):
        """Carries the leader's commits to one member for as long as that runs."""
        while True:
            await self.changed.wait_for(lambda: self._behind(member))
            await asyncio.sleep(self._delay_s(member))
            if self._behind(member):
                member.follow()
                entries = self.leader.log[len(member.log) :]
                member.receive(entries)
                for entry in entries:
                    entry.synced = True
                self.changed.fire()

    def _delay_s(self, member):
        """How long a commit is on its way to a member."""
        return (self.net_ms if member.net_ms is None else member.net_ms) / 1000

    def _behind(self, member):
        leader = self.leader
        if leader is None or leader is member or not (leader.running and member.running):
            return False
        if leader.dark or member.dark or member.deaf or member.held:
            return False
        return member.log[-1:] != leader.log[-1:]
