"""Typed faults: every failure that crosses a face or a link has a class, a code and a status."""

__all__ = ["Fault", "REGISTRY", "rebuild"]

REGISTRY = {}


class Fault(Exception):
    """Base of all faults. `back` is the retry-after in microseconds, where a later try can help.

    `answered` says that the other side of a call answered with this fault: the call has certainly arrived there.
    """

    code = "fault"
    status = 500
    back = None
    answered = False

    def __init__(self, note="", back=None, more=None):
        super().__init__(note)
        self.note = note
        self.more = more or {}
        if back is not None:
            self.back = back

    def __init_subclass__(cls, **kw):
        super().__init_subclass__(**kw)
        REGISTRY[cls.code] = cls

    def doc(self):
        """The fault as a plain document for a face or a link."""
        d = {"fault": self.code, "note": self.note}
        if self.back is not None:
            d["retry_after_us"] = self.back
        if self.more:
            d["more"] = self.more
        return d


def rebuild(doc):
    """The typed fault that `doc` describes; an unknown code becomes a plain Fault."""
    c = REGISTRY.get(doc.get("fault"), Fault)
    return c(doc.get("note", ""), doc.get("retry_after_us"), doc.get("more"))


REGISTRY[Fault.code] = Fault


class Malformed(Fault):
    code, status = "malformed", 400


class Invalid(Fault):
    code, status = "invalid", 422


class Stale(Fault):
    code, status = "stale", 409


class Taken(Stale):
    """Another manifest was accepted under this version."""

    code = "taken"


class Duplicate(Fault):
    code, status = "duplicate", 409


class Racing(Fault):
    code, status, back = "racing", 409, 200_000


class NoSession(Fault):
    code, status = "no-session", 404


class Unordered(Fault):
    code, status = "unordered", 409


class Superseded(Fault):
    code, status = "superseded", 409


class Ended(Fault):
    code, status = "transaction-ended", 409


class Oversize(Fault):
    code, status = "oversize", 413


class NoRoute(Fault):
    code, status = "no-route", 404


class Busy(Fault):
    code, status, back = "busy", 503, 250_000


class NoLease(Fault):
    code, status, back = "no-lease", 503, 500_000


class Halted(Fault):
    code, status, back = "halted", 503, 500_000


class Leaving(Fault):
    code, status, back = "leaving", 503, 200_000


class Moving(Fault):
    code, status, back = "moving", 503, 500_000


class Late(Fault):
    code, status, back = "late", 504, 300_000


class Unreached(Fault):
    code, status, back = "unreached", 503, 300_000


class Unsent(Unreached):
    code = "unsent"


class NotRelayed(Unsent):
    """A relay's answer: nothing of the call that it was to send on has left it."""

    code = "not-relayed"


class NotHead(Fault):
    code, status, back = "not-head", 503, 300_000


class Expired(Fault):
    """An order reached the head after the call that brought it had ended."""

    code, status, back = "expired", 503, 300_000


class NotReady(Fault):
    code, status, back = "not-ready", 503, 500_000


class Deposed(Fault):
    code, status = "deposed", 409


class Fenced(Fault):
    code, status = "fenced", 409


class Gone(Fault):
    code, status = "gone", 410


class Unversed(Fault):
    code, status = "version", 400


class Unspoken(Fault):
    code, status = "unknown-kind", 400


class Damaged(Fault):
    code = "damaged"


class DiskRefused(Fault):
    """The disk did not take a write; nothing was remembered of it."""

    code, status, back = "disk-refused", 503, 500_000


class Misplaced(Fault):
    code = "misplaced"


class MemberFault(Fault):
    """A member declined and ran nothing."""

    code, status, back = "member-declined", 503, 200_000


class MemberSaid(Fault):
    """A member declined a statement for its content."""

    code, status = "statement", 422
