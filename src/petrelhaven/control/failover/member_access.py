"""The coordinator's connection to one member: STATUS, PAUSE and RESUME, each within a bound."""

from petrelhaven.control.failover.evidence import MemberRow
from petrelhaven.control.failover.interfaces import Connection, MemberWire
from petrelhaven.runtime.clock import Clock
from petrelhaven.runtime.errors import Fault, MemberReplaced, NotSent

__all__ = ["ASK_US", "MemberHandle"]

ASK_US = 600_000
_MUTE = "mute"


class MemberHandle:
    """One member as the active head asks it; the connection is opened with the first question.

    A question without an answer closes the connection, so what was sent over it and is still on
    its way is dropped instead of taking effect later.

    Attributes:
        name: The member's name.
        facts: Its record in the ledger.
        row: The last row that it answered, or None.
        fault: Why the last question had no answer.
        refuses: Whether that was because nobody, or somebody else, is at its address.
        pending: The running STATUS question to a primary that is not waited for, or None.
    """

    __slots__ = (
        "name",
        "facts",
        "row",
        "fault",
        "refuses",
        "pending",
        "_wire",
        "_clock",
        "_connection",
    )

    def __init__(self, wire: MemberWire, clock: Clock, name: str, facts: dict) -> None:
        self.name, self.facts = name, facts
        self.row: MemberRow | None = None
        self.fault = ""
        self.refuses = False
        self.pending = None
        self._wire, self._clock = wire, clock
        self._connection: Connection | None = None

    async def ask(self, verb: str, *args: int) -> MemberRow:
        """The member's row as the answer to one question; raises a typed fault."""
        try:
            connection = self._connection
            if connection is None or connection.lost:
                address, group = self.facts["addr"], self.facts["group"]
                connection = await self._wire.open(address, group, self.name, ASK_US)
                self._connection = connection
            answer = await self._clock.limit(connection.own(verb, *args), ASK_US)
        except Fault:
            self.close()
            raise
        self.row = MemberRow.from_wire(answer)
        return self.row

    async def status(self) -> MemberRow | None:
        """The member's row, or None with the reason in `fault`."""
        try:
            return await self.ask("status")
        except Fault as e:
            self._note(e)
            return None

    async def pause(self, term: int) -> MemberRow | None:
        """Keeps a replica from receiving; its row once that is certain, else None."""
        try:
            row = await self.ask("pause", term)
        except Fault as e:
            self._note(e)
            return None
        return row if row.held_term >= term else None

    async def resume(self) -> bool:
        """Lets a paused replica receive again; whether it answered."""
        try:
            await self.ask("resume")
        except Fault as e:
            self._note(e)
            return False
        return True

    def _note(self, fault: Fault) -> None:
        self.fault = f"{fault.code} {fault.note}"
        self.refuses = isinstance(fault, NotSent | MemberReplaced) and fault.note != _MUTE

    def close(self) -> None:
        """Closes the connection; the next question opens another one."""
        if self._connection is not None:
            self._connection.close()
        self._connection = None
