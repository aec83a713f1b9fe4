"""Lint, types and the limits on the module's size."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def run(*command: str) -> None:
    result = subprocess.run([sys.executable, "-m", *command], cwd=ROOT, capture_output=True, text=True)
    assert result.returncode == 0, result.stdout + result.stderr


def test_lint() -> None:
    run("ruff", "check", "--no-cache", ".")


def test_format() -> None:
    run("ruff", "format", "--check", "--no-cache", ".")


def test_types() -> None:
    run("mypy", "--cache-dir=/dev/null")


def test_module_stays_small() -> None:
    lines = (ROOT / "cleatyoke" / "rules.py").read_text().splitlines()
    assert sum(1 for line in lines if line.strip()) <= 560
    assert max(len(line) for line in lines) <= 110
