"""A stand-in member's database: a log with positions, connections, values, transactions."""

from __future__ import annotations

import copy
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from petrelhaven.runtime.clock import Clock

__all__ = ["Declined", "Store", "Unanswered"]

_FLOOD_WINDOW_US = 100_000

Operation = list[Any]
Statement = Mapping[str, Any]
Result = dict[str, Any]
Handler = Callable[["_Connection", Statement], Result | None]


class Unanswered(Exception):  # noqa: N818 (no error of the store: a fault that it plays)
    """The request ran (or hangs), and no result will be sent."""


class Declined(Exception):  # noqa: N818 (the answer to a statement, not an error of the store)
    """A statement is not run; `document` is its result."""

    def __init__(self, code: str, **more: object) -> None:
        """Declines with a code, and what else is to be told."""
        super().__init__(code)
        self.document = {"fault": code, **more}


@dataclass(slots=True)
class _Transaction:
    """An open transaction: the data as it sees them, and what it wrote."""

    mode: str
    view: dict[str, Any]
    operations: list[Operation] = field(default_factory=list)


@dataclass(slots=True)
class _Connection:
    """A connection of `owner`, with what its session set on it."""

    owner: object
    opened_at: int
    values: dict[str, Any] = field(default_factory=dict)
    prepared: dict[str, Statement] = field(default_factory=dict)
    txn: _Transaction | None = None


class Store:
    """One member. The log is the truth; `data` is what the log says.

    A test may set `silent` (nothing is answered), `stall` (nothing is received), `unanswered` (so
    many writes lose their answers), and `draining`. `flood`, `full` and `most_conns` count what
    callers did: statements in a tenth of a second while cold, connections declined and open.
    """

    def __init__(  # noqa: PLR0913, PLR0917 (what a member is told at its start)
        self,
        clock: Clock,
        name: str,
        group: str,
        zone: str,
        role: str,
        cap: int,
        rng: random.Random,
        warm_us: int = 0,
        cold_most: int = 6,
    ) -> None:
        """An empty member that has just started; it is warm after `warm_us`."""
        self.clock, self.name, self.group, self.zone = clock, name, group, zone
        self.cap, self.rng = cap, rng
        self.role = role
        self.warm_us, self.cold_most = warm_us, cold_most
        self.term = 1 if role == "primary" else 0
        self.entries: list[list[Any]] = []
        self.data: dict[str, Any] = {}
        self.store = f"{rng.getrandbits(48):012x}"
        self.draining = False
        self.source: str | None = None
        self.fence = 0
        self.flood = self.full = 0
        self.most_conns = 0
        self.last_statement = self.statements = 0
        self.silent = self.stall = False
        self.unanswered = 0
        self.on_commit: list[Callable[[], object]] = []
        self.boot_up()

    def boot_up(self) -> None:
        """A fresh start over the same log."""
        self.boot = f"{self.rng.getrandbits(48):012x}"
        self.born = self.clock.now()
        self.conns: dict[str, _Connection] = {}
        self._opened = 0
        self._statements_while_cold: list[int] = []

    @property
    def log(self) -> int:
        """The position of the newest entry."""
        return len(self.entries)

    @property
    def warm(self) -> bool:
        """Whether it has run for long enough to take its full load."""
        return self.clock.now() - self.born >= self.warm_us

    def status(self) -> dict[str, Any]:
        """STATUS and READY."""
        return {
            "member": self.name,
            "role": self.role,
            "log": self.log,
            "term": self.term,
            "store": self.store,
            "boot": self.boot,
            "warm": self.warm,
            "ready": self.warm and not self.draining,
            "draining": self.draining,
            "conns": len(self.conns),
        }

    def announcement(self, address: str, heartbeat: int) -> dict[str, Any]:
        """What the member reports to control regularly."""
        return {
            "member": self.name,
            "group": self.group,
            "hall": self.zone,
            "addr": address,
            "role": self.role,
            "log": self.log,
            "cap": self.cap,
            "draining": self.draining,
            "boot": self.boot,
            "store": self.store,
            "warm": self.warm,
            "term": self.term,
            "beat": heartbeat,
        }

    def open(self, owner: object) -> str:
        """A connection for `owner`; a full member declines."""
        if len(self.conns) >= self.cap:
            self.full += 1
            raise Declined("FULL")
        self._opened += 1
        number = f"{self.boot}.{self._opened}"
        self.conns[number] = _Connection(owner, self.clock.now())
        self.most_conns = max(self.most_conns, len(self.conns))
        return number

    def lose(self, owner: object) -> None:
        """The connections of `owner` are gone, their transactions with them."""
        self._close(lambda connection: connection.owner == owner)

    def _end_transactions(self) -> None:
        """Closes the connections inside a transaction: no statement of it must run outside it."""
        self._close(lambda connection: connection.txn is not None)

    def _close(self, which: Callable[[_Connection], bool]) -> None:
        for number in [n for n, connection in self.conns.items() if which(connection)]:
            del self.conns[number]

    def run(
        self, number: str, statements: list[Statement], owner: object | None = None
    ) -> list[Result]:
        """Runs a batch; stops at the first fault."""
        connection = self.conns.get(number)
        if connection is None or owner is not None and connection.owner != owner:
            return [{"fault": "NOCONN"}]
        now = self.clock.now()
        if not self.warm:
            self._note_flood(now)
        results = self._run_all(connection, statements)
        self.last_statement = now
        self.statements += 1
        if self.unanswered and any("pos" in result for result in results):
            self.unanswered -= 1
            raise Unanswered
        return results

    def _note_flood(self, now: int) -> None:
        lately = [at for at in self._statements_while_cold if now - at < _FLOOD_WINDOW_US]
        self._statements_while_cold = [*lately, now]
        self.flood = max(self.flood, len(self._statements_while_cold))

    def _run_all(self, connection: _Connection, statements: list[Statement]) -> list[Result]:
        results = []
        for statement in statements:
            run = getattr(self, f"_{statement.get('v')}", self._unknown)
            try:
                results.append(run(connection, statement) or {"ok": True})
            except Declined as declined:
                results.append(declined.document)
                break
            except (KeyError, TypeError, ValueError) as error:
                results.append({"fault": "BADSTATEMENT", "note": type(error).__name__})
                break
        return results

    def _unknown(self, connection: _Connection, statement: Statement) -> None:
        raise Declined("BADSTATEMENT", note="verb")

    def _after(self, connection: _Connection, statement: Statement) -> None:
        if self.log < statement["pos"] or self.term < statement.get("term", 0):
            raise Declined("LAGGING", log=self.log, term=self.term)

    def _ready(self, connection: _Connection, statement: Statement) -> None:
        if self.role != statement["role"] or self.term != statement["term"]:
            raise Declined("TERM", role=self.role, term=self.term)

    def _reset(self, connection: _Connection, statement: Statement) -> None:
        connection.values, connection.prepared, connection.txn = {}, {}, None

    def _set(self, connection: _Connection, statement: Statement) -> None:
        connection.values[statement["name"]] = statement["value"]

    def _unset(self, connection: _Connection, statement: Statement) -> None:
        connection.values.pop(statement["name"], None)

    def _prepare(self, connection: _Connection, statement: Statement) -> None:
        connection.prepared[statement["name"]] = statement["statement"]

    def _show(self, connection: _Connection, statement: Statement) -> Result:
        return {"value": connection.values.get(statement["name"])}

    @staticmethod
    def _fill(connection: _Connection, text: Any, arguments: list[Any]) -> Any:  # noqa: ANN401
        """A field of a statement, with `$N` and `$name` replaced."""
        if not isinstance(text, str) or not text.startswith("$"):
            return text
        name = text[1:]
        return arguments[int(name) - 1] if name.isdigit() else connection.values[name]

    def _exec(self, connection: _Connection, statement: Statement) -> Result | None:
        shape = connection.prepared.get(statement["name"])
        if shape is None:
            raise Declined("NOSTATEMENT")
        filled = {
            key: self._fill(connection, text, statement["args"])
            for key, text in shape.items()
            if key != "verb"
        }
        run: Handler = getattr(self, f"_{shape['verb']}")
        return run(connection, {"v": shape["verb"], **filled})

    def _view(self, connection: _Connection) -> dict[str, Any]:
        return connection.txn.view if connection.txn else self.data

    def _get(self, connection: _Connection, statement: Statement) -> Result:
        return {"value": self._view(connection).get(self._fill(connection, statement["key"], []))}

    def _scan(self, connection: _Connection, statement: Statement) -> Result:
        rows = sorted(self._view(connection).items())
        return {"value": {k: v for k, v in rows if k.startswith(statement["prefix"])}}

    def _begin(self, connection: _Connection, statement: Statement) -> None:
        if statement["mode"] == "write" and self.role != "primary":
            raise Declined("READONLY")
        connection.txn = _Transaction(statement["mode"], copy.copy(self.data))

    def _rollback(self, connection: _Connection, statement: Statement) -> None:
        connection.txn = None

    def _commit(self, connection: _Connection, statement: Statement) -> Result:
        transaction, connection.txn = connection.txn, None
        if transaction is None:
            raise Declined("NOTXN")
        if self.role != "primary":
            raise Declined("READONLY")
        if not transaction.operations:
            return {"pos": self.log}
        return self._append(transaction.operations)

    def _write(self, connection: _Connection, operation: Operation) -> Result:
        verb, key, value = operation
        if self.role != "primary":
            raise Declined("READONLY")
        if verb == "add" and type(value) is not int:
            raise Declined("BADSTATEMENT", note="add")
        transaction = connection.txn
        if transaction is None:
            return self._append([operation])
        if transaction.mode != "write":
            raise Declined("BADSTATEMENT", note="read only")
        transaction.operations.append(operation)
        self._apply(transaction.view, operation)
        return {"value": transaction.view.get(key)}

    def _put(self, connection: _Connection, statement: Statement) -> Result:
        return self._write(connection, self._operation(connection, statement, "value"))

    def _add(self, connection: _Connection, statement: Statement) -> Result:
        return self._write(connection, self._operation(connection, statement, "value"))

    def _del(self, connection: _Connection, statement: Statement) -> Result:
        return self._write(connection, self._operation(connection, statement, None))

    def _operation(
        self, connection: _Connection, statement: Statement, value_field: str | None
    ) -> Operation:
        """A write as the log keeps it: verb, key, value."""
        key = self._fill(connection, statement["key"], [])
        if value_field is None:
            return [statement["v"], key, None]
        return [statement["v"], key, self._fill(connection, statement[value_field], [])]

    @staticmethod
    def _apply(data: dict[str, Any], operation: Operation) -> None:
        verb, key, value = operation
        if verb == "put":
            data[key] = value
        elif verb == "add":
            data[key] = (data.get(key) if type(data.get(key)) is int else 0) + value
        else:
            data.pop(key, None)

    def _append(self, operations: list[Operation]) -> Result:
        self.replay(self.term, operations)
        for notify in self.on_commit:
            notify()
        return {"pos": self.log, "value": self.data.get(operations[-1][1])}

    def feed(self, position: int, term: int) -> dict[str, Any]:
        """What a replica at (`position`, its last term) lacks; all of it if they have parted."""
        if self.role != "primary":
            raise Declined("READONLY")
        same = position <= self.log and (position == 0 or self.entries[position - 1][0] == term)
        return {
            "term": self.term,
            "from": position if same else 0,
            "entries": self.entries[position:] if same else list(self.entries),
            "store": self.store,
        }

    def absorb(self, feed: Mapping[str, Any]) -> None:
        """Takes a feed from the primary."""
        if self.role != "replica" or feed["term"] < self.fence or feed["term"] < self.term:
            return
        if feed["from"] == 0 and self.entries:
            self.entries, self.data = [], {}
        if feed["from"] != len(self.entries):
            return
        for term, operations in feed["entries"]:
            self.replay(term, operations)
        self.term = feed["term"]

    def replay(self, term: int, operations: list[Operation]) -> None:
        """Takes one entry of a log as it is."""
        self.entries.append([term, operations])
        for operation in operations:
            self._apply(self.data, operation)

    def last_term(self) -> int:
        """The term of the newest entry."""
        return self.entries[-1][0] if self.entries else 0

    def promote(self, epoch: int) -> None:
        """Becomes the primary under `epoch`; if it is that already, nothing changes."""
        if epoch < max(self.term, self.fence) or epoch == self.term and self.role != "primary":
            raise Declined("FENCED")
        if epoch == self.term:
            return
        self.role, self.term, self.fence, self.source = "primary", epoch, epoch, None
        self._end_transactions()

    def follow(self, source: str, epoch: int) -> None:
        """Becomes a replica of `source` under `epoch`."""
        if epoch < max(self.term, self.fence):
            raise Declined("FENCED")
        if self.role == "primary":
            self._end_transactions()
        self.role, self.source, self.fence = "replica", source, epoch
