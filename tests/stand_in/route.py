from typing import NamedTuple

__all__ = ["Route"]


class Route(NamedTuple):
    """A database as its clients see it, and what they do there; shares are between 0 and 1."""

    database: str
    service: str
    route_type: str = "primary"
    max_staleness_ms: int = 0
    timeout_ms: int = 4000
    target_ms: int = 500
    deadline_ms: int = 8000
    writes: float = 0.2
    transactions: float = 0.4
    public: bool = False

    def row(self, priority=1):
        """The route as a configuration holds it."""
        row = {
            "Name": f"r-{self.database}",
            "Hostname": self.database,
            "PathPrefix": "/",
            "RouteType": self.route_type,
            "TimeoutMs": self.timeout_ms,
            "TargetMs": self.target_ms,
            "Priority": priority,
            "Service": self.service,
            "MaxTries": 2,
            "RegionsAllowed": [],
        }
        if self.public:
            row["Public"] = True
        return (
            {**row, "MaxStalenessMs": self.max_staleness_ms}
            if self.route_type == "bounded_staleness"
            else row
        )
