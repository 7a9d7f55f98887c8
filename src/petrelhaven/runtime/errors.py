"""Typed errors that cross an interface or a link, each with a code, an HTTP status and a wait.

A subclass gives them as class arguments and inherits what it does not give. The codes are part of
the wire: clients, operators' programs and other nodes see them in the documents that
`Fault.doc` makes and `rebuild` reads.
"""

from collections.abc import Mapping
from typing import Any

__all__ = ["Fault", "REGISTRY", "rebuild"]

_SECOND_US = 1_000_000

REGISTRY: dict[str, "type[Fault]"] = {}
"""Every class of error by its code."""


class Fault(Exception):  # noqa: N818 (codes on the wire speak of faults)
    """Base of all typed errors.

    Attributes:
        code: the name of the error on the wire.
        status: the HTTP status that it is answered with.
        retry_after_us: after how many microseconds a retry can help; None where none does.
        answered: whether the other side of a call answered with this error, so that the call has
            certainly arrived there.
        note: what went wrong, for people.
        details: fields for whoever handles the error.
    """

    code = "fault"
    status = 500
    retry_after_us: int | None = None
    answered = False

    def __init__(
        self,
        note: str = "",
        retry_after_us: int | None = None,
        details: dict[str, Any] | None = None,
    ) -> None:
        """Describes one error; `retry_after_us`, if given, takes the place of its class's."""
        super().__init__(note)
        self.note = note
        self.details = details or {}
        if retry_after_us is not None:
            self.retry_after_us = retry_after_us

    def __init_subclass__(
        cls,
        *,
        code: str | None = None,
        status: int | None = None,
        retry_after_us: int | None = None,
    ) -> None:
        """Sets what the class gives and registers it by its code."""
        super().__init_subclass__()
        if code is not None:
            cls.code = code
        if status is not None:
            cls.status = status
        if retry_after_us is not None:
            cls.retry_after_us = retry_after_us
        REGISTRY[cls.code] = cls

    def retry_after_seconds(self) -> int | None:
        """The value of HTTP's header Retry-After: whole seconds, rounded up; None without one."""
        if self.retry_after_us is None:
            return None
        return -(-self.retry_after_us // _SECOND_US)

    def doc(self) -> dict[str, Any]:
        """The error as a plain document, for an interface or a link."""
        document: dict[str, Any] = {"fault": self.code, "note": self.note}
        if self.retry_after_us is not None:
            document["retry_after_us"] = self.retry_after_us
        if self.details:
            document["more"] = self.details
        return document


def rebuild(doc: Mapping[str, Any]) -> Fault:
    """The typed error that `doc` describes; an unknown code becomes a plain Fault."""
    kind = REGISTRY.get(doc.get("fault", ""), Fault)
    return kind(doc.get("note", ""), doc.get("retry_after_us"), doc.get("more"))


REGISTRY[Fault.code] = Fault


class Malformed(Fault, code="malformed", status=400):
    """A call lacks a field, or has one of another type."""


class Invalid(Fault, code="invalid", status=422):
    """A configuration is wrong; `details` names every fault by path."""


class Stale(Fault, code="stale", status=409):
    """It rests on something older than what is in force."""


class VersionTaken(Stale, code="taken"):
    """Another configuration was accepted under this version."""


class Duplicate(Fault, code="duplicate", status=409):
    """What was asked for is in force already."""


class Conflict(Fault, code="racing", status=409, retry_after_us=200_000):
    """Another record was entered first; the same call may succeed later."""


class NoSession(Fault, code="no-session", status=404):
    """No proxy knows the session."""


class InvalidSequence(Fault, code="unordered", status=409):
    """A statement that its session's state does not allow."""


class Superseded(Fault, code="superseded", status=409):
    """A newer copy of the session exists."""


class TransactionEnded(Fault, code="transaction-ended", status=409):
    """The transaction has ended; nothing of it was kept."""


class TooLarge(Fault, code="oversize", status=413):
    """A message or a value is too large."""


class NoRoute(Fault, code="no-route", status=404):
    """No route or group has this name."""


class Denied(Fault, code="denied", status=403):
    """No tenant has the key that was shown."""


class Busy(Fault, code="busy", status=503, retry_after_us=250_000):
    """As much is under way as may be."""


class NoLease(Fault, code="no-lease", status=503, retry_after_us=500_000):
    """This proxy holds no lease, so it may not send."""


class NoPrimary(Fault, code="halted", status=503, retry_after_us=500_000):
    """The group has no primary that may be sent to now."""


class ShuttingDown(Fault, code="leaving", status=503, retry_after_us=200_000):
    """This node is leaving."""


class SessionMoving(Fault, code="moving", status=503, retry_after_us=500_000):
    """The session is being handed over."""


class DeadlineExceeded(Fault, code="late", status=504, retry_after_us=300_000):
    """A bound on time has passed; what was asked may still happen."""


class Unreachable(Fault, code="unreached", status=503, retry_after_us=300_000):
    """The other side did not answer; it may have got the message."""


class NotSent(Unreachable, code="unsent"):
    """Nothing has left this node."""


class NotRelayed(NotSent, code="not-relayed"):
    """A relay's answer: nothing of the call that it was to send on has left it."""


class NotHead(Fault, code="not-head", status=503, retry_after_us=300_000):
    """Only the head of the chain takes this call."""


class Expired(Fault, code="expired", status=503, retry_after_us=300_000):
    """An order reached the head after the call that brought it had ended."""


class NotReady(Fault, code="not-ready", status=503, retry_after_us=500_000):
    """The node can't serve yet, or not any more."""


class ViewSuperseded(Fault, code="deposed", status=409):
    """The call rests on another view than this control node has."""


class Fenced(Fault, code="fenced", status=409):
    """The platform declined a promotion: it has seen a higher fence, or the member does not run."""


class MemberReplaced(Fault, code="gone", status=410):
    """The member at this address is another one."""


class VersionMismatch(Fault, code="version", status=400):
    """The other side speaks another version."""


class UnknownKind(Fault, code="unknown-kind", status=400):
    """The other side does not know this kind of message."""


class Damaged(Fault, code="damaged"):
    """A file or a record on disk is damaged."""


class DiskRefused(Fault, code="disk-refused", status=503, retry_after_us=500_000):
    """The disk did not take a write; nothing was remembered of it."""


class WrongNode(Fault, code="misplaced"):
    """The data folder belongs to another node."""


class MemberDeclined(Fault, code="member-declined", status=503, retry_after_us=200_000):
    """A member declined and ran nothing."""


class StatementRejected(Fault, code="statement", status=422):
    """A member declined a statement for its content."""
