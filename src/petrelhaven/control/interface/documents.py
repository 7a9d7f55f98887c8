"""What cores and edges of the held path answer alike: the ledger, told as the product's own interface tells it."""

import re

from petrelhaven.runtime.errors import Malformed, NoRoute

__all__ = ["configuration_of", "number", "why_of"]

_NUMBER = re.compile(r"[0-9]{1,18}")


def number(query, name, std=None):
    """A whole number of the query, or `std` where it is not said."""
    v = query.get(name)
    if v is None:
        return std
    if not _NUMBER.fullmatch(v):
        raise Malformed(f"{name} must be a whole number")
    return int(v)


def why_of(doc, query, waiting=None):
    """An office of a group, the one it replaced, and the numbers still kept."""
    g, n = query.get("group", ""), number(query, "n")
    if g not in doc["offices"]:
        raise NoRoute(f"no office of {g[:60]}")
    past = doc["past"].get(g) or [doc["offices"][g]]
    i = len(past) - 1 if n is None else next((i for i, o in enumerate(past) if o["n"] == n), None)
    if i is None:
        raise NoRoute(f"office {n} of {g[:60]} is not kept")
    return {
        "epoch": past[i],
        "replaced": past[i - 1] if i else None,
        "waiting": waiting,
        "kept": [o["n"] for o in past],
    }


def configuration_of(text, sure):
    """The answer that hands a manifest back, byte for byte."""
    return 200, text.encode(), (("Confirmed-By-Majority", "yes" if sure else "no"),)
