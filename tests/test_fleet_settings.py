"""The settings of a fleet: off means not imported, and each key is checked and named."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from cleatyoke.admin.control import ControlCommands, answer_command
from cleatyoke.config.errors import ConfigError
from cleatyoke.config.fronts_file import read_fronts_file

ROOT = Path(__file__).resolve().parent.parent
GOOD = {"enabled": "true", "deployment": '"d"', "listen": '"127.0.0.1:7"', "seeds": "[]"}


def write_fronts(path: Path, keys: dict[str, str]) -> Path:
    path.write_text("[fleet]\n" + "\n".join(f"{name} = {text}" for name, text in keys.items()))
    return path


def test_nothing_of_it_is_imported_while_it_is_off_and_operators_are_told_so() -> None:
    look = (
        "import sys, cleatyoke.__main__; sys.exit(any(name.startswith(('cleatyoke.fleet', 'msgspec', "
        "'cleatyoke.membership', 'cleatyoke.coordination', 'cleatyoke.emulation')) "
        "for name in sys.modules))"
    )
    assert subprocess.run([sys.executable, "-c", look], cwd=ROOT).returncode == 0
    off = ControlCommands(lambda: True, list, bool, bool, lambda: None, lambda: None)
    assert answer_command(off, "show-fleet") == ["FAILURE no view of the fleet is kept"]


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
def test_a_key_with_a_bad_value_is_named(tmp_path: Path, key: str, value: str) -> None:
    path = write_fronts(tmp_path / "fronts.toml", {**GOOD, key: value})
    with pytest.raises(ConfigError, match=f"^fronts.toml: fleet.{key}:"):
        read_fronts_file(path, {}, {})


def test_good_keys_are_accepted(tmp_path: Path) -> None:
    assert read_fronts_file(write_fronts(tmp_path / "fronts.toml", GOOD), {}, {})[3] is not None
