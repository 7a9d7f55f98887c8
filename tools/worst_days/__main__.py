"""The command line: hunts over a range of seeds, or writes a day without playing it."""

import argparse
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from worst_days.bench import Bench
from worst_days.day import Day
from worst_days.drawing import USUAL, Density, draw_day
from worst_days.kinds import Kind, merge_kinds, with_variants
from worst_days.report import Outcome
from worst_days.shrinking import Breaks, shrink
from worst_days.site import read_site

FOUND = 1


def arguments(given: list[str]) -> argparse.Namespace:
    """The parsed command line."""
    parser = argparse.ArgumentParser(prog="worst_days", description=__doc__)
    parser.add_argument("site", type=Path, help="site file")
    parser.add_argument("--bench", type=Path, required=True, help="the bench program")
    parser.add_argument(
        "--out", type=Path, required=True, help="folder for days, reports and what the bench prints"
    )
    parser.add_argument("--repository", type=Path, default=Path.cwd(), help="the sources to play")
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--days", type=int, default=1, help="how many seeds")
    parser.add_argument(
        "--kinds-of", type=Path, nargs="*", default=[], help="site files whose kinds come too"
    )
    parser.add_argument("--only", nargs="*", help="kinds to draw from; left out: all")
    parser.add_argument("--fewest", type=int, default=USUAL.fewest, help="fewest entries a day")
    parser.add_argument("--most", type=int, default=USUAL.most, help="most entries a day")
    parser.add_argument("--together", type=float, default=0.0, help="share that strike at once")
    parser.add_argument("--why", default="drawn day", help="a line for the journal")
    parser.add_argument("--plays", type=int, default=1, help="how many days are played at once")
    parser.add_argument(
        "--jobs", type=int, default=2, help="processors that the bench may use for a day"
    )
    parser.add_argument(
        "--no-cpu",
        action="store_true",
        help="processor time isn't counted; a day then mostly repeats",
    )
    parser.add_argument("--least-worth", type=float, default=0.5, help="a worth below it is a find")
    parser.add_argument(
        "--shrink", type=int, default=0, help="most plays to shrink a find with; 0: none"
    )
    parser.add_argument("--write-only", action="store_true", help="writes the days and plays none")
    return parser.parse_args(given)


def main(given: list[str]) -> int:
    """Draws and plays the days; 1 if one has a find."""
    args = arguments(given)
    args.out.mkdir(parents=True, exist_ok=True)
    options = ("--jobs", str(args.jobs), *(["--no-cpu"] if args.no_cpu else []))
    bench = Bench(
        args.bench, args.site, args.repository, args.out, args.why, options, args.least_worth
    )
    kinds = merge_kinds([_kinds(bench, site) for site in [args.site, *args.kinds_of]])
    if args.only:
        kinds = tuple(kind for kind in kinds if kind.name in args.only)
    density = Density(args.fewest, args.most, args.together)
    seeds = range(args.first, args.first + args.days)
    site = read_site(args.site)
    days = [draw_day(site, kinds, seed, density) for seed in seeds]
    if args.write_only:
        for day in days:
            print(day.write(args.out))
        return 0
    with ThreadPoolExecutor(args.plays) as pool:
        found = list(pool.map(lambda day: _hunt(bench, day, args.shrink), days))
    print(f"{len(found)} days, {sum(found)} with a find")
    return FOUND if any(found) else 0


def _kinds(bench: Bench, site: Path) -> tuple[Kind, ...]:
    """What the bench lists for a site, with the variants that the site's own days use."""
    return with_variants(bench.kinds(site), read_site(site).variants)


def _hunt(bench: Bench, day: Day, most_plays: int) -> bool:
    """Plays a day and shrinks it if it breaks; whether it does."""
    played = bench.play(day)
    day, outcome = played.day, played.outcome
    _tell(day, outcome)
    if not outcome.findings:
        return False
    if most_plays:
        small = shrink(day, _breaks_alike(bench, outcome), most_plays)
        print(f"{day.name} shrunk to {small.write(bench.folder, '-small')}", flush=True)
    return True


def _breaks_alike(bench: Bench, outcome: Outcome) -> Breaks:
    """A test of a smaller day: does the first thing that was wrong come again?"""
    label = outcome.findings[0].label

    def breaks(day: Day) -> bool:
        return label in bench.play(day, "-trial").outcome.labels

    return breaks


def _tell(day: Day, outcome: Outcome) -> None:
    entries = "; ".join(f"{entry.kind} {entry.how}".strip() for entry in day.entries)
    print(f"{day.name} worth {outcome.worth:.3f} served {outcome.served:.3f}", flush=True)
    print(
        f"  {entries}; closing {day.closing.get('kind')} {day.closing.get('how', '')}", flush=True
    )
    for finding in outcome.findings:
        print(f"  {finding.label}: {finding.text}", flush=True)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
