"""Tests known to fail: KNOWN-RED.txt lists a test's id, cause and issue a line, apart by a tab or two spaces.

A listed test runs as a strict xfail: it may fail, but fails the run when it passes. One that is skipped fails the run
too, and so does one that is not found when the whole suite is run.
"""

import re

import pytest

FILE = "KNOWN-RED.txt"


def read(path):
    """Cause and issue of each listed test, by its id."""
    out = {}
    for i, line in enumerate(path.read_text().splitlines() if path.exists() else (), 1):
        if not line.strip():
            continue
        fields = re.split(r"\s*\t\s*| {2,}", line.strip())
        if len(fields) != 3 or not all(fields):
            raise pytest.UsageError(
                f"{FILE}:{i}: not a test id, a cause and an issue, apart by a tab or two spaces"
            )
        if fields[0] in out:
            raise pytest.UsageError(f"{FILE}:{i}: {fields[0]} is listed twice")
        out[fields[0]] = fields[1:]
    return out


def pytest_configure(config):
    listed = read(config.rootpath / FILE)
    config.pluginmanager.register(_Marker(listed))
    if not hasattr(config, "workerinput"):
        config.pluginmanager.register(_Verdict(listed))


def _is_whole(config):
    narrowed = (
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
        config.getoption(o, None) for o in narrowed
    )


class _Marker:
    """Marks the listed tests, in every process that collects them."""

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
                # xdist appends a group's name to the id; the property keeps it as listed
                item.user_properties.append(("known_red", item.nodeid))


class _Verdict:
    """Compares what the listed tests did with the list, and prints it."""

    def __init__(self, listed):
        self._listed = listed
        self._seen = {}

    def pytest_runtest_logreport(self, report):
        name = dict(report.user_properties).get("known_red")
        if name is None:
            return
        if hasattr(report, "wasxfail"):
            self._seen[name] = "fails as listed"
        elif report.skipped:
            self._seen[name] = "skipped, so not known to fail"
        elif report.failed:
            self._seen[name] = "does not fail as listed: take its line out if it passes"
        else:
            self._seen.setdefault(name, "ran")

    @pytest.hookimpl(wrapper=True)
    def pytest_runtestloop(self, session):
        result = yield
        if session.shouldfail or session.shouldstop:
            return result
        for name in self._listed:
            if name not in self._seen and _is_whole(session.config):
                self._seen[name] = "not found"
            if self._seen.get(name) in ("not found", "skipped, so not known to fail"):
                session.config.hook.pytest_runtest_logreport(
                    report=pytest.TestReport(
                        f"{FILE}::{name}",
                        (FILE, None, name),
                        {},
                        "failed",
                        f"listed in {FILE}: {self._seen[name]}",
                        "call",
                    )
                )
        return result

    def pytest_terminal_summary(self, terminalreporter):
        if self._seen:
            terminalreporter.section("known red")
        for name, what in self._seen.items():
            cause, issue = self._listed[name]
            terminalreporter.write_line(f"{name}  {what}: {cause} ({issue})")
