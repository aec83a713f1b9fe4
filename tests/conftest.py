"""Known failures: the tests named in KNOWN-RED.txt may fail, and each run prints their outcomes."""

from __future__ import annotations

from collections.abc import Generator
from pathlib import Path
from typing import Any

import pytest

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
RESULTS = pytest.StashKey[dict[str, str]]()


def known_red_tests() -> list[str]:
    """Return the test ids in KNOWN-RED.txt: each entry has one line ``test: ID``."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [line.removeprefix("test:").strip() for line in lines if line.startswith("test:")]


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the known failures. An entry that matches no test is an error, as it has no effect."""
    known = set(known_red_tests())
    config.stash[RESULTS] = {}
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))
    files = {item.nodeid.partition("::")[0] for item in items}
    collected = {item.nodeid for item in items}
    missing = {name for name in known - collected if name.partition("::")[0] in files}
    if missing and not config.option.keyword and not any("::" in argument for argument in config.args):
        msg = f"KNOWN-RED.txt names tests that don't exist: {sorted(missing)}"
        raise pytest.UsageError(msg)


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item: pytest.Item) -> Generator[None, Any, None]:
    """Store the outcome of each known failure."""
    outcome = yield
    report = outcome.get_result()
    if item.nodeid in known_red_tests() and (report.when == "call" or report.outcome == "failed"):
        result = "failed, passed over" if hasattr(report, "wasxfail") and report.skipped else report.outcome
        item.config.stash[RESULTS][item.nodeid] = result


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the known failures and their outcomes in this run."""
    results = config.stash.get(RESULTS, {})
    if results:
        terminalreporter.section("KNOWN-RED.txt")
        for name, result in results.items():
            terminalreporter.line(f"{name}: {result}")
