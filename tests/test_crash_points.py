"""Every write of a control node's store is refused or interrupted in every way that a disk allows.

After a restart nothing acknowledged is lost, nothing refused is applied, and the disk identity is
unchanged.
"""

import asyncio
import copy
import itertools
import json

import pytest
from crash_disk import REFUSALS, SURVIVALS, CrashDisk, PowerCut, Refuse

from petrelhaven.control.consensus.register import NoMajorityPromised, Proposer, Voter
from petrelhaven.control.consensus.view import View
from petrelhaven.control.storage import node_store, record_format, record_log
from petrelhaven.control.storage.node_store import ControlNodeStore
from petrelhaven.control.storage.record_log import RecordLog
from petrelhaven.runtime.errors import DiskRefused, Fault, NotSent


@pytest.fixture(autouse=True)
def small_files(monkeypatch):
    """Sets files so small that the operations switch files several times."""
    monkeypatch.setattr(node_store, "_log_file_bytes", lambda name: 1100)


class SumState:
    """A minimal control state: the sum of the records' values."""

    def __init__(self, doc=None):
        self.doc = doc or {"seq": 0, "sum": 0}
        self.seq = self.doc["seq"]

    def snapshot(self):
        return copy.deepcopy(self.doc)

    def apply(self, seq, record):
        assert seq == self.seq + 1
        self.seq = self.doc["seq"] = seq
        self.doc["sum"] += record["x"]


class FixedIdentity:
    """A random generator that returns a fixed disk identity."""

    def __init__(self, disk_number=1):
        self.disk_number = disk_number

    def getrandbits(self, count):
        return self.disk_number


def start(disk, identity=None):
    return ControlNodeStore(disk, "a", identity or FixedIdentity(), state=SumState)


def stored_text(store):
    return json.dumps(
        [
            store.disk_id,
            store.vote,
            store.complete_view,
            store.control_state.doc,
            store.entered_view,
        ],
        sort_keys=True,
    )


def record(number, pad=0):
    def operation(store, identity):
        store.append_record(
            store.control_state.seq + 1, 1, {"t": "x", "x": number, "pad": "p" * pad}
        )

    return operation


def vote(number):
    return lambda store, identity: store.save_vote(num=number, who="a")


def done(view):
    return lambda store, identity: store.save_complete_view(view)


def reset(seq, pad=0):
    return lambda store, identity: store.reset({"seq": seq, "sum": 1, "pad": "r" * pad}, 2)


def wipe(disk_number):
    def operation(store, identity):
        identity.disk_number = disk_number
        store.wipe()

    return operation


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
    """Returns the state after each number of operations, and the number of writes until then."""
    disk, identity = CrashDisk(), FixedIdentity()
    store = start(disk, identity)
    states, writes = [stored_text(store)], [disk.count]
    for operation in OPERATIONS:
        operation(store, identity)
        states.append(stored_text(store))
        writes.append(disk.count)
    return states, writes


STATES, WRITES = [], []


@pytest.fixture(autouse=True)
def reference(small_files):
    STATES[:], WRITES[:] = expected()


def run_operations(disk):
    """Runs the operations until the power loss.

    Returns how many were acknowledged, or -1 if the store didn't start.
    """
    identity = FixedIdentity()
    acknowledged_count = -1
    try:
        store = start(disk, identity)
        acknowledged_count = 0
        for operation in OPERATIONS:
            operation(store, identity)
            acknowledged_count += 1
    except PowerCut:
        pass
    return acknowledged_count


def allowed(acknowledged_count):
    return (
        STATES[max(acknowledged_count, 0) : max(acknowledged_count, 0) + 2]
        if acknowledged_count >= 0
        else STATES[:1]
    )


def finish_operations(store, disk):
    """Runs the remaining operations without faults and restarts."""
    done_count = STATES.index(stored_text(store))
    for index, operation in enumerate(OPERATIONS[done_count:]):
        operation(store, store._rng)
        assert stored_text(store) == STATES[done_count + index + 1]
    restarted = start(disk.after_power_loss(SURVIVALS["missing"]))
    assert stored_text(restarted) == STATES[-1] and not restarted.damaged


def write_numbers():
    return range(1, WRITES[-1] + 1)


def test_a_power_loss_at_any_write_loses_nothing_acknowledged():
    for write_number, (survival_name, survives) in itertools.product(
        write_numbers(), SURVIVALS.items()
    ):
        disk = CrashDisk({write_number: CrashDisk.stop})
        acknowledged_count = run_operations(disk)
        disk_after = disk.after_power_loss(survives)
        store = start(disk_after)
        assert not store.damaged, (write_number, survival_name)
        assert stored_text(store) in allowed(acknowledged_count), (write_number, survival_name)
        finish_operations(store, disk_after)


def test_a_second_power_loss_during_the_restart_changes_nothing():
    for write_number, (name, survives) in itertools.product(write_numbers(), SURVIVALS.items()):
        disk = CrashDisk({write_number: CrashDisk.stop})
        acknowledged_count = run_operations(disk)
        for second in ("missing", "every other page", "first 19 bytes", "present"):
            disk_after = disk.after_power_loss(survives, {1: CrashDisk.stop})
            with pytest.raises(PowerCut):
                start(disk_after)
            last = disk_after.after_power_loss(SURVIVALS[second])
            store = start(last)
            assert not store.damaged, (write_number, name, second)
            assert stored_text(store) in allowed(acknowledged_count), (write_number, name, second)


def test_an_unsynced_write_read_after_a_restart_survives_a_power_loss():
    """A restarted process reads writes that the ended one hadn't synced, so it must sync them first."""
    for write_number in write_numbers():
        disk = CrashDisk({write_number: CrashDisk.stop})
        run_operations(disk)
        disk_after = disk.restarted()
        text_before = stored_text(start(disk_after))
        store = start(disk_after.after_power_loss(SURVIVALS["missing"]))
        assert stored_text(store) == text_before and not store.damaged, write_number


def test_a_refused_write_changes_nothing_and_keeps_the_identity():
    for write_number, (name, refusal) in itertools.product(write_numbers(), REFUSALS.items()):
        disk, identity = CrashDisk({write_number: refusal}), FixedIdentity()
        store = start(disk, identity)
        for index, operation in enumerate(OPERATIONS):
            try:
                operation(store, identity)
            except DiskRefused:
                assert stored_text(store) == STATES[index] and store.refuses_writes, (
                    write_number,
                    name,
                )
                operation(store, identity)
            assert stored_text(store) == STATES[index + 1] and not store.refuses_writes, (
                write_number,
                name,
            )
        restarted = start(disk.after_power_loss(SURVIVALS["missing"]))
        assert stored_text(restarted) == STATES[-1] and not restarted.damaged, (write_number, name)


def test_a_power_loss_after_a_refused_write_loses_nothing_acknowledged():
    for write_number, (name, refusal), (survival_name, survives) in itertools.product(
        write_numbers(), REFUSALS.items(), SURVIVALS.items()
    ):
        disk, identity = CrashDisk({write_number: refusal}), FixedIdentity()
        store = start(disk, identity)
        acknowledged_count = 0
        try:
            for operation in OPERATIONS:
                operation(store, identity)
                acknowledged_count += 1
        except DiskRefused:
            pass
        restarted = start(disk.after_power_loss(survives))
        assert not restarted.damaged, (write_number, name, survival_name)
        assert stored_text(restarted) in allowed(acknowledged_count), (
            write_number,
            name,
            survival_name,
        )


def test_a_refused_write_does_not_reappear_after_recovery():
    for write_number, (name, refusal) in itertools.product(write_numbers(), REFUSALS.items()):
        disk, identity = CrashDisk({write_number: refusal}), FixedIdentity()
        store = start(disk, identity)
        acknowledged_count = 0
        try:
            for operation in OPERATIONS:
                operation(store, identity)
                acknowledged_count += 1
        except DiskRefused:
            store.recover()
        assert not store.refuses_writes
        for disk_after in (disk.restarted(), disk.after_power_loss(SURVIVALS["present"])):
            restarted = start(disk_after)
            assert stored_text(restarted) == STATES[acknowledged_count] and not restarted.damaged, (
                write_number,
                name,
            )
        finish_operations(store, disk)


def test_a_smaller_write_after_a_refused_one_is_kept():
    """The refused write may have been the first of the next file; its remains must not be loaded."""
    for write_number, (name, refusal) in itertools.product(write_numbers(), REFUSALS.items()):
        disk, identity = CrashDisk({write_number: refusal}), FixedIdentity()
        store = start(disk, identity)
        try:
            for operation in OPERATIONS:
                operation(store, identity)
        except DiskRefused:
            store.save_vote(num=77, who="a")
        text_before = stored_text(store)
        for survival_name, survives in SURVIVALS.items():
            restarted = start(disk.after_power_loss(survives))
            assert stored_text(restarted) == text_before and not restarted.damaged, (
                write_number,
                name,
                survival_name,
            )
        assert stored_text(start(disk.restarted())) == text_before, (write_number, name)


def test_writes_refused_several_times_succeed_on_retry():
    for write_number in write_numbers():
        plan = {write_number + index: refusal for index, refusal in enumerate(REFUSALS.values())}
        disk, identity = CrashDisk(plan), FixedIdentity()
        store = start(disk, identity)
        for index, operation in enumerate(OPERATIONS):
            for _ in range(len(plan) + 1):
                try:
                    operation(store, identity)
                    break
                except DiskRefused:
                    assert stored_text(store) == STATES[index]
            assert stored_text(store) == STATES[index + 1], write_number
        restarted = start(disk.after_power_loss(SURVIVALS["missing"]))
        assert stored_text(restarted) == STATES[-1] and not restarted.damaged, write_number


def test_a_node_that_cannot_write_at_start_refuses_until_it_can():
    disk = CrashDisk({i: Refuse(0.0) for i in range(1, 4)})
    store = start(disk)
    assert store.refuses_writes and disk.durable == {}
    with pytest.raises(DiskRefused):
        store.save_vote(num=1, who="a")
    assert store.vote["num"] == 0
    with pytest.raises(DiskRefused):
        store.recover()
    store.recover()
    assert not store.refuses_writes
    assert start(disk.after_power_loss(SURVIVALS["missing"])).disk_id == store.disk_id


def test_records_after_a_refused_write_survive_a_restart():
    disk, identity = CrashDisk({4: Refuse(0.0)}), FixedIdentity()
    store = start(disk, identity)
    with pytest.raises((DiskRefused, OSError)):
        store.append_record(1, 1, {"t": "x", "x": 1})
    for _ in range(4):
        record(1)(store, identity)
    restarted = start(disk.restarted(), FixedIdentity(9))
    assert (restarted.damaged, restarted.control_state.seq, restarted.disk_id) == (
        False,
        4,
        store.disk_id,
    )


def test_damaged_files_are_copied_before_an_empty_start_and_removed_after_catching_up():
    disk, identity = CrashDisk(), FixedIdentity()
    store = start(disk, identity)
    for index in range(4):
        record(index)(store, identity)
    disk.seen["ring-0"][store._log._last_offset - 5] ^= 255
    for write_number in range(1, 20):
        disk_after = disk.restarted({write_number: CrashDisk.stop})
        try:
            start(disk_after, FixedIdentity(5))
        except PowerCut:
            pass
        disk_after = disk_after.restarted()
        restarted = start(disk_after, FixedIdentity(5))
        assert restarted.disk_id == f"{5:016x}" and restarted.fresh
        copied_state = node_store.replay(restarted._damaged_copies.documents(), SumState)
        assert copied_state.seq == 2
        restarted.reset({"seq": 1, "sum": 1}, 1)
        restarted.save_complete_view(1)
        assert restarted._damaged_copies.present
        restarted.reset({"seq": 3, "sum": 1}, 1)
        restarted.save_complete_view(2)
        assert not restarted._damaged_copies.present
        assert not [name for name in disk_after.seen if name.startswith("aside")]


def test_damaged_files_are_kept_while_the_disk_refuses_their_copies():
    disk, identity = CrashDisk(), FixedIdentity()
    store = start(disk, identity)
    for index in range(3):
        record(index)(store, identity)
    disk.seen["ring-0"][store._log._last_offset - 5] ^= 255
    disk_after = disk.restarted({index: Refuse(0.3) for index in range(1, 5)})
    content_before = bytes(disk_after.seen["ring-0"])
    restarted = start(disk_after, FixedIdentity(5))
    assert restarted.refuses_writes and bytes(disk_after.seen["ring-0"]) == content_before
    restarted = start(disk_after.restarted(), FixedIdentity(6))
    assert restarted.damaged and not restarted.refuses_writes and restarted._damaged_copies.present


class ThreeNodes:
    """The voters and stores of three control nodes; a node without power doesn't answer."""

    def __init__(self, disks):
        self.disks = disks
        self.dead = set()
        self.stores = {}
        for disk_number, (name, disk) in enumerate(disks.items(), 1):
            self.stores[name] = self._on(
                name,
                lambda name=name, disk=disk, disk_number=disk_number: self._start(
                    name, disk, disk_number
                ),
            )

    @staticmethod
    def _start(name, disk, disk_number):
        return ControlNodeStore(disk, name, FixedIdentity(disk_number), state=SumState)

    def _on(self, name, action):
        if name in self.dead:
            return None
        try:
            return action()
        except PowerCut:
            self.dead.add(name)
            return None

    async def call(self, name, kind, body, timeout_us):
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
        return {name: store.disk_id for name, store in self.stores.items() if store}

    async def decide_view(self, proposer, number):
        def next_view(newest):
            if newest and newest.number >= number:
                return newest
            return View(number, tuple(sorted(self.stores)), self.ids)

        return await Proposer(self.stores[proposer], self.call).decide_view(self.ids, next_view)


async def run_three_nodes(nodes, acknowledged):
    """Decides views and stores records on the nodes in turn, while a node has power."""
    if len(nodes.ids) < 3:
        return
    for number in (1, 2, 3):
        for proposer in sorted(nodes.stores):
            if proposer not in nodes.dead:
                try:
                    view = await nodes.decide_view(proposer, number)
                    acknowledged["view"] = max(acknowledged["view"], view.number)
                    break
                except (Fault, NoMajorityPromised):
                    return
        for seq in range(6 * number - 5, 6 * number + 1):
            stored = 0
            for name in sorted(nodes.stores):
                if name not in nodes.dead and nodes.stores[name].control_state.seq == seq - 1:
                    record_document = {"t": "x", "x": seq, "pad": "p" * 90}
                    nodes._on(
                        name,
                        lambda name=name, s=seq, r=record_document: nodes.stores[
                            name
                        ].append_record(s, number, r),
                    )
                    stored += name not in nodes.dead
            if stored == 3:
                acknowledged["seq"] = seq


@pytest.mark.parametrize("together", [True, False])
def test_three_nodes_keep_acknowledged_records_after_losing_power_together(
    together,
):
    async def lose_power_at(write_number, survival_names):
        plans = (
            [write_number] * 3 if together else [write_number, write_number + 3, write_number + 7]
        )
        disks = {
            name: CrashDisk({write_number: CrashDisk.stop})
            for name, write_number in zip("abc", plans, strict=True)
        }
        acknowledged = {"view": 0, "seq": 0}
        nodes = ThreeNodes(disks)
        await run_three_nodes(nodes, acknowledged)
        ids_before = dict(nodes.ids)
        disks_after = {
            name: disk.after_power_loss(SURVIVALS[survival])
            for (name, disk), survival in zip(disks.items(), survival_names, strict=True)
        }
        restarted = ThreeNodes(disks_after)
        assert not any(store.damaged for store in restarted.stores.values()), (
            write_number,
            survival_names,
        )
        assert all(restarted.ids[name] == index for name, index in ids_before.items()), (
            write_number,
            survival_names,
        )
        view = await restarted.decide_view("b", 1)
        assert view.number >= acknowledged["view"], (write_number, survival_names)
        assert (
            min(store.control_state.seq for store in restarted.stores.values())
            >= acknowledged["seq"]
        )
        return len(nodes.dead)

    async def all_points():
        names = sorted(SURVIVALS)
        for write_number in itertools.count(1):
            for index, name in enumerate(names):
                mixed = (name, names[(index + 7) % len(names)], names[(index + 13) % len(names)])
                stopped_counts = [
                    await lose_power_at(write_number, survival) for survival in ((name,) * 3, mixed)
                ]
            if not any(stopped_counts):
                return write_number

    assert asyncio.run(all_points()) > 40


def vote_applied_before_it_is_written(monkeypatch):
    original = ControlNodeStore.save_vote

    def save_vote(self, done=None, **changes):
        self.vote = {**self.vote, **changes}
        original(self, done, **changes)

    monkeypatch.setattr(ControlNodeStore, "save_vote", save_vote)


def number_used_up_by_a_refused_write(monkeypatch):
    original = RecordLog.append

    def append(self, document, snapshot):
        number_before = self._number
        try:
            original(self, document, snapshot)
        except DiskRefused:
            self._number = number_before + 1
            raise

    monkeypatch.setattr(RecordLog, "append", append)


def loaded_records_not_synced_again(monkeypatch):
    def ensure_synced(self, snapshot):
        self._may_be_unsynced = False

    monkeypatch.setattr(RecordLog, "ensure_synced", ensure_synced)


def interrupted_switch_not_completed(monkeypatch):
    always_false = property(lambda self: False, lambda self, value: None)
    monkeypatch.setattr(RecordLog, "_switching", always_false, raising=False)


def leftover_of_a_refused_write_not_cleared(monkeypatch):
    always_zero = property(lambda self: 0, lambda self, value: None)
    monkeypatch.setattr(RecordLog, "_leftover_bytes", always_zero, raising=False)


def trailing_bytes_treated_as_damage(monkeypatch):
    monkeypatch.setattr(
        record_log, "contains_record", lambda raw, start, generation, number=0: any(raw[start:])
    )


def file_header_written_first(monkeypatch):
    original = RecordLog._write

    def write(self, name, offset, data):
        if self._switching and offset == record_format.FILE_HEADER_BYTES:
            original(self, name, 0, record_format.encode_file_header(self._generation + 1))
        original(self, name, offset, data)

    monkeypatch.setattr(RecordLog, "_write", write)


def no_copies_of_damaged_files(monkeypatch):
    monkeypatch.setattr(ControlNodeStore, "_copy_damaged_files", lambda self: None)


def copies_removed_before_catching_up(monkeypatch):
    monkeypatch.setattr(node_store, "replay", lambda documents, state: None)


MUTANTS = [
    (
        vote_applied_before_it_is_written,
        test_a_refused_write_changes_nothing_and_keeps_the_identity,
    ),
    (
        number_used_up_by_a_refused_write,
        test_records_after_a_refused_write_survive_a_restart,
    ),
    (
        loaded_records_not_synced_again,
        test_an_unsynced_write_read_after_a_restart_survives_a_power_loss,
    ),
    (
        interrupted_switch_not_completed,
        test_a_smaller_write_after_a_refused_one_is_kept,
    ),
    (
        leftover_of_a_refused_write_not_cleared,
        test_a_refused_write_does_not_reappear_after_recovery,
    ),
    (
        trailing_bytes_treated_as_damage,
        test_a_power_loss_at_any_write_loses_nothing_acknowledged,
    ),
    (
        file_header_written_first,
        test_a_power_loss_at_any_write_loses_nothing_acknowledged,
    ),
    (
        no_copies_of_damaged_files,
        test_damaged_files_are_copied_before_an_empty_start_and_removed_after_catching_up,
    ),
    (
        copies_removed_before_catching_up,
        test_damaged_files_are_copied_before_an_empty_start_and_removed_after_catching_up,
    ),
]


@pytest.mark.parametrize("mutant,test_function", MUTANTS)
def test_each_mutant_is_detected(mutant, test_function):
    with pytest.MonkeyPatch.context() as monkeypatch:
        mutant(monkeypatch)
        with pytest.raises((AssertionError, ValueError, AttributeError)):
            test_function()
