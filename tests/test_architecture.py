"""What may import what, and that nothing is left that no code reaches."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
OFF_IN_RUN = (
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
    """Contracts of pyproject.toml: decisions without I/O, edges apart, tools imported by nothing."""
    code = "import sys; from importlinter.cli import lint_imports; sys.exit(lint_imports(no_cache=True))"
    result = run(sys.executable, "-c", code)
    assert result.returncode == 0, result.stdout + result.stderr


def test_the_daemon_imports_nothing_that_is_off() -> None:
    """A start pays for every import; a part that is off must cost nothing."""
    code = f"import sys, cleatyoke.__main__; print([n for n in sys.modules if n.startswith({OFF_IN_RUN})])"
    result = run(sys.executable, "-c", code)
    assert result.stdout.strip() == "[]", result.stdout + result.stderr


def test_no_code_is_unreachable() -> None:
    """Names that nothing uses; those that only look unused are explained in vulture_allowlist.py."""
    result = run(sys.executable, "-m", "vulture", "cleatyoke", "tests")
    assert result.returncode in (0, 3), result.stderr  # 3: something was found, maybe in the tests only
    assert [line for line in result.stdout.splitlines() if line.startswith("cleatyoke")] == []
