"""Scenario files: errors name the invalid key."""

from __future__ import annotations

import unittest

import pytest

from cleatyoke.config.errors import ConfigError
from cleatyoke.testbed.scenario_file import parse_scenario


class ScenarioFileTests(unittest.TestCase):
    def test_invalid_key_is_named_in_the_error(self) -> None:
        valid = {"fleet": {"fronts": 2, "boxes": 4, "seconds": 3.0}, "load": {"rate": 10}}
        assert parse_scenario("x", valid).load.volumes == 16
        for change, message in (
            ({"load": {"rate": 0}}, "x: load.rate: want a positive"),
            ({"load": {"rate": 5, "speed": 1}}, "x: load.speed: unknown key"),
            ({"trouble": [{"at": 1, "kind": "flood"}]}, "kind: want one of"),
            ({"trouble": [{"at": 1, "kind": "slow", "of": [4]}]}, "of: want numbers from 0 to 3"),
            ({"trouble": [{"at": 1, "kind": "slow", "zone": "attic"}]}, "zone: want one of"),
            ({"class": [{"name": "a", "repeat": "twice"}]}, r"class\[0\].repeat: want one of"),
            ({"plan": [{"name": "p"}, {"name": "q", "limits": 3}]}, r"plan\[1\].limits: unknown key"),
            ({"terms": {"attempts": 0}}, "terms.attempts: want a whole number"),
        ):
            with pytest.raises(ConfigError, match=message):
                parse_scenario("x", {**valid, **change})
