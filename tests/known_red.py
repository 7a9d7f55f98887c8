"""Pytest plugin for tests that are known to fail, which KNOWN-RED.txt lists.

Each line has a test id, a cause and an issue, separated by tabs or two spaces. A listed test runs as a strict xfail: it
may fail, but fails the run if it passes. A listed test that is skipped also fails the run, and so does one that isn't
found when the complete suite is run.
"""

import re

import pytest

FILE = "KNOWN-RED.txt"


def read_known_red(path):
    """Returns the cause and issue of each listed test by its id."""
    listed = {}
    for number, line in enumerate(path.read_text().splitlines() if path.exists() else (), 1):
        if not line.strip():
            continue
        fields = re.split(r"\s*\t\s*| {2,}", line.strip())
        if len(fields) != 3 or not all(fields):
            raise pytest.UsageError(
                f"{FILE}:{number}: expected a test id, a cause and an issue, separated by a tab or two spaces"
            )
        if fields[0] in listed:
            raise pytest.UsageError(f"{FILE}:{number}: {fields[0]} is listed twice")
        listed[fields[0]] = fields[1:]
    return listed


def pytest_configure(config):
    listed = read_known_red(config.rootpath / FILE)
    config.pluginmanager.register(_Marker(listed))
    if not hasattr(config, "workerinput"):
        config.pluginmanager.register(_ListCheck(listed))


def _is_complete_run(config):
    selecting_options = (
        "keyword",
        "markexpr",
        "deselect",
        "ignore",
        "ignore_glob",
        "lf",
        "stepwise",
        "collectonly",
    )
    return config.args_source is config.ArgsSource.TESTPATHS and not any(
        config.getoption(option, None) for option in selecting_options
    )


class _Marker:
    """Marks the listed tests as xfail in every process that collects them."""

    def __init__(self, listed):
        self._listed = listed

    def pytest_collection_modifyitems(self, items):
        for item in items:
            if item.nodeid in self._listed:
                cause, issue = self._listed[item.nodeid]
                item.add_marker(
                    pytest.mark.xfail(reason=f"known red: {cause} ({issue})", strict=True),
                    append=False,
                )
                # xdist appends the name of the group to the id; the property keeps the id as listed
                item.user_properties.append(("known_red", item.nodeid))


class _ListCheck:
    """Compares the results of the listed tests with the list and prints them."""

    def __init__(self, listed):
        self._listed = listed
        self._results = {}

    def pytest_runtest_logreport(self, report):
        name = dict(report.user_properties).get("known_red")
        if name is None:
            return
        if hasattr(report, "wasxfail"):
            self._results[name] = "fails as listed"
        elif report.skipped:
            self._results[name] = "skipped, so not known to fail"
        elif report.failed:
            self._results[name] = "does not fail as listed: take its line out if it passes"
        else:
            self._results.setdefault(name, "ran")

    @pytest.hookimpl(wrapper=True)
    def pytest_runtestloop(self, session):
        result = yield
        if session.shouldfail or session.shouldstop:
            return result
        for name in self._listed:
            if name not in self._results and _is_complete_run(session.config):
                self._results[name] = "not found"
            if self._results.get(name) in ("not found", "skipped, so not known to fail"):
                session.config.hook.pytest_runtest_logreport(
                    report=pytest.TestReport(
                        f"{FILE}::{name}",
                        (FILE, None, name),
                        {},
                        "failed",
                        f"listed in {FILE}: {self._results[name]}",
                        "call",
                    )
                )
        return result

    def pytest_terminal_summary(self, terminalreporter):
        if self._results:
            terminalreporter.section("known red")
        for name, result in self._results.items():
            cause, issue = self._listed[name]
            terminalreporter.write_line(f"{name}  {result}: {cause} ({issue})")
