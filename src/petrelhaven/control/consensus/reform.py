"""Forming the chain anew after a majority of the cores lost their disks: at the operator's word only."""

from petrelhaven.control.consensus.view import View
from petrelhaven.runtime.errors import Conflict, Fault, Malformed, NotReady
from petrelhaven.runtime.events import Events, emit

__all__ = ["Reform"]

_GAP_SEQ = 1_000_000
_GAP = 1_000


class Reform:
    """Takes the newest control state that any living node holds and puts every number above all handed out before."""

    def __init__(self, core, log=None):
        self._c, self.log = core, log

    async def run(self, lost, by=""):
        """Forms the chain without the disks of the cores in `lost`; returns what was formed."""
        c = self._c
        v = c.chain.view or View.from_optional(c.mem.vote["value"])
        if v is None:
            raise NotReady("this core knows no view to form anew")
        ids = v.ids
        odd = [n for n in lost if n not in ids]
        if odd or not lost or c.name in lost or len(set(lost)) != len(lost):
            raise Malformed(
                "lost: must name other cores of the view, each once",
                details={"faults": [["lost", f"no core {n}"] for n in odd]},
            )
        if len(ids) - len(lost) > len(ids) // 2:
            raise Conflict(
                "a majority of the disks is left; the chain mends itself",
                details={"ids": sorted(ids)},
            )
        infos = {}
        for n in sorted(ids):
            if n != c.name:
                infos[n] = await self._info(n)
        for n in lost:
            if infos[n] is None:
                raise NotReady(f"{n} does not answer; start it over an empty folder first")
            if infos[n]["disk"] == ids[n]:
                raise Conflict(f"{n} answers with the disk that the view names; it is not lost")
        frame, src = await self._newest()
        n = max([v.number] + [i["view"]["n"] for i in infos.values() if i and i["view"]]) + _GAP
        self._above(frame)
        new = {n2: infos[n2]["disk"] if n2 in lost else d for n2, d in ids.items()}
        chain = [c.name] + [x for x in sorted(ids) if x != c.name and infos[x]]
        cause = "formed anew without " + ",".join(lost)
        view = View(n, tuple(chain), new, cause, by or c.name)
        emit(
            self.log,
            Events.CHAIN_REFORMED,
            n=n,
            seq=frame["seq"],
            src=src,
            lost=",".join(lost),
            by=by,
        )
        c.mem.reset(frame, n)
        c.spread(view)
        return {
            "view": n,
            "chain": chain,
            "change": frame["seq"],
            "from": src,
            "manifest": frame["manifest"]["version"] if frame["manifest"] else 0,
        }

    async def _info(self, n):
        for _ in range(5):
            try:
                return await self._c.call(n, "view.ask", {"name": self._c.name}, 800_000)
            except Fault:
                await self._c.clock.sleep(100_000)
        return None

    async def _newest(self):
        c = self._c
        best, src = c.chain.control_state.snapshot(), c.name
        for n, f in sorted((await c.frames()).items()):
            if f["seq"] > best["seq"]:
                best, src = f, n
        return best, src

    @staticmethod
    def _above(f):
        f["seq"] += _GAP_SEQ
        for g, e in f["offices" if "offices" in f else "epochs"].items():
            e["n"] += _GAP
            e["cause"] = f"control was formed anew; before: {e['cause']}"
            past = f["past"].setdefault(g, [])
            past.append(
                {**(past[-1] if past else e), "n": e["n"], "cause": e["cause"], "seq": f["seq"]}
            )
