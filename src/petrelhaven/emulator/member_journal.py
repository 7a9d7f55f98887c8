"""The journal file of a stand-in member: its log entries and its role, one JSON document a line."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Any, TextIO

if TYPE_CHECKING:
    from petrelhaven.emulator.store import Store

__all__ = ["MemberJournal"]

_FILE_NAME = "journal"


class MemberJournal:
    """Writes what changes in a store, and restores the store after a restart.

    Without a folder nothing is kept.
    """

    def __init__(self, store: Store, folder: str | None, source: str) -> None:
        """Restores `store` from the journal in `folder`, or begins a journal there.

        Args:
            store: The member's database.
            folder: Where the journal lies; None keeps nothing.
            source: Address of the primary that a replica follows if the journal names none.
        """
        self._store = store
        self._file: TextIO | None = None
        if folder is not None:
            self._open(Path(folder), source)
        self._saved_entries = store.log

    def _open(self, folder: Path, source: str) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / _FILE_NAME
        documents = list(_complete_lines(path)) if path.exists() else []
        self._file = path.open("a", encoding="utf-8")
        if documents:
            self._restore(documents, source)
        else:
            self._write([{"store": self._store.store}])
            self.save_role()

    def _restore(self, documents: list[dict[str, Any]], source: str) -> None:
        store = self._store
        store.store = documents[0]["store"]
        for document in documents[1:]:
            if "reset" in document:
                store.entries, store.data = [], {}
            if "e" in document:
                term, operations = document["e"]
                store.replay(term, operations)
            if "role" in document:
                self._restore_role(document)
        if store.source is None and store.role == "replica":
            store.source = source

    def _restore_role(self, document: Mapping[str, Any]) -> None:
        store = self._store
        store.role, store.term = document["role"], document["term"]
        store.fence, store.source = document["fence"], document["source"]

    def save_role(self) -> None:
        """Writes the role, its term and its fence."""
        store = self._store
        self._write(
            [
                {
                    "role": store.role,
                    "term": store.term,
                    "fence": store.fence,
                    "source": store.source,
                }
            ]
        )

    def save_entries(self) -> None:
        """Writes the entries that were added since the last call."""
        self._write({"e": entry} for entry in self._store.entries[self._saved_entries :])
        self._saved_entries = self._store.log

    def reset(self) -> None:
        """Writes that the log starts anew: it had parted from the primary's."""
        self._write([{"reset": True}])
        self._saved_entries = 0

    def _write(self, documents: Iterable[Mapping[str, Any]]) -> None:
        if self._file is None:
            return
        self._file.write("".join(json.dumps(document) + "\n" for document in documents))
        self._file.flush()


def _complete_lines(path: Path) -> Iterable[dict[str, Any]]:
    """Returns the documents of the lines that were written to their end."""
    with path.open(encoding="utf-8") as file:
        for line in file:
            if line.endswith("\n"):
                yield json.loads(line)
