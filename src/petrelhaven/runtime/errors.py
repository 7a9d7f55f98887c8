"""Typed faults: every failure that crosses a face or a link has a class, a code and a status."""

from typing import Any

__all__ = ["Fault", "REGISTRY", "rebuild"]

REGISTRY: dict[str, "type[Fault]"] = {}


class Fault(Exception):  # noqa: N818 (codes on the wire speak of faults)
    """Base of all faults. `back` is the retry-after in microseconds, where a later try can help.

    `answered` says that the other side of a call answered with this fault: the call has certainly
    arrived there.
    """

    code = "fault"
    status = 500
    back: int | None = None
    answered = False

    def __init__(
        self, note: str = "", back: int | None = None, more: dict[str, Any] | None = None
    ) -> None:
        """Says in `note` what went wrong; `more` has fields for whoever handles the fault."""
        super().__init__(note)
        self.note = note
        self.more = more or {}
        if back is not None:
            self.back = back

    def __init_subclass__(cls, **kw: Any) -> None:  # noqa: ANN401 (whatever object takes)
        """Registers each fault by its code."""
        super().__init_subclass__(**kw)
        REGISTRY[cls.code] = cls

    def doc(self) -> dict[str, Any]:
        """The fault as a plain document for a face or a link."""
        document: dict[str, Any] = {"fault": self.code, "note": self.note}
        if self.back is not None:
            document["retry_after_us"] = self.back
        if self.more:
            document["more"] = self.more
        return document


def rebuild(doc: dict[str, Any]) -> Fault:
    """The typed fault that `doc` describes; an unknown code becomes a plain Fault."""
    kind = REGISTRY.get(doc.get("fault", ""), Fault)
    return kind(doc.get("note", ""), doc.get("retry_after_us"), doc.get("more"))


REGISTRY[Fault.code] = Fault


class Malformed(Fault):
    """A call lacks a field, or has one of another type."""

    code, status = "malformed", 400


class Invalid(Fault):
    """A configuration is wrong; `more` names every fault by path."""

    code, status = "invalid", 422


class Stale(Fault):
    """It rests on something older than what is in force."""

    code, status = "stale", 409


class VersionTaken(Stale):
    """Another manifest was accepted under this version."""

    code = "taken"


class Duplicate(Fault):
    """What was asked for is in force already."""

    code, status = "duplicate", 409


class Conflict(Fault):
    """Another record was entered first; the same call may succeed later."""

    code, status, back = "racing", 409, 200_000


class NoSession(Fault):
    """No proxy knows the session."""

    code, status = "no-session", 404


class InvalidSequence(Fault):
    """A statement that its session's state does not allow."""

    code, status = "unordered", 409


class Superseded(Fault):
    """A newer copy of the session exists."""

    code, status = "superseded", 409


class TransactionEnded(Fault):
    """The transaction has ended; nothing of it was kept."""

    code, status = "transaction-ended", 409


class TooLarge(Fault):
    """A message or a value is too large."""

    code, status = "oversize", 413


class NoRoute(Fault):
    """No route or group has this name."""

    code, status = "no-route", 404


class Busy(Fault):
    """As much is under way as may be."""

    code, status, back = "busy", 503, 250_000


class NoLease(Fault):
    """This proxy holds no lease, so it may not send."""

    code, status, back = "no-lease", 503, 500_000


class NoPrimary(Fault):
    """The group has no primary that may be sent to now."""

    code, status, back = "halted", 503, 500_000


class ShuttingDown(Fault):
    """This node is leaving."""

    code, status, back = "leaving", 503, 200_000


class SessionMoving(Fault):
    """The session is being handed over."""

    code, status, back = "moving", 503, 500_000


class DeadlineExceeded(Fault):
    """A bound on time has passed; what was asked may still happen."""

    code, status, back = "late", 504, 300_000


class Unreachable(Fault):
    """The other side did not answer; it may have got the message."""

    code, status, back = "unreached", 503, 300_000


class NotSent(Unreachable):
    """Nothing has left this node."""

    code = "unsent"


class NotRelayed(NotSent):
    """A relay's answer: nothing of the call that it was to send on has left it."""

    code = "not-relayed"


class NotHead(Fault):
    """Only the head of the chain takes this call."""

    code, status, back = "not-head", 503, 300_000


class Expired(Fault):
    """An order reached the head after the call that brought it had ended."""

    code, status, back = "expired", 503, 300_000


class NotReady(Fault):
    """The node can't serve yet, or not any more."""

    code, status, back = "not-ready", 503, 500_000


class ViewSuperseded(Fault):
    """The call rests on another view than this core does."""

    code, status = "deposed", 409


class Fenced(Fault):
    """The platform declined a promotion: it has seen a higher fence, or the member does not run."""

    code, status = "fenced", 409


class MemberReplaced(Fault):
    """The member at this address is another one."""

    code, status = "gone", 410


class VersionMismatch(Fault):
    """The other side speaks another version."""

    code, status = "version", 400


class UnknownKind(Fault):
    """The other side does not know this kind of message."""

    code, status = "unknown-kind", 400


class Damaged(Fault):
    """A file or a record on disk is damaged."""

    code = "damaged"


class DiskRefused(Fault):
    """The disk did not take a write; nothing was remembered of it."""

    code, status, back = "disk-refused", 503, 500_000


class WrongNode(Fault):
    """The data folder belongs to another node."""

    code = "misplaced"


class MemberDeclined(Fault):
    """A member declined and ran nothing."""

    code, status, back = "member-declined", 503, 200_000


class StatementRejected(Fault):
    """A member declined a statement for its content."""

    code, status = "statement", 422
