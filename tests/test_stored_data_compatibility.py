"""Data folders and control states written by commit 3ca81ad are read, and written, exactly as then."""

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

_LEAD_SIZE = 20
_HEADER = struct.Struct(">IIQQI")
_LEAD = struct.Struct(">8sQI")


def plain(value):
    """A value as it is after a way through JSON."""
    return json.loads(json.dumps(value))


def digest(raw):
    """The SHA-256 of some bytes."""
    return hashlib.sha256(raw).hexdigest()


class Writer:
    """Carries out a script of changes on a data folder."""

    def __init__(self, path, state, name, seed):
        self._path, self._state, self._name = path, state, name
        self._rng = random.Random(seed)
        self.store = self._opened()

    def _opened(self):
        self._disk = FolderDisk(str(self._path))
        return ControlNodeStore(self._disk, self._name, self._rng, state=self._state)

    def run(self, script):
        """Carries out every change in turn."""
        for what, *arguments in script:
            getattr(self, "_" + what)(*arguments)

    def close(self):
        """Closes the files."""
        self._disk.close()

    def _vote(self, changes, done):
        self.store.save_vote(done, **changes)

    def _done(self, view):
        self.store.mark_view_complete(view)

    def _record(self, view, record):
        self.store.append_record(
            self.store.control_state.seq + 1, view, json.loads(json.dumps(record))
        )

    def _padded(self, view, record, length):
        """A record whose operator has a name of `length` letters: it fills a file."""
        self._record(view, {**record, "by": "p" * length})

    def _reset(self, document, mark):
        self.store.reset(json.loads(json.dumps(document)), mark)

    def _wipe(self):
        self.store.wipe()

    def _reopen(self):
        self.close()
        self.store = self._opened()

    def _damage(self, file_name, offset):
        """One byte of a file turns over while the node is down."""
        self.close()
        path = self._path / file_name
        raw = bytearray(path.read_bytes())
        raw[offset] ^= 0xFF
        path.write_bytes(raw)
        self.store = self._opened()


def store_values(store):
    """Everything that a store remembers, as plain values."""
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
    """What the read-only reader says of a folder."""
    folder = DataFolder(str(path))
    found = salvage(str(path))
    same = found.control_state.doc == folder.control_state.doc
    return plain(
        {
            "name": folder.name,
            "disk": folder.disk_id,
            "seq": folder.control_state.seq,
            "document": folder.control_state.doc,
            "kind": type_name(folder.control_state),
            "salvage_name": found.name,
            "salvage_seq": found.control_state.seq,
            "salvage_document": "the same" if same else found.control_state.doc,
            "salvage_kind": type_name(found.control_state),
        }
    )


def type_name(state):
    """Which kind of control state it is, in the words of the fixtures."""
    return next(name for name, kind in CONTROL_STATES.items() if type(state) is kind)


def file_values(path):
    """Size and digest of every file of a folder."""
    return {
        file.name: {"size": file.stat().st_size, "digest": digest(file.read_bytes())}
        for file in sorted(path.iterdir())
    }


def newest_entries(path):
    """The JSON texts in the newest log file, read here without the product's code."""
    files = [file.read_bytes() for file in sorted(path.glob("ring-*"))]
    raw = max(files, key=lambda file: _LEAD.unpack(file[:_LEAD_SIZE])[1])
    lap = _LEAD.unpack(raw[:_LEAD_SIZE])[1]
    texts, offset = [], _LEAD_SIZE
    while True:
        length, _, record_lap, _, _ = _HEADER.unpack_from(raw, offset)
        start = offset + _HEADER.size
        if not length or record_lap != lap:
            return texts
        texts.append(raw[start : start + length].decode())
        offset = start + length + 1


def unpacked(name, path):
    """The data folder of a fixture, laid out under `path`."""
    with tarfile.open(FOLDERS / f"{name}.tar.xz") as archive:
        archive.extractall(path, filter="data")
    return path / name


def expected(name):
    """What a fixture says of a data folder."""
    return json.loads((FOLDERS / f"{name}.json").read_text())


def opened(path, fixture):
    """A writer over an unpacked folder; it draws another identity than the folder's, if any."""
    state = CONTROL_STATES[fixture["state"]]
    return Writer(path, state, fixture["name"], fixture["seed"] + 1)


def test_there_is_a_folder_of_each_sort_for_both_control_states():
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
def test_a_stored_folder_goes_on_with_the_expected_bytes(name, tmp_path):
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
def test_records_leave_the_expected_document_step_by_step(kind):
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


def test_a_document_from_before_the_evidence_is_read_as_expected():
    for case in json.loads(STEPS.read_text())["without_evidence"]:
        assert plain(ControlState(plain(case["before"])).doc) == case["after"]


def test_an_embargo_call_makes_the_expected_record():
    for case in json.loads(STEPS.read_text())["embargo_calls"]:
        assert plain(parse_change_request(case["call"]).record.to_document()) == case["record"]
