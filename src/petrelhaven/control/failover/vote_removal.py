"""Removes the votes of lost and departed replicas, whose copies then make no commit acknowledged.

A replica that refuses the control nodes may have ended, or a partition may separate it from the
control nodes alone. In the second case it still receives the log, and the primary may answer
commits that no other replica has. Proxies therefore acknowledge a commit only once a replica that
votes has it (`proxy/routing/member_proofs`). That holds for all proxies once the record that
removes the vote is in force. The same holds for a replica that signed off and serves on.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from petrelhaven.runtime.errors import Fault

if TYPE_CHECKING:
    from petrelhaven.control.failover.context import FailoverContext

__all__ = ["VoteRemoval"]

_NEVER = 1 << 60


class VoteRemoval:
    """Removes the votes of replicas of one group; used by the active head only."""

    def __init__(self, context: FailoverContext, group: str) -> None:
        """Starts without knowing whether any record is in force."""
        self._context, self._group = context, group
        self._recorded_at: dict[str, int] = {}
        self._in_force_seq = 0
        self._is_waiting = False

    def are_removed(self, members: Iterable[str]) -> bool:
        """Returns whether every proxy knows that none of `members` votes."""
        non_voting = self._context.evidence(self._group).non_voting
        return all(
            member in non_voting and self._recorded_at.get(member, _NEVER) <= self._in_force_seq
            for member in members
        )

    async def remove(self, members: Iterable[str]) -> None:
        """Records that `members` don't vote, and lets the proxies know in the background."""
        required_seq = 0
        for member in members:
            required_seq = max(required_seq, await self._record(member))
        if required_seq > self._in_force_seq and not self._is_waiting:
            self._is_waiting = True
            self._context.node.tasks.spawn(self._wait_in_force(required_seq))

    async def _record(self, member: str) -> int:
        """Returns the number of a record at or after the one that removed the member's vote."""
        evidence = self._context.evidence(self._group)
        if member in evidence.non_voting:
            newest_seq: int = self._context.node.chain.control_state.doc["seq"]
            return self._recorded_at.setdefault(member, newest_seq)
        if member in evidence.counted_out:
            # Counted out by an earlier version, while its copies still counted for commits.
            await self._context.record_counted_out(self._group, member, None)
        self._recorded_at[member] = await self._context.record_non_voting(self._group, member)
        return self._recorded_at[member]

    async def _wait_in_force(self, seq: int) -> None:
        try:
            await self._context.node.lease_table.wait_in_force(seq)
            self._in_force_seq = max(self._in_force_seq, seq)
        except Fault:
            pass  # `remove` starts the next wait
        finally:
            self._is_waiting = False
