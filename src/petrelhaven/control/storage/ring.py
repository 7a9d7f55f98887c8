"""A ring of preallocated files with checksummed records: a core's memory on disk."""

import json
import struct
import zlib

from petrelhaven.runtime.errors import Damaged

__all__ = ["Ring"]

_HEAD = struct.Struct(">IIQQI")
_END = b"\xa5"
_LEAD = struct.Struct(">8sQI")
_MARK = b"PETREL01"


class Ring:
    """Appends records; every file opens with a whole frame, so older files may be written over.

    A record whose tail never reached the disk is torn and dropped: nobody was told of it.
    Any other bad record is damage, and damage is raised, never read past.
    """

    def __init__(self, disk, count=4, size=1 << 20):
        self._disk, self._count, self._size = disk, count, size
        self._lap, self._off, self._num = 0, 0, 0
        self.torn = False

    def load(self):
        """The documents since the newest whole frame, oldest first; empty for a new disk."""
        laps = []
        seen = False
        for i in range(self._count):
            raw = self._disk.read(f"ring-{i}")
            if not any(raw[: _LEAD.size]):
                self._blank(raw, f"ring-{i}")
                continue
            seen = True
            mk, lap, crc = _LEAD.unpack(raw[: _LEAD.size].ljust(_LEAD.size, b"\0"))
            if mk != _MARK or zlib.crc32(raw[:16]) != crc:
                raise Damaged(f"ring-{i}: bad lead")
            laps.append((lap, i, raw))
        if not seen:
            return []
        for lap, i, raw in sorted(laps, reverse=True):
            docs, off, torn = self._scan(raw, lap, f"ring-{i}")
            if docs:
                self._lap, self._off, self._num = lap, off, docs[-1][0]
                self.torn = torn
                return [d for _, d in docs]
        raise Damaged("no whole frame")

    def _blank(self, raw, name):
        at = _LEAD.size
        if len(raw) > at + _HEAD.size and any(raw):
            lap = _HEAD.unpack(raw[at : at + _HEAD.size])[2]
            if len(self._scan(raw, lap, name)[0]) > 1:
                raise Damaged(f"{name}: lead blanked")

    def _scan(self, raw, lap, name):
        docs, off = [], _LEAD.size
        while off + _HEAD.size < len(raw):
            at = off + _HEAD.size
            n, crc, lp, num, own = _HEAD.unpack(raw[off:at])
            if not any(raw[off:at]) and not any(raw[at:]):
                return docs, off, False
            if zlib.crc32(raw[off : at - 4]) != own:
                if any(raw[at:]):
                    raise Damaged(f"{name}: head of the record at {off}")
                return docs, off, True
            end = at + n
            if raw[end : end + 1] != _END:
                if end >= len(raw) or any(raw[end:]):
                    raise Damaged(f"{name}: end of the record at {off}")
                return docs, off, True
            if zlib.crc32(raw[at:end]) != crc or lp != lap or docs and num != docs[-1][0] + 1:
                raise Damaged(f"{name}: record at {off}")
            docs.append((num, json.loads(raw[at:end])))
            off = end + 1
        return docs, off, False

    def append(self, doc, frame):
        """Adds `doc`, synced; when the file is full, the next one opens with `frame()`."""
        raw = self._record(doc)
        if self._lap == 0 or self._off + len(raw) + 64 > self._size:
            self._turn(frame())
            return
        self._disk.write(f"ring-{(self._lap - 1) % self._count}", self._off, raw)
        self._off += len(raw)

    def _record(self, doc):
        b = json.dumps(doc, separators=(",", ":")).encode()
        self._num += 1
        head = struct.pack(">IIQQ", len(b), zlib.crc32(b), self._lap, self._num)
        return head + struct.pack(">I", zlib.crc32(head)) + b + _END

    def _turn(self, doc):
        self._lap += 1
        raw = self._record(doc)
        size = max(self._size, len(raw) * 2)
        name = f"ring-{(self._lap - 1) % self._count}"
        self._disk.write(name, 0, bytes(max(size, len(self._disk.read(name)))))
        self._disk.write(name, _LEAD.size, raw)
        lead = struct.pack(">8sQ", _MARK, self._lap)
        self._disk.write(name, 0, lead + struct.pack(">I", zlib.crc32(lead)))
        self._size = size
        self._off = _LEAD.size + len(raw)

    def wipe(self):
        """Forgets everything on the disk."""
        for i in range(self._count):
            n = len(self._disk.read(f"ring-{i}"))
            if n:
                self._disk.write(f"ring-{i}", 0, bytes(n))
        self._lap = self._off = self._num = 0
