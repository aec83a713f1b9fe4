"""Tests that errors in the configuration and in the fronts file name the invalid key."""

from __future__ import annotations

import json
import tempfile
import unittest
import unittest.mock
from pathlib import Path
from typing import Any

import pytest

from cleatyoke.config.addresses import Address
from cleatyoke.config.deployment import read_config
from cleatyoke.config.errors import ConfigError
from cleatyoke.config.fronts_file import read_fronts_file
from tests.http_case import (
    ROOT,
)
from tests.scripted_peers import FACTS


class SettingsErrorTests(unittest.TestCase):
    def test_config_with_an_invalid_value_raises_an_error_that_names_the_key(self) -> None:
        valid: dict[str, Any] = {"name": "n", "listen": "h:1", "discovery": "h:2", "settings": FACTS}
        invalid_classes = [{**FACTS["Lanes"][0], "Repeat": "sometimes"}]
        cases: list[tuple[dict[str, Any], str]] = [
            ({"seed": "xyz"}, "seed:"),
            ({"settings": {**FACTS, "Lanes": invalid_classes}}, "settings.Lanes[0].Repeat:"),
            ({"settings": {**FACTS, "PolicyLimits": {}}}, "settings.PolicyLimits.SendCap: missing"),
            ({"limits": {"sockets": "many"}}, "limits.sockets:"),
            ({"settings": {**FACTS, "Lanes": [{**FACTS["Lanes"][0], "AimS": 0}]}}, "settings.Lanes[0].AimS:"),
            (
                {"settings": {**FACTS, "Lanes": [{**FACTS["Lanes"][0], "GiveUpS": -1}]}},
                "settings.Lanes[0].GiveUpS:",
            ),
            ({"settings": {**FACTS, "PolicyLimits": {"SendCap": 0}}}, "settings.PolicyLimits.SendCap:"),
            ({"settings": {}}, "settings.PolicyLimits: missing"),
        ]
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            for change, expected_prefix in cases:
                path.write_text(json.dumps({**valid, **change}))
                with pytest.raises(ConfigError) as raised:
                    read_config({"RELAY_CONFIG": str(path)})
                assert str(raised.value).startswith(expected_prefix), raised.value

    def test_fronts_file_is_disabled_as_shipped_and_validated_when_enabled(self) -> None:
        shipped = ROOT / "deploy" / "fronts.toml"
        classes, plans = {"tile-read": 0, "record-write": 1}, {"public": 0}
        assert read_fronts_file(shipped, classes, plans) == (None,) * 5
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "fronts.toml"
            path.write_text(shipped.read_text().replace("enabled = false", "enabled = true"))
            sftp, vrrp, metrics, _, relays = read_fronts_file(path, classes, plans)
            assert sftp
            assert vrrp
            assert relays
            assert (relays.relays, relays.other_relays) == ([Address("127.0.0.2", 7951)], [])
            assert metrics == Address("127.0.0.1", 9464)
            assert (sftp.volumes[0].prefix, vrrp.advertisement_interval) == ("/plats", 1.0)
            path.write_text(path.read_text().replace("unit_bytes", "unit_byte"))
            with pytest.raises(ConfigError, match=r"^fronts.toml: sftp.unit_byte: unknown key"):
                read_fronts_file(path, classes, plans)
