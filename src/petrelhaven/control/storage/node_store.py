"""What a control node stores: its identity, its vote, its place in the chain, the control state."""

import contextlib
import zlib
from collections.abc import Callable
from typing import Any

from petrelhaven.control.storage.damaged_files import DamagedFileCopies
from petrelhaven.control.storage.documents import (
    ChainRecord,
    Entry,
    Snapshot,
    StateReplaced,
    ViewCompleted,
    Vote,
    empty_vote,
    from_document,
    to_document,
)
from petrelhaven.control.storage.record_log import LOG_FILE_BYTES, Disk, RecordLog
from petrelhaven.runtime.errors import Damaged, DiskRefused, WrongNode
from petrelhaven.runtime.events import Events, emit

__all__ = ["ControlNodeStore", "replay"]

_MIN_KEPT_RECORDS = 400
_MOST_TEXT_BYTES = 2 << 20
_SIZE_STEPS = 8
_SIZE_STEP = 16 << 10


def _log_file_bytes(name: str) -> int:
    """Nodes differ in it, so that they don't all switch files at the same record."""
    return LOG_FILE_BYTES - zlib.crc32(name.encode()) % _SIZE_STEPS * _SIZE_STEP


def _default_state(document: dict[str, Any] | None = None) -> Any:  # noqa: ANN401
    from petrelhaven.control.resumable.control_state import ResumableControlState

    return ResumableControlState(document)


def replay(documents: list[dict[str, Any]], state: Callable[..., Any]) -> Any:  # noqa: ANN401
    """The control state that `documents` add up to; None if there are none."""
    control_state: Any = None
    for entry in map(from_document, documents):
        if isinstance(entry, Snapshot | StateReplaced):
            control_state = state(entry.control_state)
        elif isinstance(entry, ChainRecord):
            control_state.apply(entry.seq, entry.record)
    return control_state


class ControlNodeStore:
    """Every change is written and synced first, and taken over only if that succeeded.

    A change that the disk refuses raises `DiskRefused` and leaves everything as it was; from then
    on `refuses_writes` is True until a later change or `recover` succeeds.
    """

    def __init__(  # noqa: PLR0913, PLR0917 (what a node stores with; programs and tests give it)
        self,
        disk: Disk,
        name: str,
        rng: Any,  # noqa: ANN401
        log: Any = None,  # noqa: ANN401
        keep: bool = False,
        state: Callable[..., Any] | None = None,
    ) -> None:
        """Loads the state of node `name` from `disk`."""
        self.name, self.log = name, log
        self._rng, self._any_name = rng, keep
        self._state = state or _default_state
        self._log = RecordLog(disk, size=_log_file_bytes(name))
        self._damaged_copies = DamagedFileCopies(disk)
        self.damaged = self.refuses_writes = self._without_identity = self._reported_refusal = False
        self.on_refusal_change: list[Callable[[], None]] = []
        self._clear()
        self._without_identity = not self._load()
        self._start()

    def _load(self) -> bool:
        """Reads the log; False if there is nothing to go on from."""
        try:
            documents = self._log.load()
        except Damaged as damage:
            emit(self.log, Events.DISK_DAMAGED, note=damage.note)
            self.damaged = True
            return False
        if not documents:
            self._clear()  # a second draw, so that recorded seeds go on naming the same storms
            return False
        for document in documents:
            self._apply_entry(from_document(document))
        emit(self.log, Events.STATE_LOADED, seq=self.control_state.seq, torn=self._log.torn)
        return True

    def _start(self) -> None:
        self.refuses_writes = True
        with contextlib.suppress(DiskRefused):
            self.recover()

    def recover(self) -> None:
        """Tries whether the disk takes writes; does nothing unless an earlier one was refused."""
        if not self.refuses_writes:
            return
        if self._without_identity:
            self._guarded(lambda: self._begin(self._snapshot()))
        else:
            self._guarded(lambda: self._log.ensure_synced(self._snapshot_document))

    def _begin(self, snapshot: Snapshot) -> None:
        """Writes the first snapshot of an identity; copies what a damaged log still has before."""
        if self.damaged:
            self._copy_damaged_files()
        self._log.restart(to_document(snapshot))
        self._without_identity = False

    def _copy_damaged_files(self) -> None:
        try:
            self._damaged_copies.keep()
        except OSError as error:
            raise DiskRefused(f"copies of the damaged files: {error.strerror}") from error
        emit(self.log, Events.DAMAGED_FILES_COPIED, name=self.name)

    def _clear(self) -> None:
        """Nothing is remembered; the identity drawn here counts unless one is read."""
        self.disk_id = f"{self._rng.getrandbits(64):016x}"
        self.vote: dict[str, Any] = empty_vote()
        self.complete_view = 0
        self._forget_state(self._state(), 0)

    def _forget_state(self, control_state: Any, entered_view: int) -> None:  # noqa: ANN401
        self.control_state, self.entered_view = control_state, entered_view
        self.recent_records: list[list[Any]] = []
        self._text_bytes = 0

    def wipe(self) -> None:
        """Forgets everything; the core goes on as an empty one with another disk identity."""
        disk = f"{self._rng.getrandbits(64):016x}"
        empty = Snapshot(disk, self.name, empty_vote(), 0, self._state().snapshot(), 0)
        self._guarded(lambda: self._log.restart(to_document(empty)))
        self.disk_id, self.vote, self.complete_view = disk, empty_vote(), 0
        self._forget_state(self._state(), 0)

    def require_identity(self) -> None:
        """Raises DiskRefused while the identity of this core has not been written yet."""
        if self._without_identity:
            raise DiskRefused("the identity of this core is not written yet")

    @property
    def fresh(self) -> bool:
        """True while this core has neither voted nor held anything."""
        return self.vote["value"] is None and self.control_state.seq == 0

    def _snapshot(self) -> Snapshot:
        return Snapshot(
            self.disk_id,
            self.name,
            self.vote,
            self.complete_view,
            self.control_state.snapshot(),
            self.entered_view,
        )

    def _snapshot_document(self) -> dict[str, Any]:
        return to_document(self._snapshot())

    def _write_entry(self, entry: Entry) -> None:
        """Writes an entry; only then may the caller remember it."""
        if self._without_identity:
            self.recover()
        self._guarded(lambda: self._log.append(to_document(entry), self._snapshot_document))

    def _guarded(self, write: Callable[[], None]) -> None:
        try:
            write()
        except DiskRefused as refusal:
            self._set_refuses(True, refusal.note)
            raise
        self._set_refuses(False)

    def _set_refuses(self, refuses: bool, note: str = "") -> None:
        self.refuses_writes = refuses
        if self._reported_refusal == refuses:
            return
        self._reported_refusal = refuses
        if refuses:
            emit(self.log, Events.DISK_REFUSES_WRITES, note=note)
        else:
            emit(self.log, Events.DISK_TAKES_WRITES, disk=self.disk_id)
        for listener in self.on_refusal_change:
            listener()

    def _apply_entry(self, entry: Entry | None) -> None:
        match entry:
            case Snapshot(disk, name, vote, done, control_state, entered_view):
                if self._any_name:
                    self.name = name
                elif name != self.name:
                    raise WrongNode(f"the data folder belongs to {name}, not {self.name}")
                self.disk_id, self.vote, self.complete_view = disk, vote, done
                self._forget_state(self._state(control_state), entered_view)
            case Vote(vote, done):
                self.vote = vote
                self.complete_view = self.complete_view if done is None else done
            case ViewCompleted(view):
                self.complete_view = view
            case ChainRecord(seq, view, record):
                self._take(seq, view, record)
            case StateReplaced(control_state, entered_view):
                self._forget_state(self._state(control_state), entered_view)

    def _take(self, seq: int, view: int, record: dict[str, Any]) -> None:
        self.control_state.apply(seq, record)
        self.recent_records.append([seq, view, record])
        self.entered_view = view
        self._text_bytes += len(record.get("text", ""))
        if len(self.recent_records) > 2 * _MIN_KEPT_RECORDS:
            self._trim(len(self.recent_records) - _MIN_KEPT_RECORDS)
        while self._text_bytes > _MOST_TEXT_BYTES and len(self.recent_records) > 2:  # noqa: PLR2004
            self._trim(len(self.recent_records) // 2)

    def _trim(self, count: int) -> None:
        self._text_bytes -= sum(
            len(record.get("text", "")) for _, _, record in self.recent_records[:count]
        )
        del self.recent_records[:count]

    def save_vote(self, done: int | None = None, **changes: Any) -> None:  # noqa: ANN401
        """Stores a promise or an accepted view; `complete_view` is a view all of which is here."""
        vote = {**self.vote, **changes}
        self._write_entry(Vote(vote, done))
        self.vote = vote
        if done is not None:
            self.complete_view = done

    def mark_view_complete(self, view: int) -> None:
        """Remembers that everything of `view` was handed over to this core."""
        if self.complete_view != view:
            self._write_entry(ViewCompleted(view))
            self.complete_view = view
        if self._damaged_copies.present:
            self._release_damaged_copies()

    def _release_damaged_copies(self) -> None:
        """Drops the copies of damaged files once this core has been fed at least what they hold."""
        try:
            held = replay(self._damaged_copies.documents(), self._state)
            if held is not None and self.control_state.seq < held.seq:
                return
            self._damaged_copies.drop()
        except OSError:
            return
        emit(self.log, Events.DAMAGED_COPIES_REMOVED, seq=held.seq if held else 0)

    def append_record(self, seq: int, view: int, record: dict[str, Any]) -> None:
        """Adds a numbered record."""
        if seq != self.control_state.seq + 1:
            raise AssertionError(f"record {seq} does not follow {self.control_state.seq}")
        self._write_entry(ChainRecord(seq, view, record))
        self._take(seq, view, record)

    def reset(self, control_state: dict[str, Any], entered_view: int) -> None:
        """Replaces the control state by another node's snapshot."""
        state = self._state(control_state)
        self._write_entry(StateReplaced(control_state, entered_view))
        self._forget_state(state, entered_view)

    def records_since(self, seq: int, entered_view: int | None = None) -> list[list[Any]] | None:
        """Records after `seq`; None if they are no longer kept or `entered_view` does not fit."""
        if seq == self.control_state.seq:
            return [] if entered_view in (None, self.entered_view) else None
        if seq == 0 and self.recent_records and self.recent_records[0][0] == 1:
            return list(self.recent_records)
        for i, (s, view, _) in enumerate(self.recent_records):
            if s == seq:
                return self.recent_records[i + 1 :] if entered_view in (None, view) else None
        return None
