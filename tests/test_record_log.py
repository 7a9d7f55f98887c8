"""The log on disk: torn tails are dropped, damage is raised, nothing bad is read as good."""

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


class Bytes:
    """A disk in memory."""

    def __init__(self, files=None):
        self.files = files or {}

    def read(self, name):
        return bytes(self.files.get(name, b""))

    def write(self, name, off, data):
        f = self.files.setdefault(name, bytearray())
        f.extend(bytes(max(0, off + len(data) - len(f))))
        f[off : off + len(data)] = data

    def remove(self, name):
        self.files.pop(name, None)


def filled(count, size=2048):
    d = Bytes()
    r = RecordLog(d, size=size)
    docs = []
    for i in range(count):
        docs.append({"i": i})
        r.append({"i": i}, lambda: {"frame": i - 1})
    return d, r


@pytest.mark.parametrize("count", [1, 5, 40, 400])
def test_what_was_appended_is_read_back_over_many_laps(count):
    d, _ = filled(count)
    got = RecordLog(d, size=2048).load()
    assert got[0] == {"frame": got[0]["frame"]}
    assert [x["i"] for x in got[1:]] == list(range(got[0]["frame"] + 1, count))
    assert len(d.files) <= 4


def test_a_torn_tail_is_dropped_and_what_came_before_is_kept():
    for cut in range(1, 60):
        d, r = filled(8)
        off = r._offset
        r.append({"i": "torn", "pad": "x" * 30}, dict)
        raw = d.files["ring-0"]
        raw[off + cut :] = bytes(len(raw) - off - cut)
        s = RecordLog(d, size=2048)
        assert [x["i"] for x in s.load()[1:]] == list(range(8))


def test_any_flipped_byte_is_detected_or_harmless():
    rng = random.Random(1)
    d, r = filled(30)
    good = RecordLog(d, size=2048).load()
    last = r._last_offset
    for at in [rng.randrange(last) for _ in range(300)] + list(range(last, r._offset)):
        files = {k: bytearray(v) for k, v in d.files.items()}
        files["ring-0"][at] ^= 1 << rng.randrange(8)
        try:
            got = RecordLog(Bytes(files), size=2048).load()
        except Damaged:
            continue
        assert at >= last and got == good[:-1], f"damage at {at} read as good"


def test_without_checksums_damage_is_read_as_good(monkeypatch):
    monkeypatch.setattr(record_format, "zlib", SimpleNamespace(crc32=lambda b: 0))
    rng = random.Random(1)
    d, r = filled(30)
    good = RecordLog(d, size=2048).load()
    taken = 0
    for _ in range(300):
        files = {k: bytearray(v) for k, v in d.files.items()}
        files["ring-0"][rng.randrange(r._offset)] ^= 1 << rng.randrange(8)
        try:
            taken += RecordLog(Bytes(files), size=2048).load() != good
        except (Damaged, ValueError):
            pass
    assert taken


def test_a_core_with_a_damaged_disk_rejoins_as_empty_under_another_identity(tmp_path):
    rng = random.Random(1)
    f = FolderDisk(str(tmp_path))
    m = ControlNodeStore(f, "c1", rng)
    m.save_vote(num=3, who="c1")
    m.append_record(1, 1, {"t": "manifest", "text": configuration("small")})
    f.close()
    again = ControlNodeStore(FolderDisk(str(tmp_path)), "c1", rng)
    assert (again.disk_id, again.control_state.seq, again.vote["num"], again.damaged) == (
        m.disk_id,
        1,
        3,
        False,
    )
    raw = bytearray((tmp_path / "ring-0").read_bytes())
    raw[60] ^= 255
    (tmp_path / "ring-0").write_bytes(raw)
    bad = ControlNodeStore(FolderDisk(str(tmp_path)), "c1", rng)
    assert bad.damaged and bad.fresh and bad.disk_id != m.disk_id


def test_another_nodes_data_folder_is_declined(tmp_path):
    ControlNodeStore(FolderDisk(str(tmp_path)), "c1", random.Random(1))
    with pytest.raises(WrongNode):
        ControlNodeStore(FolderDisk(str(tmp_path)), "c2", random.Random(1))


def test_a_short_write_goes_on_and_a_refused_one_is_raised(tmp_path, monkeypatch):
    folder = FolderDisk(str(tmp_path / "a" / "b"))
    real = os.pwrite
    monkeypatch.setattr(os, "pwrite", lambda fd, data, off: real(fd, bytes(data[:3]), off))
    folder.write("x", 0, b"0123456789")
    assert folder.read("x") == b"0123456789"
    monkeypatch.setattr(os, "pwrite", lambda fd, data, off: 0)
    with pytest.raises(OSError, match="No space"):
        folder.write("x", 0, b"01")


def test_a_new_file_counts_only_once_its_folder_was_synced(tmp_path, monkeypatch):
    folder = FolderDisk(str(tmp_path / "a"))
    synced = []
    real = os.fsync

    def refuse(fd):
        raise OSError(errno.EIO, "input/output error")

    monkeypatch.setattr(os, "fsync", refuse)
    with pytest.raises(OSError):
        folder.write("x", 0, b"01")
    monkeypatch.setattr(os, "fsync", lambda fd: (synced.append(fd), real(fd))[1])
    folder.write("x", 0, b"01")
    folder.write("x", 2, b"23")
    assert len(synced) == 1 and folder.read("x") == b"0123"


def test_every_new_folder_is_synced_into_the_one_above_it(tmp_path, monkeypatch):
    synced = []
    real = os.fsync
    monkeypatch.setattr(
        os, "fsync", lambda fd: (synced.append(os.readlink(f"/proc/self/fd/{fd}")), real(fd))[1]
    )
    FolderDisk(str(tmp_path / "a" / "b"))
    assert synced == [str(tmp_path), str(tmp_path / "a")]


def test_a_folder_of_the_log_before_this_one_loads(tmp_path):
    """Records as they were written when the first document of a file was the `id`, inside its frame."""
    frame = {
        "t": "frame",
        "disk": "0123456789abcdef",
        "name": "c1",
        "vote": {"num": 3, "who": "c1", "anum": 0, "awho": "", "value": None},
        "done": 0,
        "realm": node_store._default_state().snapshot(),
        "mark": 0,
    }
    vote = {**frame["vote"], "num": 4, "ids": None}
    records = b"".join(
        record_format.encode_record(1, n, json.dumps(doc).encode())
        for n, doc in enumerate([frame, {"t": "vote", "vote": vote}, {"t": "done", "n": 2}], 1)
    )
    raw = record_format.encode_file_header(1) + records
    (tmp_path / "ring-0").write_bytes(raw.ljust(1 << 20, b"\0"))
    store = ControlNodeStore(FolderDisk(str(tmp_path)), "c1", random.Random(1))
    assert (store.disk_id, store.vote["num"], store.complete_view) == ("0123456789abcdef", 4, 2)


def test_what_can_be_read_of_a_damaged_folder_is_salvaged_before_and_after_the_core_started_anew(
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
    again = ControlNodeStore(FolderDisk(str(tmp_path)), "c1", random.Random(2))
    assert again.damaged and again.fresh
    found = salvage(str(tmp_path))
    assert (found.name, found.control_state.seq) == ("c1", 1)
