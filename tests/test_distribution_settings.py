"""Errors in the distribution's settings, options and commands, by the name of what is wrong."""

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
from tests.test_distribution_processes import facts


def test_show_config_without_a_distribution_is_a_failure() -> None:
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
def test_an_error_in_the_fronts_file_names_its_key(tmp_path: Path, line: str, key: str) -> None:
    path = tmp_path / "fronts.toml"
    path.write_text(f"[distribution]\nenabled = true\n{line}\n")
    with pytest.raises(ConfigError, match=key):
        read_fronts_file(path, {}, {})


def test_settings_that_lack_what_the_file_had_change_nothing(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    values = {"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": facts()}
    path.write_text(json.dumps(values))
    config = read_config({"RELAY_CONFIG": str(path)}, tmp_path / "none.toml")
    less = {key: value for key, value in facts().items() if key != "Safety"}
    with pytest.raises(ConfigError, match="Safety"):
        config.reload(read_config({"RELAY_CONFIG": str(path)}, tmp_path / "none.toml", lambda _: less))


@pytest.mark.parametrize(
    ("words", "begins"),
    [
        ("source", "--listen"),
        ("relay --listen here --deployment d --name r --upstream 127.0.0.1:1", "--listen"),
        ("relay --listen 127.0.0.1:0 --deployment d --name r", "--upstream"),
        ("relay --listen 127.0.0.1:0 --deployment d --name r --upstream 127.0.0.1:1 --most 0", "--most"),
        ("source --listen 127.0.0.1:0 --deployment d --folder /nowhere --epoch e", "--folder"),
        ("source --listen 127.0.0.1:0 --deployment d --folder . --epoch /nowhere/e", "--epoch"),
    ],
)
def test_a_bad_option_ends_with_one_line_that_begins_with_its_name(
    words: str, begins: str, capsys: pytest.CaptureFixture[str]
) -> None:
    before = signal.getsignal(signal.SIGHUP)
    try:
        assert main(words.split()) == 2
    finally:
        signal.signal(signal.SIGHUP, before)
    told = capsys.readouterr().err.splitlines()
    assert len(told) == 1, told
    assert told[0].startswith(begins), told
