from dataclasses import dataclass, field

from .refusal import PROMISES
from .statement import Statement

__all__ = ["Attempt"]


@dataclass(eq=False)
class Attempt:
    """One try of an operation: a single statement, or a transaction with its BEGIN in front; `key` is what its
    session has shown."""

    session: str
    database: str
    route_type: str = "primary"
    max_staleness_ms: int = 0
    transaction: bool = False
    statements: list[Statement] = field(default_factory=list)
    outcome: str = ""
    key: str | None = None

    @property
    def first(self):
        """The first statement that reaches a member."""
        return next((s for s in self.statements if not s.text.startswith("BEGIN")), None)

    @property
    def promised(self):
        """Whether the client was promised that nothing of this try is kept."""
        return self.outcome in PROMISES or any(s.outcome in PROMISES for s in self.statements)

    @property
    def commit_sent(self):
        """Whether the COMMIT or the single write was sent."""
        return any(s.text == "COMMIT" or s.writes and not self.transaction for s in self.statements)

    @property
    def again(self):
        """Whether the operation may be tried again as a whole."""
        if self.outcome in ("ok", "left"):
            return False
        if self.promised or self.outcome == "FAILED" and not any(s.writes for s in self.statements):
            return True
        return not self.commit_sent
