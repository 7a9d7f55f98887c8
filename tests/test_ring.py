"""The ring on disk: torn tails are dropped, damage is raised, nothing bad is read as good."""

import random
from types import SimpleNamespace

import pytest

from petrelhaven.control.storage import ring
from petrelhaven.control.storage.disk import Folder
from petrelhaven.control.storage.memory import Memory
from petrelhaven.control.storage.ring import Ring
from petrelhaven.runtime.errors import Damaged, Misplaced
from petrelhaven.simulator.world import manifest


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


def filled(count, size=2048):
    d = Bytes()
    r = Ring(d, size=size)
    docs = []
    for i in range(count):
        docs.append({"i": i})
        r.append({"i": i}, lambda: {"frame": i})
    return d, r


@pytest.mark.parametrize("count", [1, 5, 40, 400])
def test_what_was_appended_is_read_back_over_many_laps(count):
    d, _ = filled(count)
    got = Ring(d, size=2048).load()
    assert got[0] == {"frame": got[0]["frame"]}
    assert [x["i"] for x in got[1:]] == list(range(got[0]["frame"] + 1, count))
    assert len(d.files) <= 4


def test_a_torn_tail_is_dropped_and_what_came_before_is_kept():
    for cut in range(1, 60):
        d, r = filled(8)
        off = r._off
        r.append({"i": "torn", "pad": "x" * 30}, dict)
        raw = d.files["ring-0"]
        raw[off + cut :] = bytes(len(raw) - off - cut)
        s = Ring(d, size=2048)
        assert [x["i"] for x in s.load()[1:]] == list(range(1, 8))


def test_any_flipped_byte_is_detected_or_harmless():
    rng = random.Random(1)
    d, r = filled(30)
    good = Ring(d, size=2048).load()
    last = r._off
    for _ in range(300):
        files = {k: bytearray(v) for k, v in d.files.items()}
        files["ring-0"][rng.randrange(last)] ^= 1 << rng.randrange(8)
        try:
            got = Ring(Bytes(files), size=2048).load()
        except Damaged:
            continue
        pytest.fail(f"damage read as good: {len(got)} of {len(good)}")


def test_without_checksums_damage_is_read_as_good(monkeypatch):
    monkeypatch.setattr(ring, "zlib", SimpleNamespace(crc32=lambda b: 0))
    rng = random.Random(1)
    d, r = filled(30)
    good = Ring(d, size=2048).load()
    taken = 0
    for _ in range(300):
        files = {k: bytearray(v) for k, v in d.files.items()}
        files["ring-0"][rng.randrange(r._off)] ^= 1 << rng.randrange(8)
        try:
            taken += Ring(Bytes(files), size=2048).load() != good
        except (Damaged, ValueError):
            pass
    assert taken


def test_a_core_with_a_damaged_disk_rejoins_as_empty_under_another_identity(tmp_path):
    rng = random.Random(1)
    f = Folder(str(tmp_path))
    m = Memory(f, "c1", rng)
    m.put_vote(num=3, who="c1")
    m.put_rec(1, 1, {"t": "manifest", "text": manifest("small")})
    f.close()
    again = Memory(Folder(str(tmp_path)), "c1", rng)
    assert (again.disk, again.realm.seq, again.vote["num"], again.damaged) == (m.disk, 1, 3, False)
    raw = bytearray((tmp_path / "ring-0").read_bytes())
    raw[60] ^= 255
    (tmp_path / "ring-0").write_bytes(raw)
    bad = Memory(Folder(str(tmp_path)), "c1", rng)
    assert bad.damaged and bad.fresh and bad.disk != m.disk


def test_another_nodes_data_folder_is_declined(tmp_path):
    Memory(Folder(str(tmp_path)), "c1", random.Random(1))
    with pytest.raises(Misplaced):
        Memory(Folder(str(tmp_path)), "c2", random.Random(1))
