"""petrelhaven-diff: compares what two nodes believe."""

import argparse
import asyncio
import sys

from petrelhaven.runtime.errors import Fault
from petrelhaven.transport.http import fetch

__all__ = ["differences", "main"]


def _walk(a, b, path, out):
    if isinstance(a, dict) and isinstance(b, dict):
        for k in sorted(set(a) | set(b)):
            _walk(a.get(k), b.get(k), f"{path}.{k}" if path else k, out)
    elif a != b:
        out.append((path, a, b))


def differences(a, b):
    """Rows of (path, belief of a, belief of b)."""
    out = []
    for k in ("manifest", "digest", "halls", "edges", "epochs", "members", "kith", "seq"):
        if k in a and k in b:
            _walk(a[k], b[k], k, out)
    if a.get("view") and b.get("view"):
        _walk(a["view"], b["view"], "view", out)
    return out


async def _run(a, b):
    return await asyncio.gather(
        fetch(a, "GET", "/belief", us=3_000_000), fetch(b, "GET", "/belief", us=3_000_000)
    )


def main(argv=None):
    """Prints the differences; exits 0 where there are none, 1 where there are, 3 where a node does not answer."""
    p = argparse.ArgumentParser(
        prog="petrelhaven-diff",
        description="Compares the manifest version, epochs, membership and plan that two nodes hold.",
        epilog="Exit codes: 0 the same, 1 they differ, 2 wrong call, 3 a node did not answer.",
    )
    p.add_argument("a", metavar="IP:PORT")
    p.add_argument("b", metavar="IP:PORT")
    x = p.parse_args(argv)
    try:
        a, b = asyncio.run(_run(x.a, x.b))
    except Fault as e:
        print(f"petrelhaven-diff: {e.code}: {e.note}", file=sys.stderr)
        sys.exit(3)
    ds = differences(a, b)
    for path, u, v in ds:
        print(f"{path}: {a['name']} {u!r}, {b['name']} {v!r}")
    if not ds:
        print(
            f"{a['name']} and {b['name']} agree: manifest {a['manifest']}, change {a['seq']}, "
            + ", ".join(f"{g} epoch {e['n']}" for g, e in a["epochs"].items())
        )
    sys.exit(1 if ds else 0)


if __name__ == "__main__":
    main()
