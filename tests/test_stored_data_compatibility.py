"""Data folders and control states written by commit 3ca81ad are read and written identically."""

import hashlib
import json
import random
import struct
import tarfile
from pathlib import Path

import pytest

from petrelhaven.control.embargo.requests import parse_change_request
from petrelhaven.control.resumable.control_state import ResumableControlState
from petrelhaven.control.state.control_state import ControlState
from petrelhaven.control.storage.data_folder import DataFolder, salvage
from petrelhaven.control.storage.disk import FolderDisk
from petrelhaven.control.storage.node_store import ControlNodeStore
from petrelhaven.runtime.errors import Fault

CONTROL_STATES = {"ledger": ControlState, "realm": ResumableControlState}
FIXTURES = Path(__file__).parent / "fixtures"
FOLDERS = FIXTURES / "data_folder_2026_12"
FOLDER_NAMES = sorted(path.stem for path in FOLDERS.glob("*.json"))
STEPS = FIXTURES / "control_state_steps_2026_12.json"

_FILE_HEADER_BYTES = 20
_RECORD_HEADER = struct.Struct(">IIQQI")
_FILE_HEADER = struct.Struct(">8sQI")


def plain(value):
    """Returns a value after a round trip through JSON."""
    return json.loads(json.dumps(value))


def digest(raw):
    """Returns the SHA-256 digest of some bytes."""
    return hashlib.sha256(raw).hexdigest()


class Writer:
    """Executes a script of changes on a data folder."""

    def __init__(self, path, state, name, seed):
        self._path, self._state, self._name = path, state, name
        self._rng = random.Random(seed)
        self.store = self._opened()

    def _opened(self):
        self._disk = FolderDisk(str(self._path))
        return ControlNodeStore(self._disk, self._name, self._rng, state=self._state)

    def run(self, script):
        """Executes all changes in order."""
        for change, *arguments in script:
            getattr(self, "_" + change)(*arguments)

    def close(self):
        """Closes the files."""
        self._disk.close()

    def _vote(self, changes, done):
        self.store.save_vote(done, **changes)

    def _done(self, view):
        self.store.save_complete_view(view)

    def _record(self, view, record):
        self.store.append_record(
            self.store.control_state.seq + 1, view, json.loads(json.dumps(record))
        )

    def _padded(self, view, record, length):
        """Adds a record with an operator's name of `length` letters, to fill a file."""
        self._record(view, {**record, "by": "p" * length})

    def _reset(self, document, mark):
        self.store.reset(json.loads(json.dumps(document)), mark)

    def _wipe(self):
        self.store.wipe()

    def _reopen(self):
        self.close()
        self.store = self._opened()

    def _damage(self, file_name, offset):
        """Inverts one byte of a file while the node is stopped."""
        self.close()
        path = self._path / file_name
        raw = bytearray(path.read_bytes())
        raw[offset] ^= 0xFF
        path.write_bytes(raw)
        self.store = self._opened()


def store_values(store):
    """Returns the complete state of a store as plain values."""
    return plain(
        {
            "name": store.name,
            "disk": store.disk_id,
            "vote": store.vote,
            "done": store.complete_view,
            "mark": store.entered_view,
            "seq": store.control_state.seq,
            "document": store.control_state.doc,
            "belief": store.control_state.reported_state(),
            "damaged": store.damaged,
            "refuses": store.refuses_writes,
            "kept_records": len(store.recent_records),
            "kept_records_digest": digest(json.dumps(store.recent_records).encode()),
        }
    )


def reader_values(path):
    """Returns what the read-only reader finds in a folder."""
    folder = DataFolder(str(path))
    salvaged = salvage(str(path))
    is_same = salvaged.control_state.doc == folder.control_state.doc
    return plain(
        {
            "name": folder.name,
            "disk": folder.disk_id,
            "seq": folder.control_state.seq,
            "document": folder.control_state.doc,
            "kind": type_name(folder.control_state),
            "salvage_name": salvaged.name,
            "salvage_seq": salvaged.control_state.seq,
            "salvage_document": "the same" if is_same else salvaged.control_state.doc,
            "salvage_kind": type_name(salvaged.control_state),
        }
    )


def type_name(state):
    """Returns the name of a kind of control state in the fixtures."""
    return next(name for name, kind in CONTROL_STATES.items() if type(state) is kind)


def file_values(path):
    """Returns size and digest of every file of a folder."""
    return {
        file.name: {"size": file.stat().st_size, "digest": digest(file.read_bytes())}
        for file in sorted(path.iterdir())
    }


def newest_entries(path):
    """Returns the JSON texts in the newest log file, read independently of the product's code."""
    files = [file.read_bytes() for file in sorted(path.glob("ring-*"))]
    raw = max(files, key=lambda file: _FILE_HEADER.unpack(file[:_FILE_HEADER_BYTES])[1])
    generation = _FILE_HEADER.unpack(raw[:_FILE_HEADER_BYTES])[1]
    texts, offset = [], _FILE_HEADER_BYTES
    while True:
        length, _, record_generation, _, _ = _RECORD_HEADER.unpack_from(raw, offset)
        start = offset + _RECORD_HEADER.size
        if not length or record_generation != generation:
            return texts
        texts.append(raw[start : start + length].decode())
        offset = start + length + 1


def unpacked(name, path):
    """Unpacks the data folder of a fixture under `path`."""
    with tarfile.open(FOLDERS / f"{name}.tar.xz") as archive:
        archive.extractall(path, filter="data")
    return path / name


def expected(name):
    """Returns the expected values of a data folder."""
    return json.loads((FOLDERS / f"{name}.json").read_text())


def opened(path, fixture):
    """Opens an unpacked folder with a seed that would draw another disk identity."""
    state = CONTROL_STATES[fixture["state"]]
    return Writer(path, state, fixture["name"], fixture["seed"] + 1)


def test_the_fixtures_cover_every_kind_of_folder_for_both_control_states():
    sorts = ("damaged", "laps", "records", "reset", "turned", "wiped")
    assert FOLDER_NAMES == [f"{kind}_{sort}" for kind in ("ledger", "realm") for sort in sorts]
    assert all(name.startswith(expected(name)["state"]) for name in FOLDER_NAMES)


@pytest.mark.parametrize("name", FOLDER_NAMES)
def test_a_stored_folder_opens_with_the_expected_values(name, tmp_path):
    fixture = expected(name)
    folder = unpacked(name, tmp_path)
    writer = opened(folder, fixture)
    found = store_values(writer.store)
    writer.close()
    assert found == fixture["opened"]


@pytest.mark.parametrize("name", FOLDER_NAMES)
def test_the_read_only_reader_finds_the_expected_values(name, tmp_path):
    fixture = expected(name)
    folder = unpacked(name, tmp_path)
    before = file_values(folder)
    assert before == fixture["files"]
    assert reader_values(folder) == fixture["reader"]
    assert file_values(folder) == before


@pytest.mark.parametrize("name", FOLDER_NAMES)
def test_changes_to_a_stored_folder_write_the_expected_bytes(name, tmp_path):
    fixture = expected(name)
    later = fixture["later"]
    folder = unpacked(name, tmp_path)
    writer = opened(folder, fixture)
    writer.run(later["script"])
    found = store_values(writer.store)
    writer.close()
    assert newest_entries(folder)[-len(later["entries"]) :] == later["entries"]
    assert found == later["values"]
    assert file_values(folder) == later["files"]


@pytest.mark.parametrize("name", FOLDER_NAMES)
def test_the_same_changes_make_the_same_folder_byte_by_byte(name, tmp_path):
    fixture = expected(name)
    state = CONTROL_STATES[fixture["state"]]
    writer = Writer(tmp_path / name, state, fixture["name"], fixture["seed"])
    writer.run(fixture["script"])
    writer.close()
    assert file_values(tmp_path / name) == fixture["files"]


@pytest.mark.parametrize("kind", sorted(CONTROL_STATES))
def test_records_produce_the_expected_document_step_by_step(kind):
    state = CONTROL_STATES[kind]()
    for step in json.loads(STEPS.read_text())[kind]["steps"]:
        record = step["record"]
        if step["checked"]:
            state.check(plain(record))
        state.apply(state.seq + 1, plain(record))
        assert plain(state.doc) == step["document"], record
        assert plain(state.reported_state()) == step["belief"], record


@pytest.mark.parametrize("kind", sorted(CONTROL_STATES))
def test_the_expected_records_are_declined_with_the_expected_faults(kind):
    fixture = json.loads(STEPS.read_text())[kind]
    state = CONTROL_STATES[kind](plain(fixture["steps"][-1]["document"]))
    for case in fixture["declined"]:
        with pytest.raises(Fault) as caught:
            state.check(plain(case["record"]))
        assert plain(caught.value.doc()) == case["fault"], case["record"]
    assert plain(state.doc) == fixture["steps"][-1]["document"]


def test_a_document_without_evidence_is_read_as_expected():
    for case in json.loads(STEPS.read_text())["without_evidence"]:
        assert plain(ControlState(plain(case["before"])).doc) == case["after"]


def test_an_embargo_call_makes_the_expected_record():
    for case in json.loads(STEPS.read_text())["embargo_calls"]:
        assert plain(parse_change_request(case["call"]).record.to_document()) == case["record"]
