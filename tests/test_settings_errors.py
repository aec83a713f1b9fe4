"""Errors in the configuration and in the fronts file name the faulty key."""

from __future__ import annotations

import json
import tempfile
import unittest
import unittest.mock
from pathlib import Path
from typing import Any

import pytest

from cleatyoke.config.deployment import Address, ConfigError, read_config, read_fronts
from tests.http_case import (
    ROOT,
)
from tests.wire import FACTS


class SettingsErrorTests(unittest.TestCase):
    def test_errors_name_the_faulty_key(self) -> None:
        good: dict[str, Any] = {"name": "n", "listen": "h:1", "discovery": "h:2", "settings": FACTS}
        lanes = [{**FACTS["Lanes"][0], "Repeat": "tea"}]
        cases: list[tuple[dict[str, Any], str]] = [
            ({"seed": "xyz"}, "seed:"),
            ({"settings": {**FACTS, "Lanes": lanes}}, "settings.Lanes[0].Repeat:"),
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
            for change, said in cases:
                path.write_text(json.dumps({**good, **change}))
                with pytest.raises(ConfigError) as caught:
                    read_config({"RELAY_CONFIG": str(path)})
                assert str(caught.value).startswith(said), caught.value

    def test_the_fronts_file_is_off_as_shipped_and_checked_when_on(self) -> None:
        shipped = ROOT / "deploy" / "fronts.toml"
        classes, plans = {"tile-read": 0, "record-write": 1}, {"public": 0}
        assert read_fronts(shipped, classes, plans) == (None,) * 5
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "fronts.toml"
            path.write_text(shipped.read_text().replace("enabled = false", "enabled = true"))
            sftp, vrrp, metrics, _, relays = read_fronts(path, classes, plans)
            assert sftp
            assert vrrp
            assert relays
            assert (relays.relays, relays.others) == ([Address("127.0.0.2", 7951)], [])
            assert metrics == Address("127.0.0.1", 9464)
            assert (sftp.volumes[0].prefix, vrrp.interval) == ("/plats", 1.0)
            path.write_text(path.read_text().replace("unit_bytes", "unit_byte"))
            with pytest.raises(ConfigError, match=r"^fronts.toml: sftp.unit_byte: unknown key"):
                read_fronts(path, classes, plans)
