"""Tests that a proxy confirms commits with a known replica.

A commit's success is passed on only once a known replica shows it, unless the control nodes
recently confirmed the leadership.
"""

import asyncio
import collections
import types

import pytest

from petrelhaven.control.state.control_state import ControlState
from petrelhaven.proxy.core_connection import CoreConnection
from petrelhaven.proxy.reads.read_clock import LogicalClock
from petrelhaven.proxy.routing.group import MemberGroup
from petrelhaven.proxy.routing.remote_contact import RemoteContact
from petrelhaven.proxy.routing.request import Request
from petrelhaven.proxy.routing.transaction_path import TransactionPath
from petrelhaven.proxy.routing.write_path import WritePath
from petrelhaven.proxy.session.statement import Reply
from petrelhaven.runtime.clock import Clock
from petrelhaven.runtime.errors import Busy, MemberReplaced, NotSent
from petrelhaven.runtime.tasks import BackgroundTasks
from petrelhaven.transport.link import Link

WRITTEN = (1, 241)
BEHIND, EVEN, AHEAD, LATER_TERM = (1, 233), (1, 241), (1, 250), (2, 300)
TOO_BUSY = "busy"
REPLACED = "replaced"
REQUEST_US = 2_000_000


class _LoopClock(Clock):
    """The time of the event loop, which is virtual in these tests."""

    def now(self):
        return int(asyncio.get_running_loop().time() * 1e6) + 1


class _Connection:
    lost = False

    def __init__(self, log, delay_us, requests, clock):
        """`log` is the position of each answer, or several, of which the last one is repeated."""
        self._positions = list(log) if isinstance(log, list) else [log]
        self._delay_us, self._requests, self._clock = delay_us, requests, clock

    async def send_command(self, verb):
        self._requests.append(verb)
        await self._clock.sleep(self._delay_us)
        last = len(self._positions) == 1
        position = self._positions[0] if last else self._positions.pop(0)
        if position is TOO_BUSY:
            raise Busy("busy")
        return {"role": "replica", "term": 1, "pos": position, "held": 0}

    def close(self):
        self.lost = True


class _Wire:
    """Opens connections to replicas whose log positions are `logs`; without a log, it is refused."""

    def __init__(self, logs, delays, clock):
        self._logs, self._delays, self._clock = logs, delays, clock
        self.requests = []

    async def open(self, address, group, member, limit_us, tenant=""):
        if self._logs[member] is None:
            raise NotSent("refused")
        if self._logs[member] is REPLACED:
            raise MemberReplaced("another member")
        return _Connection(
            self._logs[member], self._delays.get(member, 0), self.requests, self._clock
        )


class _MemberCalls:
    """Answers every write and commit with success at the position `WRITTEN`.

    `meanwhile` is called between the request and the answer.
    """

    def __init__(self, meanwhile=lambda: None):
        self._meanwhile = meanwhile

    async def send(self, request, attempt, after, limit_us):
        attempt.sent = True
        self._meanwhile()
        return Reply(position=WRITTEN, state="I")

    async def send_in_transaction(self, request, connection):
        self._meanwhile()
        return Reply(position=WRITTEN, state="I")

    def collect_reply(self, group, attempt):
        return attempt.task.result()


class _Pool:
    def __init__(self):
        self.released, self.discarded = [], []

    def release(self, connection):
        self.released.append(connection)

    def discard(self, connection):
        self.discarded.append(connection)


class _Session:
    wire_state, transaction_ended, transaction = "I", False, None

    def end_transaction(self):
        self.transaction_ended = True


def _make_proxy(logs, confirmed, delays, holds_lease):
    clock = _LoopClock()
    return types.SimpleNamespace(
        clock=clock,
        tasks=BackgroundTasks(),
        logical_clock=LogicalClock(),
        log=None,
        core_connection=types.SimpleNamespace(
            holds_lease=holds_lease,
            lease_confirmed=confirmed,
            proxy_count=3,
            suspect=lambda *_: None,
        ),
        wire=_Wire(logs, delays, clock),
        zone_distance=lambda zone: {"a": 0, "b": 2}[zone],
        remote_contact=RemoteContact(clock),
        drain_us=0,
        evacuation_us=0,
        count=collections.Counter(),
        bounds=lambda: types.SimpleNamespace(fetch_us=150_000, join_us=2_000_000, lanes=2),
    )


def _make_group(proxy, logs, sync_replicas, remote_member):
    control_state = ControlState()
    for index, name in enumerate(["p", *logs]):
        row = {"t": "member", "name": name, "group": "g", "role": "replica"}
        row |= {"hall": "b" if name == remote_member else "a"}
        row |= {"addr": f"10.0.0.{index}:1", "state": "ready", "slots": 5, "count": 1}
        control_state.apply(index + 1, row)
    leadership = {"t": "office", "group": "g", "n": 1, "phase": "serve", "primary": "p", "term": 1}
    control_state.apply(control_state.seq + 1, leadership | {"cause": ""})
    group = MemberGroup("g", proxy)
    group.sync_replicas = sync_replicas
    group.apply_control_state(control_state, True)
    return group, control_state


class _Scenario:
    """Runs one write or COMMIT that the primary answers with success."""

    def __init__(
        self,
        kind,
        logs,
        confirmed=False,
        sync_replicas=1,
        delays=(),
        has_written=True,
        remote_member="",
        holds_lease=True,
    ):
        self.proxy = _make_proxy(logs, confirmed, dict(delays), holds_lease)
        self.group, self.control_state = _make_group(self.proxy, logs, sync_replicas, remote_member)
        self.meanwhile = lambda: None
        self.session, self.pool = _Session(), _Pool()
        self._kind, self._has_written = kind, has_written

    async def run(self):
        clock = self.proxy.clock
        started_at = clock.now()
        verb = "commit" if self._kind == "commit" else "put"
        statement = types.SimpleNamespace(verb=verb, writes=True)
        request = Request(self.session, statement, None, self.group, started_at + REQUEST_US)
        if self._kind == "commit":
            member = self.group.members["p"]
            member.pool = self.pool
            self.session.transaction = types.SimpleNamespace(
                connection=types.SimpleNamespace(lost=False),
                member=member,
                group=self.group,
                has_written=self._has_written,
                read_only=False,
            )
            path = TransactionPath(self.proxy, _MemberCalls(self.meanwhile), None)
        else:
            path = WritePath(self.proxy, _MemberCalls(self.meanwhile))
        reply = await _run_continuation(path.run(request))
        self.took_us = clock.now() - started_at
        return reply

    def set_leadership(self, phase, primary, term, requested=()):
        """Applies a new leadership record to the proxy; `requested` may be promoted."""
        number = self.control_state.doc["offices"]["g"]["n"] + 1
        record = {"t": "office", "group": "g", "n": number, "phase": phase, "primary": primary}
        if requested:
            record["requested"] = list(requested)
        self.control_state.apply(self.control_state.seq + 1, record | {"term": term, "cause": ""})
        self.group.apply_control_state(self.control_state, False)

    def lose_replica(self, name):
        """Applies the record that the copies of a lost replica don't count any more."""
        record = {"t": "evidence", "group": "g", "what": "non_voting", "member": name}
        self.control_state.apply(self.control_state.seq + 1, record)
        self.group.apply_control_state(self.control_state, False)

    def regain_lease(self, phase):
        """Gives the partitioned proxy its lease back, together with a newer leadership record."""
        self.proxy.core_connection.lease_confirmed = True
        self.set_leadership(phase, "p", 1)


async def _run_continuation(continuation):
    try:
        while True:
            await next(continuation)
    except StopIteration as end:
        return end.value


STATEMENT_KINDS = pytest.mark.parametrize("kind", ["write", "commit"])


@STATEMENT_KINDS
@pytest.mark.parametrize("log", [BEHIND, LATER_TERM])
def test_a_success_that_no_known_replica_shows_is_unsure(warp, kind, log):
    async def go():
        scenario = _Scenario(kind, {"m1": BEHIND, "m2": log})
        reply = await scenario.run()
        assert (reply.code, scenario.proxy.count["unsure"]) == ("unsure", 1)
        if kind == "commit":
            assert scenario.session.transaction_ended
            assert scenario.session.transaction is None
            assert (len(scenario.pool.released), len(scenario.pool.discarded)) == (0, 1)

    warp(go())


@STATEMENT_KINDS
@pytest.mark.parametrize("log", [EVEN, AHEAD])
def test_one_known_replica_that_shows_the_write_is_sufficient(warp, kind, log):
    async def go():
        scenario = _Scenario(kind, {"m1": BEHIND, "m2": log}, delays={"m1": 10_000_000})
        assert (await scenario.run()).ok
        assert scenario.proxy.count["unsure"] == 0
        assert scenario.took_us < 100_000

    warp(go())


@STATEMENT_KINDS
def test_the_wait_for_silent_replicas_is_limited(warp, kind):
    async def go():
        scenario = _Scenario(kind, {"m1": EVEN, "m2": EVEN}, delays={"m1": 10**7, "m2": 10**7})
        assert (await scenario.run()).code == "unsure"
        assert scenario.took_us < 600_000

    warp(go())


@STATEMENT_KINDS
@pytest.mark.parametrize(("confirmed", "sync_replicas"), [(True, 1), (False, 0)])
def test_while_confirmed_or_without_sync_replicas_no_status_is_requested(
    warp, kind, confirmed, sync_replicas
):
    async def go():
        scenario = _Scenario(kind, {"m1": BEHIND}, confirmed, sync_replicas)
        assert (await scenario.run()).ok
        assert scenario.proxy.wire.requests == []

    warp(go())


def test_a_commit_that_wrote_nothing_needs_no_confirmation(warp):
    async def go():
        scenario = _Scenario("commit", {"m1": BEHIND}, has_written=False)
        assert (await scenario.run()).ok
        assert scenario.proxy.wire.requests == []

    warp(go())


@STATEMENT_KINDS
def test_a_lease_regained_during_a_failover_does_not_confirm_the_old_primarys_answer(warp, kind):
    """Guards against lost commits after a partition.

    The statement is sent during a partition, and a new replica that no node knows of acknowledges
    it to the old primary.
    """

    async def go():
        scenario = _Scenario(kind, {"m1": BEHIND, "m2": BEHIND})
        scenario.meanwhile = lambda: scenario.regain_lease("move")
        assert (await scenario.run()).code == "unsure"

    warp(go())


@STATEMENT_KINDS
def test_an_answer_from_an_earlier_term_of_the_current_primary_needs_confirmation(warp, kind):
    async def go():
        scenario = _Scenario(kind, {"m1": BEHIND, "m2": BEHIND}, confirmed=True)

        def lose_and_regain_leadership():
            scenario.set_leadership("serve", "m1", 2)
            scenario.set_leadership("serve", "p", 3)

        scenario.meanwhile = lose_and_regain_leadership
        assert (await scenario.run()).code == "unsure"

    warp(go())


@STATEMENT_KINDS
def test_a_switchover_still_trusts_a_confirmed_primary(warp, kind):
    async def go():
        scenario = _Scenario(kind, {"m1": BEHIND, "m2": BEHIND}, confirmed=True)
        scenario.meanwhile = lambda: scenario.set_leadership("swap", "p", 1)
        assert (await scenario.run()).ok
        assert scenario.proxy.wire.requests == []

    warp(go())


@STATEMENT_KINDS
@pytest.mark.parametrize("silent_us", [80_000, 120_000])
def test_a_primary_in_the_own_zone_needs_confirmation_without_recent_remote_contact(
    warp, kind, silent_us
):
    """Guards against lost commits in a zone that is partitioned off.

    A new replica in that zone, unknown to the control nodes, may have acknowledged the commit.
    """

    async def go():
        scenario = _Scenario(kind, {"m1": BEHIND, "m2": BEHIND}, confirmed=True, remote_member="m2")
        scenario.group.note_answer(scenario.group.members["m2"])
        await scenario.proxy.clock.sleep(silent_us)
        assert (await scenario.run()).ok == (silent_us < 100_000)

    warp(go())


@STATEMENT_KINDS
def test_a_remote_primary_is_itself_remote_contact(warp, kind):
    async def go():
        scenario = _Scenario(kind, {"m1": BEHIND, "m2": BEHIND}, confirmed=True, remote_member="p")
        scenario.group.note_answer(scenario.group.members["p"])
        await scenario.proxy.clock.sleep(1_000_000)
        assert (await scenario.run()).ok
        assert scenario.proxy.wire.requests == []

    warp(go())


@STATEMENT_KINDS
@pytest.mark.parametrize(("voting_log", "code"), [(BEHIND, "unsure"), (EVEN, ""), (AHEAD, "")])
def test_with_a_lost_replica_a_commit_needs_the_copy_of_one_that_votes(
    warp, kind, voting_log, code
):
    """Guards against lost commits: the lost replica may live and alone have received them."""

    async def go():
        scenario = _Scenario(kind, {"m1": EVEN, "m2": voting_log}, confirmed=True)
        scenario.lose_replica("m1")
        reply = await scenario.run()
        assert ("" if reply.ok else reply.code) == code
        assert scenario.took_us < 600_000

    warp(go())


@STATEMENT_KINDS
def test_a_replica_lost_between_request_and_answer_does_not_confirm_the_commit(warp, kind):
    async def go():
        scenario = _Scenario(kind, {"m1": EVEN, "m2": BEHIND}, confirmed=True)
        scenario.meanwhile = lambda: scenario.lose_replica("m1")
        assert (await scenario.run()).code == "unsure"

    warp(go())


@STATEMENT_KINDS
@pytest.mark.parametrize("first", [BEHIND, TOO_BUSY])
def test_a_replica_that_does_not_show_the_write_yet_is_asked_again(warp, kind, first):
    async def go():
        scenario = _Scenario(kind, {"m1": [first, first, EVEN]})
        assert (await scenario.run()).ok
        assert len(scenario.proxy.wire.requests) == 3

    warp(go())


@STATEMENT_KINDS
@pytest.mark.parametrize(
    ("other_log", "code"),
    [
        (BEHIND, "unsure"),
        (TOO_BUSY, "unsure"),
        (LATER_TERM, "unsure"),
        (EVEN, ""),
        (None, ""),
        (REPLACED, ""),
    ],
)
def test_without_a_lease_every_replica_that_answers_must_show_the_write(
    warp, kind, other_log, code
):
    """Guards against lost commits: which replicas have lost their vote may be unknown."""

    async def go():
        scenario = _Scenario(kind, {"m1": EVEN, "m2": other_log}, holds_lease=False)
        reply = await scenario.run()
        assert ("" if reply.ok else reply.code) == code
        assert scenario.took_us < 600_000

    warp(go())


@STATEMENT_KINDS
def test_without_a_lease_a_silent_replica_leaves_the_commit_unsure(warp, kind):
    """Guards against lost commits: it may be the candidate of a leader change, unknown to this proxy."""

    async def go():
        scenario = _Scenario(
            kind, {"m1": EVEN, "m2": EVEN}, delays={"m2": 10**7}, holds_lease=False
        )
        assert (await scenario.run()).code == "unsure"
        assert scenario.took_us < 600_000

    warp(go())


@STATEMENT_KINDS
def test_without_a_lease_a_replica_that_shows_the_write_later_is_waited_for(warp, kind):
    async def go():
        scenario = _Scenario(kind, {"m1": EVEN, "m2": [BEHIND, EVEN]}, holds_lease=False)
        assert (await scenario.run()).ok
        assert scenario.took_us < 100_000

    warp(go())


@STATEMENT_KINDS
@pytest.mark.parametrize("phase", ["swap", "move"])
@pytest.mark.parametrize(
    ("requested", "code"),
    [(["m1"], ""), (["m2"], "unsure"), (["m1", "m2"], "unsure"), (["gone"], "unsure")],
)
def test_while_members_may_be_promoted_each_of_them_must_show_the_write(
    warp, kind, phase, requested, code
):
    """Guards against lost commits: only a member has them that is unknown, or whose pause a restart ended."""

    async def go():
        scenario = _Scenario(kind, {"m1": EVEN, "m2": BEHIND}, confirmed=True)
        scenario.meanwhile = lambda: scenario.set_leadership(phase, "p", 1, requested)
        reply = await scenario.run()
        assert ("" if reply.ok else reply.code) == code
        assert scenario.took_us < 600_000

    warp(go())


@STATEMENT_KINDS
def test_a_candidate_that_shows_the_write_is_the_only_one_that_is_asked(warp, kind):
    async def go():
        scenario = _Scenario(kind, {"m1": BEHIND, "m2": EVEN}, confirmed=True, remote_member="m2")
        scenario.set_leadership("swap", "p", 1, ["m2"])
        assert (await scenario.run()).ok
        assert len(scenario.proxy.wire.requests) == 1

    warp(go())


@STATEMENT_KINDS
@pytest.mark.parametrize(("late_log", "code"), [(BEHIND, "unsure"), (EVEN, "")])
def test_a_candidate_that_is_named_while_replicas_are_asked_must_show_the_write(
    warp, kind, late_log, code
):
    """Guards against lost commits: the primary answered before the proxy knew of the candidate."""

    async def go():
        delays = {"m1": 30_000, "m2": 30_000}
        scenario = _Scenario(kind, {"m1": EVEN, "m2": late_log}, delays=delays)
        name_candidate = lambda: scenario.set_leadership("swap", "p", 1, ["m2"])  # noqa: E731
        scenario.proxy.clock.call_later(10_000, name_candidate)
        reply = await scenario.run()
        assert ("" if reply.ok else reply.code) == code

    warp(go())


@STATEMENT_KINDS
@pytest.mark.parametrize("new_primarys_log", [BEHIND, LATER_TERM])
def test_a_new_primary_without_the_write_leaves_it_unsure(warp, kind, new_primarys_log):
    """Guards against lost commits: the candidate leads by the time that another replica shows the write."""

    async def go():
        delays = {"m1": 60_000}
        scenario = _Scenario(
            kind, {"m1": EVEN, "m2": new_primarys_log}, confirmed=True, delays=delays
        )
        scenario.set_leadership("swap", "p", 1, ["m2"])
        scenario.proxy.clock.call_later(
            20_000, lambda: scenario.set_leadership("serve", "m2", LATER_TERM[0])
        )
        assert (await scenario.run()).code == "unsure"

    warp(go())


@STATEMENT_KINDS
def test_a_cancelled_leader_change_needs_its_candidate_no_more(warp, kind):
    async def go():
        scenario = _Scenario(kind, {"m1": EVEN, "m2": BEHIND}, confirmed=True)
        scenario.set_leadership("swap", "p", 1, ["m2"])
        scenario.proxy.clock.call_later(60_000, lambda: scenario.set_leadership("serve", "p", 1))
        assert (await scenario.run()).ok

    warp(go())


def test_a_lease_that_was_not_renewed_for_a_while_still_holds_but_is_not_confirmed():
    now = 5_000_000
    clock = types.SimpleNamespace(now=lambda: now)
    core_connection = CoreConnection(
        clock, BackgroundTasks(), Link(clock, BackgroundTasks()), None, "e1", [], lambda zone: 0
    )
    assert not core_connection.holds_lease and not core_connection.lease_confirmed
    core_connection._extend_lease(now, 1_500_000, 200_000)
    assert core_connection.holds_lease and core_connection.lease_confirmed
    now += 450_000
    assert core_connection.holds_lease and not core_connection.lease_confirmed
