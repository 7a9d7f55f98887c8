from dataclasses import dataclass, field

__all__ = ["Tenant"]


@dataclass(eq=False)
class Tenant:
    """A tenant of a configuration: its name, the keys of its clients, and its limit."""

    name: str
    keys: list[str] = field(default_factory=list)
    rate_per_s: int | None = None
    burst: int | None = None

    def row(self):
        """The tenant as a configuration holds it."""
        row = {"Name": self.name, "ApiKeys": list(self.keys), "Priority": 1, "RegionsAllowed": []}
        if self.rate_per_s is not None:
            row["RatePerS"] = self.rate_per_s
        if self.burst is not None:
            row["Burst"] = self.burst
        return row
