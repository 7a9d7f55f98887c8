"""The persistent state of a control node: identity, vote, place in the chain and control state."""

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

_MIN_RECENT_RECORDS = 400
_MAX_RECENT_TEXT_BYTES = 2 << 20
_FILE_SIZE_STEPS = 8
_FILE_SIZE_STEP_BYTES = 16 << 10


def _log_file_bytes(name: str) -> int:
    """Returns the size of a node's log files.

    It depends on the name, so that the nodes don't all switch files at the same record.
    """
    return LOG_FILE_BYTES - zlib.crc32(name.encode()) % _FILE_SIZE_STEPS * _FILE_SIZE_STEP_BYTES


def _default_state(document: dict[str, Any] | None = None) -> Any:  # noqa: ANN401
    from petrelhaven.control.resumable.control_state import ResumableControlState

    return ResumableControlState(document)


def replay(documents: list[dict[str, Any]], make_control_state: Callable[..., Any]) -> Any:  # noqa: ANN401
    """Replays log entries; returns the resulting control state, or None without entries."""
    control_state: Any = None
    for entry in map(from_document, documents):
        if isinstance(entry, Snapshot | StateReplaced):
            control_state = make_control_state(entry.control_state)
        elif isinstance(entry, ChainRecord):
            control_state.apply(entry.seq, entry.record)
    return control_state


class ControlNodeStore:
    """The stored state of a control node.

    Every change is written and synced before it is applied in memory. A change that the disk
    refuses raises `DiskRefused` and changes nothing; the node takes part in no protocol while
    `refuses_writes` is set.

    Attributes:
        name: The node's name.
        disk_id: The random identity of this disk; an emptied disk gets a new one.
        vote: The highest promise and the last accepted view, as stored.
        complete_view: The newest view of which this node has every record.
        control_state: The control state after the last record.
        entered_view: The view in which the last record was entered.
        recent_records: The last records, each as [seq, view, record].
        damaged: Whether the log was damaged when it was loaded.
        refuses_writes: Whether the last write was refused and no later one has succeeded.
        on_refusal_change: Called when `refuses_writes` changes.
    """

    def __init__(  # noqa: PLR0913, PLR0917 (programs and tests pass different parts)
        self,
        disk: Disk,
        name: str,
        rng: Any,  # noqa: ANN401
        log: Any = None,  # noqa: ANN401
        accept_any_name: bool = False,
        state: Callable[..., Any] | None = None,
    ) -> None:
        """Loads the state of node `name` from `disk`, or starts with an empty one.

        Args:
            disk: Where the log's files are.
            name: The node's name.
            rng: Draws the disk identity.
            log: Receives events.
            accept_any_name: Takes over the stored name instead of comparing it with `name`.
            state: Makes a control state from a snapshot; default: that of resumable sessions.
        """
        self.name, self.log = name, log
        self._rng, self._accept_any_name = rng, accept_any_name
        self._make_control_state = state or _default_state
        self._log = RecordLog(disk, size=_log_file_bytes(name))
        self._damaged_copies = DamagedFileCopies(disk)
        self.damaged = self.refuses_writes = self._identity_unwritten = self._reported_refusal = (
            False
        )
        self.on_refusal_change: list[Callable[[], None]] = []
        self._start_empty()
        self._identity_unwritten = not self._load()
        self._try_first_write()

    def _load(self) -> bool:
        """Loads the log; returns False if it is empty or damaged."""
        try:
            documents = self._log.load()
        except Damaged as damage:
            emit(self.log, Events.DISK_DAMAGED, note=damage.note)
            self.damaged = True
            return False
        if not documents:
            self._start_empty()  # draws an identity again: recorded seeds depend on two draws
            return False
        for document in documents:
            self._apply_entry(from_document(document))
        emit(self.log, Events.STATE_LOADED, seq=self.control_state.seq, torn=self._log.torn)
        return True

    def _try_first_write(self) -> None:
        self.refuses_writes = True
        with contextlib.suppress(DiskRefused):
            self.recover()

    def recover(self) -> None:
        """Writes again after a refused write; raises DiskRefused if the disk still refuses.

        Does nothing unless an earlier write was refused.
        """
        if not self.refuses_writes:
            return
        if self._identity_unwritten:
            self._write_tracked(lambda: self._write_first_snapshot(self._snapshot()))
        else:
            self._write_tracked(lambda: self._log.ensure_synced(self._snapshot_document))

    def _write_first_snapshot(self, snapshot: Snapshot) -> None:
        """Writes the first snapshot of a new identity, after copying the files of a damaged log."""
        if self.damaged:
            self._copy_damaged_files()
        self._log.restart(to_document(snapshot))
        self._identity_unwritten = False

    def _copy_damaged_files(self) -> None:
        try:
            self._damaged_copies.create()
        except OSError as error:
            raise DiskRefused(f"cannot copy the damaged files: {error.strerror}") from error
        emit(self.log, Events.DAMAGED_FILES_COPIED, name=self.name)

    def _start_empty(self) -> None:
        """Sets an empty state with a new disk identity, which a stored one replaces."""
        self.disk_id = f"{self._rng.getrandbits(64):016x}"
        self.vote: dict[str, Any] = empty_vote()
        self.complete_view = 0
        self._replace_state(self._make_control_state(), 0)

    def _replace_state(self, control_state: Any, entered_view: int) -> None:  # noqa: ANN401
        self.control_state, self.entered_view = control_state, entered_view
        self.recent_records: list[list[Any]] = []
        self._text_bytes = 0

    def wipe(self) -> None:
        """Deletes all state; the node continues as an empty one with a new disk identity."""
        disk_id = f"{self._rng.getrandbits(64):016x}"
        empty = Snapshot(
            disk_id, self.name, empty_vote(), 0, self._make_control_state().snapshot(), 0
        )
        self._write_tracked(lambda: self._log.restart(to_document(empty)))
        self.disk_id, self.vote, self.complete_view = disk_id, empty_vote(), 0
        self._replace_state(self._make_control_state(), 0)

    def require_identity(self) -> None:
        """Raises DiskRefused until the disk identity of this node is stored."""
        if self._identity_unwritten:
            raise DiskRefused("the disk identity of this control node is not stored yet")

    @property
    def fresh(self) -> bool:
        """Whether this node has neither accepted a view nor applied a record."""
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
        """Writes an entry; the caller changes its state in memory only afterwards."""
        if self._identity_unwritten:
            self.recover()
        self._write_tracked(lambda: self._log.append(to_document(entry), self._snapshot_document))

    def _write_tracked(self, write: Callable[[], None]) -> None:
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
            case Snapshot(disk_id, name, vote, complete_view, control_state, entered_view):
                if self._accept_any_name:
                    self.name = name
                elif name != self.name:
                    raise WrongNode(f"the data folder belongs to {name}, not {self.name}")
                self.disk_id, self.vote, self.complete_view = disk_id, vote, complete_view
                self._replace_state(self._make_control_state(control_state), entered_view)
            case Vote(vote, complete_view):
                self.vote = vote
                self.complete_view = self.complete_view if complete_view is None else complete_view
            case ViewCompleted(view):
                self.complete_view = view
            case ChainRecord(seq, view, record):
                self._apply_record(seq, view, record)
            case StateReplaced(control_state, entered_view):
                self._replace_state(self._make_control_state(control_state), entered_view)

    def _apply_record(self, seq: int, view: int, record: dict[str, Any]) -> None:
        self.control_state.apply(seq, record)
        self.recent_records.append([seq, view, record])
        self.entered_view = view
        self._text_bytes += len(record.get("text", ""))
        if len(self.recent_records) > 2 * _MIN_RECENT_RECORDS:
            self._trim(len(self.recent_records) - _MIN_RECENT_RECORDS)
        while self._text_bytes > _MAX_RECENT_TEXT_BYTES and len(self.recent_records) > 2:  # noqa: PLR2004
            self._trim(len(self.recent_records) // 2)

    def _trim(self, count: int) -> None:
        self._text_bytes -= sum(
            len(record.get("text", "")) for _, _, record in self.recent_records[:count]
        )
        del self.recent_records[:count]

    def save_vote(self, done: int | None = None, **changes: Any) -> None:  # noqa: ANN401
        """Stores a promise or an accepted view.

        Args:
            done: The new `complete_view`; None leaves it unchanged.
            changes: The fields of the vote that change.
        """
        vote = {**self.vote, **changes}
        self._write_entry(Vote(vote, done))
        self.vote = vote
        if done is not None:
            self.complete_view = done

    def save_complete_view(self, view: int) -> None:
        """Stores that this node has every record of `view`."""
        if self.complete_view != view:
            self._write_entry(ViewCompleted(view))
            self.complete_view = view
        if self._damaged_copies.present:
            self._release_damaged_copies()

    def _release_damaged_copies(self) -> None:
        """Removes the copies of damaged files once this node has at least their records."""
        try:
            copied_state = replay(self._damaged_copies.documents(), self._make_control_state)
            if copied_state is not None and self.control_state.seq < copied_state.seq:
                return
            self._damaged_copies.remove()
        except OSError:
            return
        emit(self.log, Events.DAMAGED_COPIES_REMOVED, seq=copied_state.seq if copied_state else 0)

    def append_record(self, seq: int, view: int, record: dict[str, Any]) -> None:
        """Stores and applies the record with number `seq`, entered in `view`."""
        if seq != self.control_state.seq + 1:
            raise AssertionError(f"record {seq} does not follow {self.control_state.seq}")
        self._write_entry(ChainRecord(seq, view, record))
        self._apply_record(seq, view, record)

    def reset(self, control_state: dict[str, Any], entered_view: int) -> None:
        """Replaces the control state with another node's snapshot."""
        replacement = self._make_control_state(control_state)
        self._write_entry(StateReplaced(control_state, entered_view))
        self._replace_state(replacement, entered_view)

    def records_since(self, seq: int, entered_view: int | None = None) -> list[list[Any]] | None:
        """Returns the records after `seq`.

        Returns None if they are no longer kept, or if record `seq` wasn't entered in
        `entered_view`.
        """
        if seq == self.control_state.seq:
            return [] if entered_view in (None, self.entered_view) else None
        if seq == 0 and self.recent_records and self.recent_records[0][0] == 1:
            return list(self.recent_records)
        for index, (number, view, _) in enumerate(self.recent_records):
            if number == seq:
                return self.recent_records[index + 1 :] if entered_view in (None, view) else None
        return None
