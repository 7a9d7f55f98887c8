"""The view register: a majority of the members decides each next view.

Single-decree Paxos over the members' stores (docs/notes/chain-and-view.md). A view may replace one
member by another in a single step: its acceptance counts only votes of nodes that are members
before and after, as in joint consensus, and enough of them that every majority of either set of
members includes one that accepted it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Collection, Iterable, Mapping
from typing import TYPE_CHECKING, Any, Protocol, TypeVar

from petrelhaven.control.consensus.register_messages import (
    AcceptAnswer,
    AcceptRequest,
    Ballot,
    PrepareAnswer,
    PrepareRequest,
    VoteState,
)
from petrelhaven.runtime.errors import Conflict, Fault
from petrelhaven.transport.message_kinds import MessageKind

if TYPE_CHECKING:
    from petrelhaven.control.consensus.view import MemberDisks, View
    from petrelhaven.control.storage.core_store import CoreStore
    from petrelhaven.transport.channel import Channel

__all__ = ["Call", "NoMajorityPromised", "Proposer", "Voter", "is_joint_quorum"]

_VOTE_TIMEOUT_US = 600_000

Call = Callable[[str, str, Mapping[str, Any], int], Awaitable[dict[str, Any]]]
"""Calls a control node: name, kind, body, timeout in microseconds."""


class NoMajorityPromised(Exception):  # noqa: N818 (an outcome of a race, no error that leaves the node)
    """No majority promised; `accepted` is the newest view that any answer named."""

    def __init__(self, accepted: View | None) -> None:
        """Carries what may be left to finish."""
        super().__init__("no majority promised")
        self.accepted = accepted


class Voter:
    """The acceptor. It never votes under a disk identity that the others do not know.

    Ballots run under the identities of the newest view known to be decided; those of a view that
    was only accepted count once it is decided, or two voters that accepted different ones could
    wait for each other for good.
    """

    def __init__(self, store: CoreStore) -> None:
        """Remembers its votes in `store`."""
        self._store = store

    def _state(self) -> VoteState:
        return VoteState.from_document(self._store.vote)

    def _fits(self, ids: MemberDisks) -> bool:
        """Whether a ballot among `members` counts this very disk, and no other members are known."""
        members = self._state().members
        return ids.get(self._store.name) == self._store.disk and members in (None, ids)

    async def prepare(self, _channel: Channel | None, body: Mapping[str, Any]) -> dict[str, Any]:
        """Answers a `vote.prepare`."""
        return self._prepare(PrepareRequest.from_body(body)).to_body()

    def _prepare(self, request: PrepareRequest) -> PrepareAnswer:
        state = self._state()
        ok = self._fits(request.ids) and request.ballot > state.promised
        if ok:
            self._store.put_vote(num=request.ballot.number, who=request.ballot.proposer)
        return PrepareAnswer(ok, state.accepted, state.value, state.highest_number)

    async def accept(self, _channel: Channel | None, body: Mapping[str, Any]) -> dict[str, Any]:
        """Answers a `vote.accept`."""
        return self._accept(AcceptRequest.from_body(body)).to_body()

    def _accept(self, request: AcceptRequest) -> AcceptAnswer:
        state, ballot = self._state(), request.ballot
        ok = self._fits(request.ids) and ballot >= state.promised
        if ok:
            self._store.put_vote(
                num=ballot.number,
                who=ballot.proposer,
                anum=ballot.number,
                awho=ballot.proposer,
                value=request.value.to_document(),
            )
        return AcceptAnswer(ok, state.highest_number)


class _Answer(Protocol):
    """What the answers to both rounds have in common."""

    @property
    def ok(self) -> bool:
        """Whether the voter agreed."""

    @property
    def highest_number(self) -> int:
        """The highest ballot number that the voter has seen."""


_AnswerT = TypeVar("_AnswerT", bound=_Answer)


class Proposer:
    """Has a majority of members decide a view."""

    def __init__(self, store: CoreStore, call: Call) -> None:
        """Proposes under the name of the node of `store`; `call` reaches every member."""
        self._store, self._call = store, call
        self._highest_number = 0

    async def change(self, ids: MemberDisks, next_view: Callable[[View | None], View]) -> View:
        """Decides `next_view(newest accepted view)` among the members `members`, and returns it.

        Raises:
            NoPromise: no majority promised.
            Conflict: a majority promised, but another proposer was faster.
        """
        ballot = self._next_ballot()
        accepted = await self._prepare(ids, ballot)
        view = next_view(accepted)
        request = AcceptRequest(ballot, ids, view)

        def decides(voters: set[str]) -> bool:
            return is_joint_quorum(voters, ids, view.members)

        answers = await self._round(
            ids, MessageKind.REGISTER_ACCEPT, request.to_body(), AcceptAnswer.from_body, decides
        )
        if not decides(_agreeing(answers)):
            raise Conflict("no majority of the members before and after accepted")
        return view

    def _next_ballot(self) -> Ballot:
        promised = self._store.vote["num"]
        self._highest_number = max(self._highest_number, promised) + 1
        return Ballot(self._highest_number, self._store.name)

    async def _prepare(self, ids: MemberDisks, ballot: Ballot) -> View | None:
        """The newest view that any voter of a promising majority has accepted."""
        body = PrepareRequest(ballot, ids).to_body()

        def promises(voters: set[str]) -> bool:
            return len(voters) > len(ids) // 2

        answers = await self._round(
            ids, MessageKind.REGISTER_PREPARE, body, PrepareAnswer.from_body, promises
        )
        if not promises(_agreeing(answers)):
            raise NoMajorityPromised(_newest(answers.values()))
        return _newest([answer for answer in answers.values() if answer.ok])

    async def _round(
        self,
        ids: MemberDisks,
        kind: str,
        body: Mapping[str, Any],
        read: Callable[[Mapping[str, Any]], _AnswerT],
        is_enough: Callable[[set[str]], bool],
    ) -> dict[str, _AnswerT]:
        """Asks every member until enough agreed, or all have answered or failed."""

        async def ask(name: str) -> _AnswerT | None:
            try:
                return read(await self._call(name, kind, body, _VOTE_TIMEOUT_US))
            except Fault:
                return None

        tasks = {name: asyncio.ensure_future(ask(name)) for name in sorted(ids)}
        while True:
            results = {name: task.result() for name, task in tasks.items() if task.done()}
            answers = {name: answer for name, answer in results.items() if answer is not None}
            pending = [task for task in tasks.values() if not task.done()]
            if is_enough(_agreeing(answers)) or not pending:
                break
            await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        seen = [answer.highest_number for answer in answers.values()]
        self._highest_number = max([self._highest_number, *seen])
        return answers


def _agreeing(answers: Mapping[str, _Answer]) -> set[str]:
    return {name for name, answer in answers.items() if answer.ok}


def is_joint_quorum(voters: Collection[str], before: MemberDisks, after: MemberDisks) -> bool:
    """Whether every majority of either set of members includes one of these voters.

    Only voters count that are members, with the same disk, before and after.
    """
    lasting = sum(name in voters and after.get(name) == disk for name, disk in before.items())
    return lasting > len(before) // 2 and lasting >= len(after) - len(after) // 2


def _newest(answers: Iterable[PrepareAnswer]) -> View | None:
    """The view accepted under the highest ballot."""
    newest = max(answers, key=lambda answer: answer.accepted, default=None)
    return None if newest is None else newest.value
