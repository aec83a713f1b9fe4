"""Checks the import contracts, the modules that the daemon loads at startup, and unused code."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
OPTIONAL = (
    "cleatyoke.coordination",
    "cleatyoke.distribution",
    "cleatyoke.durability",
    "cleatyoke.emulation",
    "cleatyoke.fleet",
    "cleatyoke.membership",
    "cleatyoke.sftp",
    "cleatyoke.testbed",
    "cleatyoke.vrrp",
    "click",
    "msgspec",
    "prometheus_client",
    "sqlite3",
)


def run(*command: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)


def test_import_contracts_hold() -> None:
    """The import contracts of pyproject.toml hold.

    Decision code imports no I/O and no clock, the edges don't import each other, and the program doesn't
    import its tools.
    """
    code = "import sys; from importlinter.cli import lint_imports; sys.exit(lint_imports(no_cache=True))"
    result = run(sys.executable, "-c", code)
    assert result.returncode == 0, result.stdout + result.stderr


def test_daemon_does_not_import_disabled_parts() -> None:
    """Each import lengthens the startup, so parts that are disabled by default are not imported."""
    code = f"import sys, cleatyoke.__main__; print([n for n in sys.modules if n.startswith({OPTIONAL})])"
    result = run(sys.executable, "-c", code)
    assert result.stdout.strip() == "[]", result.stdout + result.stderr


def test_no_code_is_unused() -> None:
    """Vulture reports no unused names in cleatyoke; vulture_allowlist.py lists its false positives."""
    result = run(sys.executable, "-m", "vulture", "cleatyoke", "tests")
    assert result.returncode in (0, 3), result.stderr  # 3: unused names were found, maybe only in tests
    assert [line for line in result.stdout.splitlines() if line.startswith("cleatyoke")] == []
