"""The record log on disk: torn tails are dropped, and damage raises instead of being read as intact."""

import errno
import json
import os
import random
from types import SimpleNamespace

import pytest

from petrelhaven.control.storage import node_store, record_format
from petrelhaven.control.storage.data_folder import salvage
from petrelhaven.control.storage.disk import FolderDisk
from petrelhaven.control.storage.node_store import ControlNodeStore
from petrelhaven.control.storage.record_log import RecordLog
from petrelhaven.runtime.errors import Damaged, WrongNode
from petrelhaven.simulator.resumable.world import configuration


class MemoryDisk:
    """A disk in memory."""

    def __init__(self, files=None):
        self.files = files or {}

    def read(self, name):
        return bytes(self.files.get(name, b""))

    def write(self, name, offset, data):
        content = self.files.setdefault(name, bytearray())
        content.extend(bytes(max(0, offset + len(data) - len(content))))
        content[offset : offset + len(data)] = data

    def remove(self, name):
        self.files.pop(name, None)


def filled(count, size=2048):
    disk = MemoryDisk()
    log = RecordLog(disk, size=size)
    documents = []
    for index in range(count):
        documents.append({"i": index})
        log.append({"i": index}, lambda: {"frame": index - 1})
    return disk, log


@pytest.mark.parametrize("count", [1, 5, 40, 400])
def test_appended_records_are_read_back_across_files(count):
    disk, _ = filled(count)
    loaded = RecordLog(disk, size=2048).load()
    assert loaded[0] == {"frame": loaded[0]["frame"]}
    assert [document["i"] for document in loaded[1:]] == list(range(loaded[0]["frame"] + 1, count))
    assert len(disk.files) <= 4


def test_a_torn_tail_is_dropped_and_earlier_records_are_kept():
    for cut in range(1, 60):
        disk, log = filled(8)
        offset = log._offset
        log.append({"i": "torn", "pad": "x" * 30}, dict)
        raw = disk.files["ring-0"]
        raw[offset + cut :] = bytes(len(raw) - offset - cut)
        reopened = RecordLog(disk, size=2048)
        assert [document["i"] for document in reopened.load()[1:]] == list(range(8))


def test_any_flipped_byte_is_detected_or_harmless():
    rng = random.Random(1)
    disk, log = filled(30)
    intact = RecordLog(disk, size=2048).load()
    last_offset = log._last_offset
    for position in [rng.randrange(last_offset) for _ in range(300)] + list(
        range(last_offset, log._offset)
    ):
        files = {k: bytearray(v) for k, v in disk.files.items()}
        files["ring-0"][position] ^= 1 << rng.randrange(8)
        try:
            loaded = RecordLog(MemoryDisk(files), size=2048).load()
        except Damaged:
            continue
        assert position >= last_offset and loaded == intact[:-1], (
            f"damage at {position} not detected"
        )


def test_without_checksums_damage_is_not_detected(monkeypatch):
    monkeypatch.setattr(record_format, "zlib", SimpleNamespace(crc32=lambda body: 0))
    rng = random.Random(1)
    disk, log = filled(30)
    intact = RecordLog(disk, size=2048).load()
    undetected = 0
    for _ in range(300):
        files = {k: bytearray(v) for k, v in disk.files.items()}
        files["ring-0"][rng.randrange(log._offset)] ^= 1 << rng.randrange(8)
        try:
            undetected += RecordLog(MemoryDisk(files), size=2048).load() != intact
        except (Damaged, ValueError):
            pass
    assert undetected


def test_a_node_with_a_damaged_disk_starts_empty_with_a_new_identity(tmp_path):
    rng = random.Random(1)
    folder = FolderDisk(str(tmp_path))
    store = ControlNodeStore(folder, "c1", rng)
    store.save_vote(num=3, who="c1")
    store.append_record(1, 1, {"t": "manifest", "text": configuration("small")})
    folder.close()
    reopened = ControlNodeStore(FolderDisk(str(tmp_path)), "c1", rng)
    assert (
        reopened.disk_id,
        reopened.control_state.seq,
        reopened.vote["num"],
        reopened.damaged,
    ) == (
        store.disk_id,
        1,
        3,
        False,
    )
    raw = bytearray((tmp_path / "ring-0").read_bytes())
    raw[60] ^= 255
    (tmp_path / "ring-0").write_bytes(raw)
    damaged_store = ControlNodeStore(FolderDisk(str(tmp_path)), "c1", rng)
    assert damaged_store.damaged and damaged_store.fresh and damaged_store.disk_id != store.disk_id


def test_another_nodes_data_folder_is_declined(tmp_path):
    ControlNodeStore(FolderDisk(str(tmp_path)), "c1", random.Random(1))
    with pytest.raises(WrongNode):
        ControlNodeStore(FolderDisk(str(tmp_path)), "c2", random.Random(1))


def test_a_short_write_is_continued_and_a_refused_one_raises(tmp_path, monkeypatch):
    folder = FolderDisk(str(tmp_path / "a" / "b"))
    real_pwrite = os.pwrite
    monkeypatch.setattr(
        os,
        "pwrite",
        lambda descriptor, data, offset: real_pwrite(descriptor, bytes(data[:3]), offset),
    )
    folder.write("x", 0, b"0123456789")
    assert folder.read("x") == b"0123456789"
    monkeypatch.setattr(os, "pwrite", lambda descriptor, data, offset: 0)
    with pytest.raises(OSError, match="No space"):
        folder.write("x", 0, b"01")


def test_a_new_file_is_written_only_after_its_folder_is_synced(tmp_path, monkeypatch):
    folder = FolderDisk(str(tmp_path / "a"))
    synced = []
    real_fsync = os.fsync

    def refuse_sync(descriptor):
        raise OSError(errno.EIO, "input/output error")

    monkeypatch.setattr(os, "fsync", refuse_sync)
    with pytest.raises(OSError):
        folder.write("x", 0, b"01")
    monkeypatch.setattr(
        os, "fsync", lambda descriptor: (synced.append(descriptor), real_fsync(descriptor))[1]
    )
    folder.write("x", 0, b"01")
    folder.write("x", 2, b"23")
    assert len(synced) == 1 and folder.read("x") == b"0123"


def test_the_parent_of_every_new_folder_is_synced(tmp_path, monkeypatch):
    synced = []
    real_fsync = os.fsync
    monkeypatch.setattr(
        os,
        "fsync",
        lambda descriptor: (
            synced.append(os.readlink(f"/proc/self/fd/{descriptor}")),
            real_fsync(descriptor),
        )[1],
    )
    FolderDisk(str(tmp_path / "a" / "b"))
    assert synced == [str(tmp_path), str(tmp_path / "a")]


def test_a_data_folder_of_an_older_version_loads(tmp_path):
    """Reads a snapshot of a version whose votes had no `ids`."""
    snapshot = {
        "t": "frame",
        "disk": "0123456789abcdef",
        "name": "c1",
        "vote": {"num": 3, "who": "c1", "anum": 0, "awho": "", "value": None},
        "done": 0,
        "realm": node_store._default_state().snapshot(),
        "mark": 0,
    }
    vote = {**snapshot["vote"], "num": 4, "ids": None}
    records = b"".join(
        record_format.encode_record(1, number, json.dumps(document).encode())
        for number, document in enumerate(
            [snapshot, {"t": "vote", "vote": vote}, {"t": "done", "n": 2}], 1
        )
    )
    raw = record_format.encode_file_header(1) + records
    (tmp_path / "ring-0").write_bytes(raw.ljust(1 << 20, b"\0"))
    store = ControlNodeStore(FolderDisk(str(tmp_path)), "c1", random.Random(1))
    assert (store.disk_id, store.vote["num"], store.complete_view) == ("0123456789abcdef", 4, 2)


def test_a_damaged_folder_is_salvaged_before_and_after_the_node_starts_empty(
    tmp_path,
):
    folder = FolderDisk(str(tmp_path))
    store = ControlNodeStore(folder, "c1", random.Random(1))
    store.append_record(1, 1, {"t": "manifest", "text": configuration("small")})
    store.save_vote(num=3, who="c1")
    store.save_vote(num=4, who="c1")
    folder.close()
    raw = bytearray((tmp_path / "ring-0").read_bytes())
    raw[store._log._last_offset - 5] ^= 255
    (tmp_path / "ring-0").write_bytes(raw)
    assert salvage(str(tmp_path)).control_state.seq == 1
    restarted = ControlNodeStore(FolderDisk(str(tmp_path)), "c1", random.Random(2))
    assert restarted.damaged and restarted.fresh
    salvaged = salvage(str(tmp_path))
    assert (salvaged.name, salvaged.control_state.seq) == ("c1", 1)
