"""The view register: a majority of the members decides each view.

The register runs single-decree Paxos on the members' stores (docs/notes/chain-and-view.md). A view
may replace one member by another in a single step. As in joint consensus, such a view is decided
only by the votes of nodes that are members before and after it. There must be enough of these votes
that every majority of the members before, and every majority of the members after, includes a node
that accepted the view.
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
    from petrelhaven.control.storage.node_store import ControlNodeStore
    from petrelhaven.transport.channel import Channel

__all__ = ["Call", "NoMajorityPromised", "Proposer", "Voter", "is_joint_quorum"]

_VOTE_TIMEOUT_US = 600_000

Call = Callable[[str, str, Mapping[str, Any], int], Awaitable[dict[str, Any]]]
"""Calls a control node with the arguments name, kind, body and timeout in microseconds."""


class NoMajorityPromised(Exception):  # noqa: N818 (a normal outcome that never leaves the node)
    """No majority promised in the first phase of a ballot.

    Attributes:
        accepted: The newest view that any voter answered as accepted, or None.
    """

    def __init__(self, accepted: View | None) -> None:
        """Carries the view whose decision may have to be completed."""
        super().__init__("no majority promised")
        self.accepted = accepted


class Voter:
    """The acceptor of the view register.

    A voter never votes in a ballot whose members don't include the identity of its own disk.

    Ballots are held among the members of the newest view that is known to be decided. The members
    of a view that was only accepted don't count until that view is decided. Otherwise two voters
    that accepted different views could block each other forever.
    """

    def __init__(self, store: ControlNodeStore) -> None:
        """Keeps the votes in `store`."""
        self._store = store

    def _state(self) -> VoteState:
        return VoteState.from_document(self._store.vote)

    def _fits(self, members: MemberDisks) -> bool:
        """Whether `members` include this node's disk and match the members known here."""
        known = self._state().members
        return members.get(self._store.name) == self._store.disk_id and known in (None, members)

    async def prepare(self, _channel: Channel | None, body: Mapping[str, Any]) -> dict[str, Any]:
        """Handles a `vote.prepare`."""
        return self._prepare(PrepareRequest.from_body(body)).to_body()

    def _prepare(self, request: PrepareRequest) -> PrepareAnswer:
        state = self._state()
        ok = self._fits(request.members) and request.ballot > state.promised
        if ok:
            self._store.save_vote(num=request.ballot.number, who=request.ballot.proposer)
        return PrepareAnswer(ok, state.accepted, state.value, state.highest_number)

    async def accept(self, _channel: Channel | None, body: Mapping[str, Any]) -> dict[str, Any]:
        """Handles a `vote.accept`."""
        return self._accept(AcceptRequest.from_body(body)).to_body()

    def _accept(self, request: AcceptRequest) -> AcceptAnswer:
        state, ballot = self._state(), request.ballot
        ok = self._fits(request.members) and ballot >= state.promised
        if ok:
            self._store.save_vote(
                num=ballot.number,
                who=ballot.proposer,
                anum=ballot.number,
                awho=ballot.proposer,
                value=request.value.to_document(),
            )
        return AcceptAnswer(ok, state.highest_number)


class _Answer(Protocol):
    """The common part of the answers in both phases."""

    @property
    def ok(self) -> bool:
        """Whether the voter agreed."""

    @property
    def highest_number(self) -> int:
        """The highest ballot number that the voter has seen."""


_AnswerT = TypeVar("_AnswerT", bound=_Answer)


class Proposer:
    """Proposes views to the members, a majority of which decides."""

    def __init__(self, store: ControlNodeStore, call: Call) -> None:
        """Proposes in the name of the node that owns `store`; `call` calls the members."""
        self._store, self._call = store, call
        self._highest_number = 0

    async def decide_view(
        self, members: MemberDisks, next_view: Callable[[View | None], View]
    ) -> View:
        """Runs one ballot among `members` and returns the decided view.

        Args:
            members: The members that vote.
            next_view: Called with the newest view that any promising voter has accepted, or None.
                Returns the view to propose.

        Raises:
            NoMajorityPromised: No majority promised.
            Conflict: A majority promised, but too few voters accepted the view.
        """
        ballot = self._next_ballot()
        accepted = await self._prepare(members, ballot)
        view = next_view(accepted)
        request = AcceptRequest(ballot, members, view)

        def decides(voters: set[str]) -> bool:
            return is_joint_quorum(voters, members, view.members)

        answers = await self._run_phase(
            members, MessageKind.REGISTER_ACCEPT, request.to_body(), AcceptAnswer.from_body, decides
        )
        if not decides(_agreeing(answers)):
            raise Conflict("no majority of the members before and after accepted")
        return view

    def _next_ballot(self) -> Ballot:
        promised = self._store.vote["num"]
        self._highest_number = max(self._highest_number, promised) + 1
        return Ballot(self._highest_number, self._store.name)

    async def _prepare(self, members: MemberDisks, ballot: Ballot) -> View | None:
        """Runs the first phase; returns the newest view that any promising voter has accepted."""
        body = PrepareRequest(ballot, members).to_body()

        def promises(voters: set[str]) -> bool:
            return len(voters) > len(members) // 2

        answers = await self._run_phase(
            members, MessageKind.REGISTER_PREPARE, body, PrepareAnswer.from_body, promises
        )
        if not promises(_agreeing(answers)):
            raise NoMajorityPromised(_newest_accepted(answers.values()))
        return _newest_accepted([answer for answer in answers.values() if answer.ok])

    async def _run_phase(
        self,
        members: MemberDisks,
        kind: str,
        body: Mapping[str, Any],
        parse: Callable[[Mapping[str, Any]], _AnswerT],
        is_enough: Callable[[set[str]], bool],
    ) -> dict[str, _AnswerT]:
        """Asks every member until enough have agreed, or all have answered or failed.

        Args:
            members: The members to ask.
            kind: Message kind of the request.
            body: Body of the request.
            parse: Parses the body of an answer.
            is_enough: Whether the voters with these names are enough.

        Returns:
            The answers by node name.
        """

        async def ask(name: str) -> _AnswerT | None:
            try:
                return parse(await self._call(name, kind, body, _VOTE_TIMEOUT_US))
            except Fault:
                return None

        tasks = {name: asyncio.ensure_future(ask(name)) for name in sorted(members)}
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
    """The names of the voters that agreed."""
    return {name for name, answer in answers.items() if answer.ok}


def is_joint_quorum(voters: Collection[str], before: MemberDisks, after: MemberDisks) -> bool:
    """Whether every majority of `before` and every majority of `after` includes one of `voters`.

    Only voters that are members with the same disk both before and after are counted.
    """
    remaining = sum(name in voters and after.get(name) == disk for name, disk in before.items())
    return remaining > len(before) // 2 and remaining >= len(after) - len(after) // 2


def _newest_accepted(answers: Iterable[PrepareAnswer]) -> View | None:
    """The view that was accepted with the highest ballot."""
    newest = max(answers, key=lambda answer: answer.accepted, default=None)
    return None if newest is None else newest.value
