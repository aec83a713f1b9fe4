"""Lint, types, the limits on modules' sizes, and what the scheduler's modules may import."""

import ast
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
SCHEDULING = ROOT / "cleatyoke" / "scheduling"
MAX_LINES = 560  # non-blank ones; the line length is ruff's
MAX_SCHEDULING_LINES = 300
PURE_MODULES = {
    "__future__",
    "collections",
    "collections.abc",
    "dataclasses",
    "enum",
    "heapq",
    "math",
    "random",
    "typing",
}


def run(*command: str) -> None:
    result = subprocess.run([sys.executable, "-m", *command], cwd=ROOT, capture_output=True, text=True)
    assert result.returncode == 0, result.stdout + result.stderr


def test_lint() -> None:
    run("ruff", "check", "--no-cache", ".")


def test_format() -> None:
    run("ruff", "format", "--check", "--no-cache", ".")


def test_types() -> None:
    run("mypy", "--cache-dir=/dev/null")


def nonblank_lines(path: Path) -> int:
    return sum(1 for line in path.read_text().splitlines() if line.strip())


def test_every_module_stays_small() -> None:
    """A module that grows beyond this has more than one job."""
    too_long = {
        str(path.relative_to(ROOT)): lines
        for path in sorted((ROOT / "cleatyoke").rglob("*.py"))
        if (lines := nonblank_lines(path)) > MAX_LINES
    }
    assert too_long == {}


def test_every_scheduling_module_stays_smaller() -> None:
    """To learn why a request was held, one reads the module of one rule, not all of them."""
    lines = {path.name: nonblank_lines(path) for path in SCHEDULING.glob("*.py")}
    assert len(lines) > 10
    assert {name: count for name, count in lines.items() if count > MAX_SCHEDULING_LINES} == {}


def test_scheduling_imports_only_itself_and_pure_modules() -> None:
    """Decisions with input, output or a clock of their own could not be replayed or simulated."""
    foreign = {
        (path.name, name)
        for path in SCHEDULING.rglob("*.py")
        for name in imported_modules(ast.parse(path.read_text()))
        if name not in PURE_MODULES and not name.startswith("cleatyoke.scheduling.")
    }
    assert foreign == set()


def imported_modules(tree: ast.Module) -> set[str]:
    found: set[str] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        if isinstance(node, ast.ImportFrom):
            assert node.level == 0, "imports are absolute"
            found.add(node.module or "")
    return found


@pytest.mark.parametrize(
    ("text", "names"),
    [
        ("import os.path as p, json", {"os.path", "json"}),
        ("def f():\n    from time import time", {"time"}),
        ("if True:\n    import asyncio", {"asyncio"}),
    ],
)
def test_the_import_check_sees_imports_anywhere(text: str, names: set[str]) -> None:
    assert imported_modules(ast.parse(text)) == names
    assert names - PURE_MODULES
