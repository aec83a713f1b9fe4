"""Errors in settings, options and commands of the distribution: each names the faulty key or option."""

from __future__ import annotations

import json
import signal
from pathlib import Path

import pytest

from cleatyoke.admin.control import ControlCommands, answer_command
from cleatyoke.config.deployment import read_config
from cleatyoke.config.errors import ConfigError
from cleatyoke.config.fronts_file import read_fronts_file
from cleatyoke.distribution.__main__ import main
from tests.test_distribution_processes import make_settings


def test_show_config_without_distribution_fails() -> None:
    commands = ControlCommands(
        is_ready=bool, show_stat=list, disable=bool, enable=bool, drain=lambda: None, resume=lambda: None
    )
    assert answer_command(commands, "show-config")[0].startswith("FAILURE")


@pytest.mark.parametrize(
    ("line", "key"),
    [
        ('relays = ["127.0.0.1:1"]\ndeployment = ""', "deployment"),
        ('relays = []\ndeployment = "d"', "relays"),
        ('relays = ["here"]\ndeployment = "d"', "relays"),
        ('relays = [5]\ndeployment = "d"', "relays"),
        ('relays = ["127.0.0.1:1"]\nothers = ["x"]\ndeployment = "d"', "others"),
        ('relays = ["127.0.0.1:1"]\ndeployment = "d"\npoll_s = 0', "poll_s"),
        ('relays = ["127.0.0.1:1"]\ndeployment = "d"\npoll_s = nan', "poll_s"),
        ('relays = ["127.0.0.1:1"]\ndeployment = "d"\nbytes_s = 10', "bytes_s"),
        ('relays = ["127.0.0.1:1"]\ndeployment = "d"\nodd = 10', "odd"),
    ],
)
def test_fronts_file_with_an_invalid_key_raises_an_error_with_the_key(
    tmp_path: Path, line: str, key: str
) -> None:
    path = tmp_path / "fronts.toml"
    path.write_text(f"[distribution]\nenabled = true\n{line}\n")
    with pytest.raises(ConfigError, match=key):
        read_fronts_file(path, {}, {})


def test_reload_without_a_required_key_raises_an_error(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    values = {"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": make_settings()}
    path.write_text(json.dumps(values))
    config = read_config({"RELAY_CONFIG": str(path)}, tmp_path / "none.toml")
    incomplete = {key: value for key, value in make_settings().items() if key != "Safety"}
    with pytest.raises(ConfigError, match="Safety"):
        config.reload(read_config({"RELAY_CONFIG": str(path)}, tmp_path / "none.toml", lambda _: incomplete))


@pytest.mark.parametrize(
    ("arguments", "option"),
    [
        ("source", "--listen"),
        ("relay --listen here --deployment d --name r --upstream 127.0.0.1:1", "--listen"),
        ("relay --listen 127.0.0.1:0 --deployment d --name r", "--upstream"),
        ("relay --listen 127.0.0.1:0 --deployment d --name r --upstream 127.0.0.1:1 --most 0", "--most"),
        ("source --listen 127.0.0.1:0 --deployment d --folder /nowhere --epoch e", "--folder"),
        ("source --listen 127.0.0.1:0 --deployment d --folder . --epoch /nowhere/e", "--epoch"),
    ],
)
def test_command_with_an_invalid_option_prints_one_line_with_its_name(
    arguments: str, option: str, capsys: pytest.CaptureFixture[str]
) -> None:
    before = signal.getsignal(signal.SIGHUP)
    try:
        assert main(arguments.split()) == 2
    finally:
        signal.signal(signal.SIGHUP, before)
    error_lines = capsys.readouterr().err.splitlines()
    assert len(error_lines) == 1, error_lines
    assert error_lines[0].startswith(option), error_lines
