"""A control node starts without the configuration parser and loads it when it is needed."""

import asyncio
import subprocess
import sys
from pathlib import Path

import pytest

from petrelhaven.control.configuration.parser_loader import ParserLoader
from petrelhaven.runtime.errors import Invalid
from petrelhaven.simulator.resumable.world import configuration

ROOT = Path(__file__).parent.parent
PARSER_MODULES = ("serde", "beartype", "jinja2", "petrelhaven.control.configuration.parsing")


def run_in_process(code):
    """Returns what a new interpreter prints, with platform/ on its path."""
    process = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
        env={"PYTHONPATH": f"{ROOT / 'platform'}:{ROOT / 'src'}", "PATH": "/usr/bin:/bin"},
    )
    return process.stdout.strip()


def test_a_control_node_process_starts_without_loading_the_parser():
    assert (
        run_in_process(
            f"import sys, core; print([m for m in {PARSER_MODULES} if m in sys.modules])"
        )
        == "[]"
    )


def test_the_event_loop_runs_while_a_thread_loads_the_parser_once():
    code = f"""
import asyncio, sys
from petrelhaven.control.configuration.parser_loader import ParserLoader

async def main():
    loader, turns = ParserLoader(), 0
    loader.uses_thread = True
    loading = [asyncio.ensure_future(loader.load()) for _ in range(3)]
    while not all(task.done() for task in loading):
        turns += 1
        await asyncio.sleep(0)
    print(turns > 20, loader.is_loaded, {PARSER_MODULES[3]!r} in sys.modules)

asyncio.run(main())
"""
    assert run_in_process(code) == "True True True"


@pytest.mark.parametrize("uses_thread", [False, True])
def test_a_configuration_is_parsed_or_rejected_with_its_faults(uses_thread):
    async def go():
        loader = ParserLoader()
        loader.uses_thread = uses_thread
        assert (await loader.parse(configuration("small", 3))).version == 3
        with pytest.raises(Invalid) as rejected:
            await loader.parse('{"name": "x", "colour": 1}')
        assert "colour" in str(rejected.value.details)

    asyncio.run(go())
