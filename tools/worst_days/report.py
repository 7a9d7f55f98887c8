"""Reads the bench's report of a day, and tells what is wrong with it."""

from dataclasses import dataclass

LAST_WINDOWS = 3
LAST_WINDOWS_WORTH = 0.9
LEAST_REQUESTS = 50


@dataclass(frozen=True, slots=True)
class Finding:
    """One thing that is wrong with a played day; `label` tells whether two days break alike."""

    label: str
    text: str


@dataclass(frozen=True, slots=True)
class Outcome:
    """How a day went."""

    worth: float
    served: float
    findings: tuple[Finding, ...]

    @property
    def labels(self) -> frozenset[str]:
        """The labels of all that is wrong."""
        return frozenset(finding.label for finding in self.findings)


def read_report(report: dict, least_worth: float) -> Outcome:
    """The outcome that a report tells; below `least_worth` the worth itself is a finding."""
    worth = report["G"] or 0.0
    findings = [
        *(Finding(f"rule {rule}", f"{rule}: {count}") for rule, count in report["breaks"].items()),
        *(Finding("fault", str(report["fault"])) for _ in range(bool(report["fault"]))),
        *(Finding(f"short {_topic(text)}", text) for text in report["short"]),
        *(Finding("missed", text) for text in report["missed"]),
        *_unserved_at_the_end(report["windows"]),
    ]
    if worth < least_worth:
        findings.append(Finding("worth", f"worth {worth:.3f} is below {least_worth}"))
    return Outcome(worth, report["served"], tuple(findings))


def _topic(text: str) -> str:
    """The words before the first colon or figure."""
    words: list[str] = []
    for word in text.split(":")[0].split():
        if any(char.isdigit() for char in word):
            break
        words.append(word)
    return " ".join(words[:4])


def _unserved_at_the_end(windows: list[dict]) -> list[Finding]:
    """A finding if each of the day's last full windows was served badly."""
    full = [window for window in windows if window["n"] >= LEAST_REQUESTS][-LAST_WINDOWS:]
    if not full or any(window["worth"] >= LAST_WINDOWS_WORTH for window in full):
        return []
    told = ", ".join(f"{window['worth']:.2f}" for window in full)
    return [Finding("unserved at the end", f"worth of the last windows: {told}")]
