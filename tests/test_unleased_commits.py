"""Unless control confirmed the office a moment ago, a commit's success is passed on only once a
known replica shows it."""

import asyncio
import collections
import types

import pytest

from petrelhaven.control.state.control_state import ControlState
from petrelhaven.proxy.core_connection import CoreConnection
from petrelhaven.proxy.reads.read_clock import Order
from petrelhaven.proxy.routing.group import MemberGroup
from petrelhaven.proxy.routing.outside_contact import OutsideContact
from petrelhaven.proxy.routing.request import Request
from petrelhaven.proxy.routing.transaction_path import TransactionPath
from petrelhaven.proxy.routing.write_path import WritePath
from petrelhaven.proxy.session.statement import Reply
from petrelhaven.runtime.clock import Clock
from petrelhaven.runtime.tasks import BackgroundTasks
from petrelhaven.transport.link import Link

WRITTEN = (1, 241)
SHORT, EVEN, AHEAD, LATER_TERM = (1, 233), (1, 241), (1, 250), (2, 300)
REQUEST_US = 2_000_000


class _LoopClock(Clock):
    """The loop's own time, which is virtual here."""

    def now(self):
        return int(asyncio.get_running_loop().time() * 1e6) + 1


class _Connection:
    lost = False

    def __init__(self, position, delay_us, asked, clock):
        self._position, self._delay_us, self._asked = position, delay_us, asked
        self._clock = clock

    async def send_system_verb(self, verb):
        self._asked.append(verb)
        await self._clock.sleep(self._delay_us)
        return {"role": "replica", "term": 1, "pos": self._position, "held": 0}

    def close(self):
        self.lost = True


class _Wire:
    """Opens connections to replicas whose logs are at `logs`."""

    def __init__(self, logs, delays, clock):
        self._logs, self._delays, self._clock = logs, delays, clock
        self.asked = []

    async def open(self, address, group, member, limit_us, tenant=""):
        return _Connection(self._logs[member], self._delays.get(member, 0), self.asked, self._clock)


class _Calls:
    """A member that answers every write and commit with success at `WRITTEN`.

    `meanwhile` happens between the sending and the answer.
    """

    def __init__(self, meanwhile=lambda: None):
        self._meanwhile = meanwhile

    async def send(self, request, attempt, flight, left_us):
        attempt.sent = True
        self._meanwhile()
        return Reply(pos=WRITTEN, state="I")

    async def send_pinned(self, connection, session, statement):
        self._meanwhile()
        return Reply(pos=WRITTEN, state="I")

    def outcome(self, group, attempt):
        return attempt.task.result()


class _Pool:
    def __init__(self):
        self.given, self.dropped = [], []

    def release(self, connection):
        self.given.append(connection)

    def discard(self, connection):
        self.dropped.append(connection)


class _Session:
    mark, settled, transaction = "I", False, None

    def settle(self):
        self.settled = True


def _proxy(logs, confirmed, delays):
    clock = _LoopClock()
    return types.SimpleNamespace(
        clock=clock,
        tasks=BackgroundTasks(),
        order=Order(),
        log=None,
        core_connection=types.SimpleNamespace(
            holds_lease=True, lease_confirmed=confirmed, proxy_count=3, suspect=lambda *_: None
        ),
        wire=_Wire(logs, delays, clock),
        zone_distance=lambda zone: {"a": 0, "b": 2}[zone],
        outside_contact=OutsideContact(clock),
        drain_us=0,
        empty_us=0,
        count=collections.Counter(),
        bounds=lambda: types.SimpleNamespace(fetch_us=150_000, join_us=2_000_000, lanes=2),
    )


def _group(proxy, logs, sync_replicas, far):
    control_state = ControlState()
    for index, name in enumerate(["p", *logs]):
        row = {"t": "member", "name": name, "group": "g", "role": "replica"}
        row |= {"hall": "b" if name == far else "a"}
        row |= {"addr": f"10.0.0.{index}:1", "state": "ready", "slots": 5, "count": 1}
        control_state.apply(index + 1, row)
    leadership = {"t": "office", "group": "g", "n": 1, "phase": "serve", "primary": "p", "term": 1}
    control_state.apply(control_state.seq + 1, leadership | {"cause": ""})
    group = MemberGroup("g", proxy)
    group.sync_replicas = sync_replicas
    group.apply(control_state, True)
    return group, control_state


class _Case:
    """One write or COMMIT answered with success, and what the proxy passed on."""

    def __init__(self, kind, logs, confirmed=False, sync_replicas=1, delays=(), wrote=True, far=""):
        self.proxy = _proxy(logs, confirmed, dict(delays))
        self.group, self.control_state = _group(self.proxy, logs, sync_replicas, far)
        self.meanwhile = lambda: None
        self.session, self.pool = _Session(), _Pool()
        self._kind, self._wrote = kind, wrote

    async def run(self):
        clock = self.proxy.clock
        began = clock.now()
        verb = "commit" if self._kind == "commit" else "put"
        statement = types.SimpleNamespace(verb=verb, writes=True)
        request = Request(self.session, statement, None, self.group, began + REQUEST_US)
        if self._kind == "commit":
            member = self.group.members["p"]
            member.pool = self.pool
            self.session.transaction = types.SimpleNamespace(
                connection=types.SimpleNamespace(lost=False),
                member=member,
                group=self.group,
                wrote=self._wrote,
                reads=False,
            )
            path = TransactionPath(self.proxy, _Calls(self.meanwhile), None)
        else:
            path = WritePath(self.proxy, _Calls(self.meanwhile))
        reply = await _drive(path.run(request))
        self.took_us = clock.now() - began
        return reply

    def leadership(self, phase, primary, term):
        """A record of the office reaches the proxy."""
        number = self.control_state.doc["offices"]["g"]["n"] + 1
        record = {"t": "office", "group": "g", "n": number, "phase": phase, "primary": primary}
        self.control_state.apply(self.control_state.seq + 1, record | {"term": term, "cause": ""})
        self.group.apply(self.control_state, False)

    def contact_again(self, phase):
        """The proxy, cut off as it sent, gets its lease back together with a newer office."""
        self.proxy.core_connection.lease_confirmed = True
        self.leadership(phase, "p", 1)


async def _drive(steps):
    try:
        while True:
            await next(steps)
    except StopIteration as end:
        return end.value


KINDS = pytest.mark.parametrize("kind", ["write", "commit"])


@KINDS
@pytest.mark.parametrize("log", [SHORT, LATER_TERM])
def test_a_success_that_no_known_replica_shows_is_unsure(warp, kind, log):
    async def go():
        case = _Case(kind, {"m1": SHORT, "m2": log})
        reply = await case.run()
        assert (reply.code, case.proxy.count["unsure"]) == ("unsure", 1)
        if kind == "commit":
            assert case.session.settled
            assert case.session.transaction is None
            assert (len(case.pool.given), len(case.pool.dropped)) == (0, 1)

    warp(go())


@KINDS
@pytest.mark.parametrize("log", [EVEN, AHEAD])
def test_one_known_replica_that_shows_it_is_enough(warp, kind, log):
    async def go():
        case = _Case(kind, {"m1": SHORT, "m2": log}, delays={"m1": 10_000_000})
        assert (await case.run()).ok
        assert case.proxy.count["unsure"] == 0
        assert case.took_us < 100_000

    warp(go())


@KINDS
def test_silent_replicas_are_not_waited_for_longer_than_the_bound(warp, kind):
    async def go():
        case = _Case(kind, {"m1": EVEN, "m2": EVEN}, delays={"m1": 10**7, "m2": 10**7})
        assert (await case.run()).code == "unsure"
        assert case.took_us < 600_000

    warp(go())


@KINDS
@pytest.mark.parametrize(("confirmed", "sync_replicas"), [(True, 1), (False, 0)])
def test_while_confirmed_or_without_sync_replicas_no_status_is_asked(
    warp, kind, confirmed, sync_replicas
):
    async def go():
        case = _Case(kind, {"m1": SHORT}, confirmed, sync_replicas)
        assert (await case.run()).ok
        assert case.proxy.wire.asked == []

    warp(go())


def test_a_commit_that_wrote_nothing_needs_no_proof(warp):
    async def go():
        case = _Case("commit", {"m1": SHORT}, wrote=False)
        assert (await case.run()).ok
        assert case.proxy.wire.asked == []

    warp(go())


@KINDS
def test_a_lease_regained_amid_a_move_does_not_vouch_for_what_the_old_primary_answers(warp, kind):
    """Sent while cut off; a new member, known to nobody, lets the old primary answer."""

    async def go():
        case = _Case(kind, {"m1": SHORT, "m2": SHORT})
        case.meanwhile = lambda: case.contact_again("move")
        assert (await case.run()).code == "unsure"

    warp(go())


@KINDS
def test_an_answer_of_an_earlier_term_of_the_primary_in_leadership_needs_proof(warp, kind):
    async def go():
        case = _Case(kind, {"m1": SHORT, "m2": SHORT}, confirmed=True)

        def lost_and_won_again():
            case.leadership("serve", "m1", 2)
            case.leadership("serve", "p", 3)

        case.meanwhile = lost_and_won_again
        assert (await case.run()).code == "unsure"

    warp(go())


@KINDS
def test_a_planned_move_leaves_a_confirmed_primary_its_word(warp, kind):
    async def go():
        case = _Case(kind, {"m1": SHORT, "m2": SHORT}, confirmed=True)
        case.meanwhile = lambda: case.leadership("swap", "p", 1)
        assert (await case.run()).ok
        assert case.proxy.wire.asked == []

    warp(go())


@KINDS
@pytest.mark.parametrize("silent_us", [80_000, 120_000])
def test_a_primary_of_the_own_zone_needs_proof_once_nothing_is_heard_from_beyond(
    warp, kind, silent_us
):
    """The zone may be cut off, with a new replica inside it that control does not know."""

    async def go():
        case = _Case(kind, {"m1": SHORT, "m2": SHORT}, confirmed=True, far="m2")
        case.group.note_answer(case.group.members["m2"])
        await case.proxy.clock.sleep(silent_us)
        assert (await case.run()).ok == (silent_us < 100_000)

    warp(go())


@KINDS
def test_a_primary_elsewhere_is_itself_word_from_there(warp, kind):
    async def go():
        case = _Case(kind, {"m1": SHORT, "m2": SHORT}, confirmed=True, far="p")
        case.group.note_answer(case.group.members["p"])
        await case.proxy.clock.sleep(1_000_000)
        assert (await case.run()).ok
        assert case.proxy.wire.asked == []

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
