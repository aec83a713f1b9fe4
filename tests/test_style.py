"""Runs the linter, formatter and type checker; limits module sizes and the imports of the scheduler."""

import ast
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
SCHEDULING = ROOT / "cleatyoke" / "scheduling"
MAX_LINES = 560  # non-blank lines; ruff checks the line length
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


def test_modules_do_not_exceed_max_lines() -> None:
    """A longer module has more than one responsibility."""
    too_long = {
        str(path.relative_to(ROOT)): lines
        for path in sorted((ROOT / "cleatyoke").rglob("*.py"))
        if (lines := nonblank_lines(path)) > MAX_LINES
    }
    assert too_long == {}


def test_scheduling_modules_do_not_exceed_their_lower_limit() -> None:
    """Each rule has a short module of its own, which is all one has to read to see why a request was held."""
    lines = {path.name: nonblank_lines(path) for path in SCHEDULING.glob("*.py")}
    assert len(lines) > 10
    assert {name: count for name, count in lines.items() if count > MAX_SCHEDULING_LINES} == {}


def test_scheduling_imports_only_itself_and_pure_modules() -> None:
    """A scheduler that did I/O or read a clock could not be replayed or simulated."""
    forbidden = {
        (path.name, name)
        for path in SCHEDULING.rglob("*.py")
        for name in imported_modules(ast.parse(path.read_text()))
        if name not in PURE_MODULES and not name.startswith("cleatyoke.scheduling.")
    }
    assert forbidden == set()


def imported_modules(tree: ast.Module) -> set[str]:
    modules: set[str] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            modules |= {alias.name for alias in node.names}
        if isinstance(node, ast.ImportFrom):
            assert node.level == 0, "imports are absolute"
            modules.add(node.module or "")
    return modules


@pytest.mark.parametrize(
    ("text", "names"),
    [
        ("import os.path as p, json", {"os.path", "json"}),
        ("def f():\n    from time import time", {"time"}),
        ("if True:\n    import asyncio", {"asyncio"}),
    ],
)
def test_imported_modules_finds_nested_imports(text: str, names: set[str]) -> None:
    assert imported_modules(ast.parse(text)) == names
    assert names - PURE_MODULES
