"""What a manifest leaves out, filled in where it is read without the types of `manifest`, which cost memory."""

__all__ = ["BOUNDS", "GROUP", "ROUTE", "fill"]

GROUP = {"members": 3, "cap": 40, "least": 1, "sync": 0}
ROUTE = {
    "reads": "strong",
    "host": "",
    "prefix": "",
    "timeout_us": 2_000_000,
    "aim_us": 500_000,
    "stale_us": 1_500_000,
    "rank": 1,
}
BOUNDS = {"idle_txn_us": 10_000_000, "keepers": 2}


def fill(m):
    """The manifest with a value for each field that this path looks at."""
    return {
        **m,
        "groups": [{**GROUP, **g} for g in m["groups"]],
        "routes": [{**ROUTE, **r} for r in m["routes"]],
        "bounds": {**BOUNDS, **m.get("bounds", {})},
    }
