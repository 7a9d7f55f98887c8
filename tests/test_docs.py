"""The docs say what the code has."""

import re
from pathlib import Path

from petrelhaven.control.configuration.document import Bounds
from petrelhaven.runtime.events import EVENTS, Event, Events
from petrelhaven.simulator.measure import MEASURES
from petrelhaven.simulator.resumable.scene import SCENES

DOCS = Path(__file__).parent.parent / "docs"


def test_every_event_is_in_the_catalogue_with_what_to_do():
    rows = dict(re.findall(r"^\| E(\d+) \| (.*) \|$", (DOCS / "events.md").read_text(), re.M))
    assert rows == {str(n): f"{e.level} | {e.title} | {e.remedy}" for n, e in EVENTS.items()}


def test_every_event_is_written_somewhere():
    """By its name, in any file but the table: its number in the table itself shows nothing."""
    root = DOCS.parent
    files = [*(root / "src").rglob("*.py"), *(root / "platform").rglob("*.py")]
    code = "".join(p.read_text() for p in files if p.name != "events.py")
    events = [name for name, event in vars(Events).items() if isinstance(event, Event)]
    assert len(events) == len(EVENTS)
    assert [name for name in events if not re.search(rf"\bEvents\.{name}\b", code)] == []


def test_every_bound_scene_and_measurement_is_documented():
    text = (DOCS / "settings.md").read_text()
    assert [b for b in Bounds.__dataclass_fields__ if f"`{b}`" not in text] == []
    text = (DOCS / "proof.md").read_text()
    assert [s for s in SCENES if f"`{s}`" not in text] == []
    text = (DOCS / "measurements.md").read_text()
    assert [m for m in MEASURES if f"`petrelhaven-sim measure {m}`" not in text] == []


def test_every_test_that_a_proof_names_is_there():
    tests = "".join(p.read_text() for p in Path(__file__).parent.glob("test_*.py"))
    named = set(re.findall(r"`(test_\w+)`", (DOCS / "proof-platform.md").read_text()))
    files = {p.stem for p in Path(__file__).parent.glob("test_*.py")}
    assert len(named) > 40
    assert [n for n in sorted(named) if n not in files and f"def {n}(" not in tests] == []


def test_nothing_asks_members_for_their_health():
    """Health answers may be false either way; what a member does with statements counts."""
    root = DOCS.parent
    files = [
        p
        for folder in ("control", "proxy")
        for p in (root / "src/petrelhaven" / folder).rglob("*.py")
    ]
    files += (root / "platform").glob("*.py")
    assert len(files) > 100
    assert [p.name for p in files if "/health" in p.read_text()] == []


def test_no_line_of_code_is_over_120_columns_and_nothing_rests_on_wall_time():
    for p in [*(DOCS.parent / "src").rglob("*.py"), *(DOCS.parent / "tests").rglob("*.py")]:
        text = p.read_text()
        assert [i for i, x in enumerate(text.split("\n"), 1) if len(x) > 120] == [], p
        assert p.name == "test_docs.py" or "time.time" not in text, p


def test_links_between_pages_lead_somewhere():
    for p in [DOCS.parent / "README.md", *DOCS.rglob("*.md")]:
        for to in re.findall(r"\]\(([^)#:]+)\)", p.read_text()):
            assert (p.parent / to).exists(), (p, to)
