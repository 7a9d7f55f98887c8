"""Typed errors that cross an interface or a link, each with a code, HTTP status and retry delay.

A subclass passes them as class arguments and inherits those that it omits. The codes are part of
the wire protocol: clients, operators' programs and other nodes see them in the documents that
`Fault.doc` builds and `rebuild` parses.
"""

from collections.abc import Mapping
from typing import Any

__all__ = ["Fault", "REGISTRY", "rebuild"]

_SECOND_US = 1_000_000

REGISTRY: dict[str, "type[Fault]"] = {}
"""All error classes by code."""


class Fault(Exception):  # noqa: N818 (called faults on the wire)
    """The base class of all typed errors.

    Attributes:
        code: The name of the error on the wire.
        status: The HTTP status of a response that reports it.
        retry_after_us: After how many microseconds a retry can succeed; None if retrying can't
            help.
        answered: Whether the remote side of a call sent this error, so that the call certainly
            arrived there.
        note: A description of the error for people.
        details: Further fields for the code that handles the error.
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
        """Creates an error; `retry_after_us`, if given, overrides the value of the class."""
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
        """Sets the given class arguments and registers the class by its code."""
        super().__init_subclass__()
        if code is not None:
            cls.code = code
        if status is not None:
            cls.status = status
        if retry_after_us is not None:
            cls.retry_after_us = retry_after_us
        REGISTRY[cls.code] = cls

    def retry_after_seconds(self) -> int | None:
        """Returns the HTTP header Retry-After: seconds, rounded up, or None to omit it."""
        if self.retry_after_us is None:
            return None
        return -(-self.retry_after_us // _SECOND_US)

    def doc(self) -> dict[str, Any]:
        """Returns the error as a plain document for an interface or a link."""
        document: dict[str, Any] = {"fault": self.code, "note": self.note}
        if self.retry_after_us is not None:
            document["retry_after_us"] = self.retry_after_us
        if self.details:
            document["more"] = self.details
        return document


def rebuild(doc: Mapping[str, Any]) -> Fault:
    """Returns the typed error that `doc` describes; an unknown code becomes a plain Fault."""
    error_class = REGISTRY.get(doc.get("fault", ""), Fault)
    return error_class(doc.get("note", ""), doc.get("retry_after_us"), doc.get("more"))


REGISTRY[Fault.code] = Fault


class Malformed(Fault, code="malformed", status=400):
    """A field of the request is missing or has the wrong type."""


class Invalid(Fault, code="invalid", status=422):
    """A configuration is invalid; `details` lists every problem by path."""


class Stale(Fault, code="stale", status=409):
    """The request is based on an older version than the one in force."""


class VersionTaken(Stale, code="taken"):
    """A different configuration was already accepted with this version number."""


class Duplicate(Fault, code="duplicate", status=409):
    """The requested change is already in force."""


class Conflict(Fault, code="racing", status=409, retry_after_us=200_000):
    """Another record was appended first; the same request may succeed later."""


class NoSession(Fault, code="no-session", status=404):
    """No proxy has this session."""


class InvalidSequence(Fault, code="unordered", status=409):
    """The state of the session doesn't allow the statement."""


class Superseded(Fault, code="superseded", status=409):
    """A newer copy of the session exists."""


class TransactionEnded(Fault, code="transaction-ended", status=409):
    """The transaction has ended; none of its changes were committed."""


class TooLarge(Fault, code="oversize", status=413):
    """A message or a value is too large."""


class NoRoute(Fault, code="no-route", status=404):
    """No route or group has this name."""


class Denied(Fault, code="denied", status=403):
    """The presented key belongs to no tenant."""


class Busy(Fault, code="busy", status=503, retry_after_us=250_000):
    """The limit of concurrent requests is reached."""


class NoLease(Fault, code="no-lease", status=503, retry_after_us=500_000):
    """This proxy has no lease, so it may not send statements to members."""


class NoPrimary(Fault, code="halted", status=503, retry_after_us=500_000):
    """The group has no primary that currently accepts statements."""


class ShuttingDown(Fault, code="leaving", status=503, retry_after_us=200_000):
    """This node is shutting down."""


class SessionMoving(Fault, code="moving", status=503, retry_after_us=500_000):
    """The session is being handed over to another proxy."""


class DeadlineExceeded(Fault, code="late", status=504, retry_after_us=300_000):
    """A time limit has passed; the requested operation may still take effect."""


class Draining(DeadlineExceeded, code="draining", retry_after_us=250_000):
    """The proxy drains and ended the wait of a statement that certainly ran nowhere."""


class Unreachable(Fault, code="unreached", status=503, retry_after_us=300_000):
    """The remote side didn't answer; it may have received the message."""


class NotSent(Unreachable, code="unsent"):
    """Nothing was sent from this node."""


class NotRelayed(NotSent, code="not-relayed"):
    """A relay reports that it sent no part of the call that it should have forwarded."""


class NotHead(Fault, code="not-head", status=503, retry_after_us=300_000):
    """Only the head of the chain serves this call."""


class Expired(Fault, code="expired", status=503, retry_after_us=300_000):
    """An order reached the head after the call that carried it had ended."""


class NotReady(Fault, code="not-ready", status=503, retry_after_us=500_000):
    """The node can't serve yet, or no longer serves."""


class ViewSuperseded(Fault, code="deposed", status=409):
    """The call was made in a different view than the one of this control node."""


class Fenced(Fault, code="fenced", status=409):
    """The platform declined a promotion: it saw a higher fencing token, or the member is down."""


class MemberReplaced(Fault, code="gone", status=410):
    """The address now belongs to a different member."""


class VersionMismatch(Fault, code="version", status=400):
    """The remote side uses a different protocol version."""


class UnknownKind(Fault, code="unknown-kind", status=400):
    """The remote side doesn't support this kind of message."""


class Damaged(Fault, code="damaged"):
    """A file or a record on disk is damaged."""


class DiskRefused(Fault, code="disk-refused", status=503, retry_after_us=500_000):
    """The disk rejected a write; none of the written data counts as stored."""


class WrongNode(Fault, code="misplaced"):
    """The data folder belongs to another node."""


class MemberDeclined(Fault, code="member-declined", status=503, retry_after_us=200_000):
    """A member declined a request without running any of it."""


class StatementRejected(Fault, code="statement", status=422):
    """A member rejected a statement because of its content."""
