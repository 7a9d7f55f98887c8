"""One try of an operation."""

__all__ = ["Attempt"]

PROMISES = ("busy", "aborted", "lagging", "readonly", "misdirected", "crowded")


class Attempt:
    """Its statements in order; a transaction's first one is its BEGIN."""

    __slots__ = ("client", "group", "stale_us", "transaction", "statements", "key", "is_public")

    def __init__(self, client, group, stale_us, transaction):
        self.client, self.group, self.stale_us, self.transaction = (
            client,
            group,
            stale_us,
            transaction,
        )
        self.statements = []
        self.key, self.is_public = "", False

    @property
    def outcome(self):
        """The last outcome that was not `ok`, or `ok`."""
        return next(
            (s.outcome for s in self.statements if s.outcome != "ok" and s.verb != "rollback"), "ok"
        )

    @property
    def promised(self):
        """Whether its client knows that nothing of it is kept."""
        if any(s.verb == "rollback" and s.outcome == "ok" for s in self.statements):
            return True
        return self.outcome in PROMISES

    @property
    def sent_effect(self):
        """Whether its COMMIT or its single write was sent."""
        return any(s.verb == "commit" or not self.transaction and s.writes for s in self.statements)
