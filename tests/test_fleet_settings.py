"""Fleet settings: nothing is imported while disabled, and invalid keys are reported by name."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from cleatyoke.admin.control import ControlCommands, answer_command
from cleatyoke.config.errors import ConfigError
from cleatyoke.config.fronts_file import read_fronts_file

ROOT = Path(__file__).resolve().parent.parent
VALID_KEYS = {"enabled": "true", "deployment": '"d"', "listen": '"127.0.0.1:7"', "seeds": "[]"}


def write_fronts_file(path: Path, keys: dict[str, str]) -> Path:
    path.write_text("[fleet]\n" + "\n".join(f"{name} = {value}" for name, value in keys.items()))
    return path


def test_fleet_modules_while_disabled_are_not_imported_and_show_fleet_fails() -> None:
    script = (
        "import sys, cleatyoke.__main__; sys.exit(any(name.startswith(('cleatyoke.fleet', 'msgspec', "
        "'cleatyoke.membership', 'cleatyoke.coordination', 'cleatyoke.emulation')) "
        "for name in sys.modules))"
    )
    assert subprocess.run([sys.executable, "-c", script], cwd=ROOT).returncode == 0
    commands = ControlCommands(lambda: True, list, bool, bool, lambda: None, lambda: None)
    assert answer_command(commands, "show-fleet") == ["FAILURE no view of the fleet is kept"]


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("deployment", '""'),
        ("deployment", "7"),
        ("listen", '"127.0.0.1:0"'),
        ("seeds", '["x"]'),
        ("seeds", "[1]"),
        ("period_s", "0"),
        ("period_s", "9999"),
        ("gossip_s", "0.5"),
        ("answer_s", "2"),
        ("boot", "-1"),
        ("advertise", '"here"'),
        ("hosts", "3"),
    ],
)
def test_read_fronts_file_with_an_invalid_value_names_its_key(tmp_path: Path, key: str, value: str) -> None:
    path = write_fronts_file(tmp_path / "fronts.toml", {**VALID_KEYS, key: value})
    with pytest.raises(ConfigError, match=f"^fronts.toml: fleet.{key}:"):
        read_fronts_file(path, {}, {})


def test_read_fronts_file_with_valid_keys_returns_fleet_settings(tmp_path: Path) -> None:
    assert read_fronts_file(write_fronts_file(tmp_path / "fronts.toml", VALID_KEYS), {}, {})[3] is not None
