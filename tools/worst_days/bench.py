"""Plays days with the bench program."""

import json
import re
import subprocess
from dataclasses import dataclass
from pathlib import Path

from worst_days.day import Day
from worst_days.kinds import Kind, parse_kinds
from worst_days.report import Finding, Outcome, read_report

NOT_PLAYED = "not played"
_REFUSED_KIND = re.compile(r"^fleetbench: ([a-z_]+): contract [a-z_]+ is not open$")


@dataclass(frozen=True, slots=True)
class Played:
    """A day as it was played, and how it went."""

    day: Day
    outcome: Outcome


def refused_kind(outcome: Outcome) -> str | None:
    """The kind for which the bench did not play the day, as the site has no part in it."""
    for finding in outcome.findings:
        match = _REFUSED_KIND.match(finding.text)
        if finding.label == NOT_PLAYED and match:
            return match[1]
    return None


@dataclass(frozen=True, slots=True)
class Bench:
    """The bench, a site file for it, and where days and reports are kept."""

    program: Path
    site: Path
    repository: Path
    folder: Path
    why: str
    options: tuple[str, ...] = ()
    least_worth: float = 0.5

    def kinds(self, site: Path) -> tuple[Kind, ...]:
        """The kinds of trouble that the bench lists for a site."""
        command = [str(self.program), "kinds", str(site)]
        done = subprocess.run(
            command, cwd=self.repository, capture_output=True, text=True, check=True
        )
        return parse_kinds(done.stdout)

    def play(self, day: Day, label: str = "") -> Played:
        """Plays a day without the kinds that the bench refuses for this site."""
        outcome = self._play_once(day, label)
        refused = refused_kind(outcome)
        while refused:
            day = day.without_kind(refused)
            outcome = self._play_once(day, label)
            refused = refused_kind(outcome)
        return Played(day, outcome)

    def _play_once(self, day: Day, label: str) -> Outcome:
        """Plays a day; its text, its report and what the bench prints stay in the folder."""
        path = day.write(self.folder, label)
        report = path.with_suffix(".json")
        report.unlink(missing_ok=True)
        why = f"{self.why} ({day.name}{label})"
        command = [
            str(self.program),
            "run",
            str(self.site),
            str(path),
            "--why",
            why,
            "--report",
            str(report),
        ]
        command += self.options
        done = subprocess.run(
            command, cwd=self.repository, capture_output=True, text=True, check=False
        )
        path.with_suffix(".out").write_text(done.stdout + done.stderr)
        if not report.exists():
            last = (done.stdout + done.stderr).strip().splitlines()[-1:]
            return Outcome(0.0, 0.0, (Finding(NOT_PLAYED, "".join(last)),))
        return read_report(json.loads(report.read_text()), self.least_worth)
