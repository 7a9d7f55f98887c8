"""A seeded soak of the system's real processes among stand-ins, judged by the rules.

Disruptions are drawn from the seed and overlap: members crash, come back, fall behind and are replaced; processes get
signals; configurations change and zones are evacuated. Half of them aim at one group within a few seconds, as a lost
replica that returns before the primary crashes. Clients go on using open connections until their process is gone.
With `--departures` the other half is of members that leave while beats of theirs are late and arrive twice; with
`--control` control machines are replaced at other addresses and lose power and disks, while proxies are frozen; with
`--promotions` unknown members receive and paused ones restart while a primary is replaced, and proxies get signals in
series.

    python tests/soak.py --seeds 1-50 --seconds 24
    python tests/soak.py --seeds 1-50 --seconds 24 --departures
    python tests/soak.py --seeds 1-50 --seconds 24 --control
    python tests/soak.py --seeds 1-50 --seconds 24 --promotions
    python tests/soak.py --seeds 1-2 --edges 120 --services 8
"""

import argparse
import asyncio
import sys
import tempfile
import time
from pathlib import Path

from control_disruptions import ControlSoak
from disruptions import BOUNDS, DepartureSoak, Soak
from promotion_disruptions import PromotionSoak
from stand_in.checkout import link_build
from stand_in.scene import Scene


async def play(folder, seed, seconds, edges=3, services=2, clients=4, soak_type=Soak):
    """Plays one seed; returns its verdict, the disruptions and notes on what was observed."""
    root = link_build(folder)
    options = {"edges": edges, "services": services, "bounds": BOUNDS}
    async with Scene(root, Path(folder) / "run", promote_ms=1000, lag_ms=8, **options) as scene:
        soak = soak_type(scene, seed)
        total_s = seconds + soak.REST_S
        await asyncio.gather(
            scene.play(total_s, clients=clients), soak.run(seconds), soak.observe(total_s)
        )
        verdict = await scene.verdict()
        verdict.violations.extend(soak.violations())
        return verdict, soak.log, soak.notes()


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", default="1-3", help="the first and the last seed")
    parser.add_argument("--seconds", type=float, default=24.0)
    parser.add_argument("--edges", type=int, default=3)
    parser.add_argument("--services", type=int, default=2)
    soak_types = parser.add_mutually_exclusive_group()
    for option, soak_type in (
        ("--departures", DepartureSoak),
        ("--control", ControlSoak),
        ("--promotions", PromotionSoak),
    ):
        soak_types.add_argument(option, dest="soak_type", action="store_const", const=soak_type)
    parser.set_defaults(soak_type=Soak)
    parser.add_argument("--keep", help="a folder for the logs of plays that broke a rule")
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    options = {"edges": arguments.edges, "services": arguments.services}
    options["soak_type"] = arguments.soak_type
    broken = 0
    for seed in range(int(first), int(last or first) + 1):
        with tempfile.TemporaryDirectory() as folder:
            began = time.monotonic()
            verdict, log, notes = asyncio.run(play(folder, seed, arguments.seconds, **options))
            bad = verdict.violations or verdict.own_ends or verdict.logged_errors
            broken += bool(bad)
            print(
                f"seed {seed}: served {verdict.served} of {verdict.owed}, {len(log)} disruptions, "
                f"{time.monotonic() - began:.0f} s, {'BROKEN' if bad else 'no rule broken'}"
                + "".join(f", {note}" for note in notes),
                flush=True,
            )
            for line in (
                *map(str, verdict.violations[:6]),
                *map(str, verdict.own_ends.items()),
                *verdict.logged_errors[:6],
            ):
                print("   ", line)
            if bad:
                print("   ", "; ".join(log))
            if bad and arguments.keep:
                kept = Path(arguments.keep) / f"seed-{seed}"
                for path in Path(folder).glob("run/*/*.log"):
                    kept.mkdir(parents=True, exist_ok=True)
                    (kept / path.name.replace(".log", f"-{path.parent.name}.log")).write_text(
                        path.read_text(errors="replace")
                    )
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
