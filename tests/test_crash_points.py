"""Every write of a core's memory, refused or cut short in each way that the disk allows, and what a restart finds.

Nothing acknowledged is lost, nothing that was refused counts, the identity stays.
"""

import asyncio
import copy
import itertools
import json

import pytest
from crash_disk import REFUSALS, SURVIVALS, CrashDisk, PowerCut, Refuse

from petrelhaven.control.consensus.register import NoMajorityPromised, Proposer, Voter
from petrelhaven.control.consensus.view import View
from petrelhaven.control.storage import core_store, record_format, record_log
from petrelhaven.control.storage.core_store import CoreStore
from petrelhaven.control.storage.record_log import RecordLog
from petrelhaven.runtime.errors import DiskRefused, Fault, NotSent


@pytest.fixture(autouse=True)
def small_files(monkeypatch):
    """Files so small that the scenario turns them several times."""
    monkeypatch.setattr(core_store, "_file_size", lambda name: 1100)


class Tiny:
    """A control state that costs nothing."""

    def __init__(self, doc=None):
        self.doc = doc or {"seq": 0, "sum": 0}
        self.seq = self.doc["seq"]

    def snapshot(self):
        return copy.deepcopy(self.doc)

    def apply(self, seq, record):
        assert seq == self.seq + 1
        self.seq = self.doc["seq"] = seq
        self.doc["sum"] += record["x"]


class Chance:
    """Draws the identity that it is told to."""

    def __init__(self, life=1):
        self.life = life

    def getrandbits(self, count):
        return self.life


def start(disk, chance=None):
    return CoreStore(disk, "a", chance or Chance(), state=Tiny)


def state_of(store):
    return json.dumps(
        [store.disk, store.vote, store.done, store.control_state.doc, store.entered_view],
        sort_keys=True,
    )


def record(number, pad=0):
    def op(store, chance):
        store.put_rec(store.control_state.seq + 1, 1, {"t": "x", "x": number, "pad": "p" * pad})

    return op


def vote(number):
    return lambda store, chance: store.put_vote(num=number, who="a")


def done(view):
    return lambda store, chance: store.put_done(view)


def reset(seq, pad=0):
    return lambda store, chance: store.reset({"seq": seq, "sum": 1, "pad": "r" * pad}, 2)


def wipe(life):
    def op(store, chance):
        chance.life = life
        store.wipe()

    return op


OPERATIONS = [
    vote(1),
    record(1, 30),
    record(2, 200),
    done(1),
    vote(2),
    record(3, 400),
    record(4, 10),
    reset(40, 100),
    done(2),
    record(5, 300),
    vote(3),
    record(6, 900),
    record(7, 5),
    wipe(2),
    vote(4),
    record(8, 50),
    reset(60, 20),
    done(3),
    record(9, 250),
    record(10, 250),
    record(11, 250),
    vote(5),
]


def expected():
    """The state after each number of operations, and the number of writes up to it."""
    disk, chance = CrashDisk(), Chance()
    store = start(disk, chance)
    states, writes = [state_of(store)], [disk.count]
    for op in OPERATIONS:
        op(store, chance)
        states.append(state_of(store))
        writes.append(disk.count)
    return states, writes


STATES, WRITES = [], []


@pytest.fixture(autouse=True)
def reference(small_files):
    STATES[:], WRITES[:] = expected()


def play(disk):
    """Runs the scenario until the power goes; returns how many operations were acknowledged (-1: no start)."""
    chance = Chance()
    count = -1
    try:
        store = start(disk, chance)
        count = 0
        for op in OPERATIONS:
            op(store, chance)
            count += 1
    except PowerCut:
        pass
    return count


def allowed(count):
    return STATES[max(count, 0) : max(count, 0) + 2] if count >= 0 else STATES[:1]


def go_on(store, disk):
    """Does what is left of the scenario and restarts: nothing is in the way of it."""
    at = STATES.index(state_of(store))
    for i, op in enumerate(OPERATIONS[at:]):
        op(store, store._rng)
        assert state_of(store) == STATES[at + i + 1]
    again = start(disk.after_power_loss(SURVIVALS["missing"]))
    assert state_of(again) == STATES[-1] and not again.damaged


def points():
    return range(1, WRITES[-1] + 1)


def test_a_loss_of_power_at_any_write_loses_nothing_that_was_acknowledged():
    for point, (name, survives) in itertools.product(points(), SURVIVALS.items()):
        disk = CrashDisk({point: CrashDisk.stop})
        count = play(disk)
        left = disk.after_power_loss(survives)
        store = start(left)
        assert not store.damaged, (point, name)
        assert state_of(store) in allowed(count), (point, name)
        go_on(store, left)


def test_power_lost_again_during_the_restart_changes_nothing():
    for point, (name, survives) in itertools.product(points(), SURVIVALS.items()):
        disk = CrashDisk({point: CrashDisk.stop})
        count = play(disk)
        for second in ("missing", "every other page", "first 19 bytes", "present"):
            left = disk.after_power_loss(survives, {1: CrashDisk.stop})
            with pytest.raises(PowerCut):
                start(left)
            last = left.after_power_loss(SURVIVALS[second])
            store = start(last)
            assert not store.damaged, (point, name, second)
            assert state_of(store) in allowed(count), (point, name, second)


def test_what_a_restarted_process_found_in_an_unsynced_write_outlasts_the_power():
    """Files stay as they were when a process dies: what it had not synced is read, and must not be told before."""
    for point in points():
        disk = CrashDisk({point: CrashDisk.stop})
        play(disk)
        left = disk.restarted()
        told = state_of(start(left))
        store = start(left.after_power_loss(SURVIVALS["missing"]))
        assert state_of(store) == told and not store.damaged, point


def test_a_refused_write_changes_nothing_and_the_core_goes_on_under_its_identity():
    for point, (name, refusal) in itertools.product(points(), REFUSALS.items()):
        disk, chance = CrashDisk({point: refusal}), Chance()
        store = start(disk, chance)
        for i, op in enumerate(OPERATIONS):
            try:
                op(store, chance)
            except DiskRefused:
                assert state_of(store) == STATES[i] and store.refuses, (point, name)
                op(store, chance)
            assert state_of(store) == STATES[i + 1] and not store.refuses, (point, name)
        again = start(disk.after_power_loss(SURVIVALS["missing"]))
        assert state_of(again) == STATES[-1] and not again.damaged, (point, name)


def test_power_lost_after_a_refused_write_finds_what_was_acknowledged():
    for point, (name, refusal), (how, survives) in itertools.product(
        points(), REFUSALS.items(), SURVIVALS.items()
    ):
        disk, chance = CrashDisk({point: refusal}), Chance()
        store = start(disk, chance)
        count = 0
        try:
            for op in OPERATIONS:
                op(store, chance)
                count += 1
        except DiskRefused:
            pass
        again = start(disk.after_power_loss(survives))
        assert not again.damaged, (point, name, how)
        assert state_of(again) in allowed(count), (point, name, how)


def test_once_the_disk_takes_writes_again_a_refused_one_is_gone_for_good():
    for point, (name, refusal) in itertools.product(points(), REFUSALS.items()):
        disk, chance = CrashDisk({point: refusal}), Chance()
        store = start(disk, chance)
        count = 0
        try:
            for op in OPERATIONS:
                op(store, chance)
                count += 1
        except DiskRefused:
            store.recover()
        assert not store.refuses
        for left in (disk.restarted(), disk.after_power_loss(SURVIVALS["present"])):
            again = start(left)
            assert state_of(again) == STATES[count] and not again.damaged, (point, name)
        go_on(store, disk)


def test_another_and_smaller_write_that_succeeds_after_a_refused_one_is_kept():
    """The refused one may have been the first of the next file; whatever is left of that must not win."""
    for point, (name, refusal) in itertools.product(points(), REFUSALS.items()):
        disk, chance = CrashDisk({point: refusal}), Chance()
        store = start(disk, chance)
        try:
            for op in OPERATIONS:
                op(store, chance)
        except DiskRefused:
            store.put_vote(num=77, who="a")
        told = state_of(store)
        for how, survives in SURVIVALS.items():
            again = start(disk.after_power_loss(survives))
            assert state_of(again) == told and not again.damaged, (point, name, how)
        assert state_of(start(disk.restarted())) == told, (point, name)


def test_a_disk_that_refuses_many_writes_in_a_row_is_tried_again_until_it_takes_them():
    for point in points():
        plan = {point + i: r for i, r in enumerate(REFUSALS.values())}
        disk, chance = CrashDisk(plan), Chance()
        store = start(disk, chance)
        for i, op in enumerate(OPERATIONS):
            for _ in range(len(plan) + 1):
                try:
                    op(store, chance)
                    break
                except DiskRefused:
                    assert state_of(store) == STATES[i]
            assert state_of(store) == STATES[i + 1], point
        again = start(disk.after_power_loss(SURVIVALS["missing"]))
        assert state_of(again) == STATES[-1] and not again.damaged, point


def test_a_core_that_cannot_write_at_its_start_takes_part_in_nothing_until_it_can():
    disk = CrashDisk({i: Refuse(0.0) for i in range(1, 4)})
    store = start(disk)
    assert store.refuses and disk.durable == {}
    with pytest.raises(DiskRefused):
        store.put_vote(num=1, who="a")
    assert store.vote["num"] == 0
    with pytest.raises(DiskRefused):
        store.recover()
    store.recover()
    assert not store.refuses
    assert start(disk.after_power_loss(SURVIVALS["missing"])).disk == store.disk


def test_the_issue_a_refused_write_then_space_again_four_records_and_a_restart():
    disk, chance = CrashDisk({4: Refuse(0.0)}), Chance()
    store = start(disk, chance)
    with pytest.raises((DiskRefused, OSError)):
        store.put_rec(1, 1, {"t": "x", "x": 1})
    for _ in range(4):
        record(1)(store, chance)
    again = start(disk.restarted(), Chance(9))
    assert (again.damaged, again.control_state.seq, again.disk) == (False, 4, store.disk)


def test_damage_is_copied_before_the_core_starts_anew_and_dropped_once_it_was_fed():
    disk, chance = CrashDisk(), Chance()
    store = start(disk, chance)
    for i in range(4):
        record(i)(store, chance)
    disk.seen["ring-0"][store._log._last_offset - 5] ^= 255
    for point in range(1, 20):
        left = disk.restarted({point: CrashDisk.stop})
        try:
            start(left, Chance(5))
        except PowerCut:
            pass
        left = left.restarted()
        again = start(left, Chance(5))
        assert again.disk == f"{5:016x}" and again.fresh
        kept = core_store.replayed(again._aside.documents(), Tiny)
        assert kept.seq == 2
        again.reset({"seq": 1, "sum": 1}, 1)
        again.put_done(1)
        assert again._aside.present
        again.reset({"seq": 3, "sum": 1}, 1)
        again.put_done(2)
        assert not again._aside.present
        assert not [n for n in left.seen if n.startswith("aside")]


def test_a_damaged_core_whose_disk_refuses_the_copies_empties_nothing():
    disk, chance = CrashDisk(), Chance()
    store = start(disk, chance)
    for i in range(3):
        record(i)(store, chance)
    disk.seen["ring-0"][store._log._last_offset - 5] ^= 255
    left = disk.restarted({i: Refuse(0.3) for i in range(1, 5)})
    was = bytes(left.seen["ring-0"])
    again = start(left, Chance(5))
    assert again.refuses and bytes(left.seen["ring-0"]) == was
    again = start(left.restarted(), Chance(6))
    assert again.damaged and not again.refuses and again._aside.present


class Trio:
    """Three cores' voters and stores; one that has lost its power answers nobody."""

    def __init__(self, disks):
        self.disks = disks
        self.dead = set()
        self.stores = {}
        for life, (n, disk) in enumerate(disks.items(), 1):
            self.stores[n] = self._on(n, lambda n=n, d=disk, life=life: self._start(n, d, life))

    @staticmethod
    def _start(name, disk, life):
        return CoreStore(disk, name, Chance(life), state=Tiny)

    def _on(self, name, fn):
        if name in self.dead:
            return None
        try:
            return fn()
        except PowerCut:
            self.dead.add(name)
            return None

    async def call(self, name, kind, body, us):
        if name in self.dead:
            raise NotSent(name)
        voter = Voter(self.stores[name])
        try:
            ask = voter.prepare if kind == "vote.prepare" else voter.accept
            return await ask(None, body)
        except PowerCut:
            self.dead.add(name)
            raise NotSent(name) from None

    @property
    def ids(self):
        return {n: s.disk for n, s in self.stores.items() if s}

    async def decide(self, who, number):
        def next_view(newest):
            if newest and newest.number >= number:
                return newest
            return View(number, tuple(sorted(self.stores)), self.ids)

        return await Proposer(self.stores[who], self.call).decide_view(self.ids, next_view)


async def live(trio, acked):
    """Founds a view, enters records down the chain and decides another view, as long as a core is there to do it."""
    if len(trio.ids) < 3:
        return
    for number in (1, 2, 3):
        for who in sorted(trio.stores):
            if who not in trio.dead:
                try:
                    view = await trio.decide(who, number)
                    acked["view"] = max(acked["view"], view.number)
                    break
                except (Fault, NoMajorityPromised):
                    return
        for seq in range(6 * number - 5, 6 * number + 1):
            held = 0
            for n in sorted(trio.stores):
                if n not in trio.dead and trio.stores[n].control_state.seq == seq - 1:
                    rec = {"t": "x", "x": seq, "pad": "p" * 90}
                    trio._on(n, lambda n=n, s=seq, r=rec: trio.stores[n].put_rec(s, number, r))
                    held += n not in trio.dead
            if held == 3:
                acked["seq"] = seq


@pytest.mark.parametrize("together", [True, False])
def test_all_three_cores_losing_power_at_one_point_form_a_majority_with_all_that_was_acknowledged(
    together,
):
    async def go(point, survivals):
        plans = [point] * 3 if together else [point, point + 3, point + 7]
        disks = {n: CrashDisk({p: CrashDisk.stop}) for n, p in zip("abc", plans, strict=True)}
        acked = {"view": 0, "seq": 0}
        trio = Trio(disks)
        await live(trio, acked)
        was = dict(trio.ids)
        left = {
            n: d.after_power_loss(SURVIVALS[s])
            for (n, d), s in zip(disks.items(), survivals, strict=True)
        }
        again = Trio(left)
        assert not any(s.damaged for s in again.stores.values()), (point, survivals)
        assert all(again.ids[n] == i for n, i in was.items()), (point, survivals)
        view = await again.decide("b", 1)
        assert view.number >= acked["view"], (point, survivals)
        assert min(s.control_state.seq for s in again.stores.values()) >= acked["seq"]
        return len(trio.dead)

    async def all_points():
        names = sorted(SURVIVALS)
        for point in itertools.count(1):
            for i, name in enumerate(names):
                mixed = (name, names[(i + 7) % len(names)], names[(i + 13) % len(names)])
                died = [await go(point, s) for s in ((name,) * 3, mixed)]
            if not any(died):
                return point

    assert asyncio.run(all_points()) > 40


def remembered_before_it_is_written(mp):
    real = CoreStore.put_vote

    def put_vote(self, done=None, **changes):
        self.vote = {**self.vote, **changes}
        real(self, done, **changes)

    mp.setattr(CoreStore, "put_vote", put_vote)


def numbered_before_it_is_written(mp):
    real = RecordLog.append

    def append(self, document, frame):
        was = self._number
        try:
            real(self, document, frame)
        except DiskRefused:
            self._number = was + 1
            raise

    mp.setattr(RecordLog, "append", append)


def what_a_start_has_read_is_not_written_anew(mp):
    def confirm(self, frame):
        self._unconfirmed = False

    mp.setattr(RecordLog, "confirm", confirm)


def an_unfinished_turn_is_forgotten(mp):
    off = property(lambda self: False, lambda self, value: None)
    mp.setattr(RecordLog, "_turning", off, raising=False)


def what_a_refused_write_left_stays(mp):
    none = property(lambda self: 0, lambda self, value: None)
    mp.setattr(RecordLog, "_leftover", none, raising=False)


def any_byte_behind_a_bad_record_is_damage(mp):
    mp.setattr(record_log, "holds_record", lambda raw, start, lap, number=0: any(raw[start:]))


def the_lead_goes_first(mp):
    real = RecordLog._write

    def write(self, name, offset, data):
        if self._turning and offset == record_format.LEAD_SIZE:
            real(self, name, 0, record_format.encode_lead(self._lap + 1))
        real(self, name, offset, data)

    mp.setattr(RecordLog, "_write", write)


def no_copies_of_damaged_files(mp):
    mp.setattr(CoreStore, "_set_aside", lambda self: None)


def copies_dropped_before_the_core_was_fed(mp):
    mp.setattr(core_store, "replayed", lambda documents, state: None)


GUARDS = [
    (
        remembered_before_it_is_written,
        test_a_refused_write_changes_nothing_and_the_core_goes_on_under_its_identity,
    ),
    (
        numbered_before_it_is_written,
        test_the_issue_a_refused_write_then_space_again_four_records_and_a_restart,
    ),
    (
        what_a_start_has_read_is_not_written_anew,
        test_what_a_restarted_process_found_in_an_unsynced_write_outlasts_the_power,
    ),
    (
        an_unfinished_turn_is_forgotten,
        test_another_and_smaller_write_that_succeeds_after_a_refused_one_is_kept,
    ),
    (
        what_a_refused_write_left_stays,
        test_once_the_disk_takes_writes_again_a_refused_one_is_gone_for_good,
    ),
    (
        any_byte_behind_a_bad_record_is_damage,
        test_a_loss_of_power_at_any_write_loses_nothing_that_was_acknowledged,
    ),
    (
        the_lead_goes_first,
        test_a_loss_of_power_at_any_write_loses_nothing_that_was_acknowledged,
    ),
    (
        no_copies_of_damaged_files,
        test_damage_is_copied_before_the_core_starts_anew_and_dropped_once_it_was_fed,
    ),
    (
        copies_dropped_before_the_core_was_fed,
        test_damage_is_copied_before_the_core_starts_anew_and_dropped_once_it_was_fed,
    ),
]


@pytest.mark.parametrize("guard,test", GUARDS)
def test_without_its_guard_a_point_is_found(guard, test):
    with pytest.MonkeyPatch.context() as mp:
        guard(mp)
        with pytest.raises((AssertionError, ValueError, AttributeError)):
            test()
