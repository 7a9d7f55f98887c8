"""What every scene begins and ends with."""

import asyncio

__all__ = ["end", "load", "tally"]


async def load(w, n=12, secs=1.0, **kw):
    """Starts a world and puts `n` visitors on it."""
    await w.start()
    w.start_clients(n, **{"pause": 0.05, **kw})
    await asyncio.sleep(secs)


async def end(w, bad=(), wait=1.0):
    """Stops the visitors and answers what was violated."""
    await w.calm()
    await asyncio.sleep(wait)
    return list(bad) + w.verdict()


def tally(w, names):
    """Statements that members have run."""
    return sum(w.members[n].node.statements for n in names if w.members[n].node)
