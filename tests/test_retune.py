"""Settings that change at SIGHUP: classes come and go, attempts are fewer, a broken file changes nothing."""

from __future__ import annotations

import copy
import json
import signal
import tempfile
import unittest
from pathlib import Path
from typing import Any

import aiohttp

from cleatyoke.config.deployment import ConfigError, read_config
from cleatyoke.config.reload import IndexAllocator, missing, shape
from cleatyoke.scheduling.actions import FailRequest, Reject, SendAttempt
from cleatyoke.scheduling.events import AttemptOutcome, SettingsReloaded
from cleatyoke.scheduling.settings import Idempotency
from tests.host import Host, class_spec, entry, settings
from tests.http_case import HEADERS, TARGET, DaemonCase
from tests.http_case import listing_entry as listed
from tests.wire import FACTS, DiscoveryAgent, ScriptedHttpBackend, answer


class PlacesCase(unittest.TestCase):
    def test_a_name_keeps_its_place_and_one_that_is_gone_leaves_it_retired(self) -> None:
        places = IndexAllocator.of(["read", "write"]).follow(["scan", "write"])
        assert (places.live, places.retired()) == ({"scan": 2, "write": 1}, {0})
        assert places.arrange(["r", "w"], ["scan", "write"], ["s", "W"]) == ["r", "W", "s"]
        back = places.follow(["read"])
        assert (back.live, back.retired()) == ({"read": 0}, {1, 2})
        assert back.arrange(["r", "W", "s"], ["read"], ["R"]) == ["R", "W", "s"]

    def test_a_key_that_the_file_had_is_missed_in_every_depth(self) -> None:
        old = {"a": {"b": [{"x": 1, "y": 2}, {"x": 1}]}, "c": None}
        assert shape(old) == {"a", "a.b", "a.b[].x", "c"}
        assert missing(shape(old), shape({"a": {"b": [{"x": 1}, {"y": 1}]}, "c": 2})) == "a.b[].x"
        assert missing(shape(old), shape({"a": {"b": [{"x": 5, "z": 1}]}, "c": 1, "d": 1})) is None


class PolicyCase(unittest.TestCase):
    def host(self) -> Host:
        return Host(settings([class_spec(), class_spec()], front_count=1), [entry(1, 1), entry(2, 2)])

    def test_a_new_class_is_served_at_once_by_its_own_effect_and_the_bounds_still_add_up(self) -> None:
        host = self.host()
        kinds = [
            class_spec(),
            class_spec(),
            class_spec(idempotency=Idempotency.NOT_IDEMPOTENT, priority_weight=3.0),
        ]
        host.step(SettingsReloaded(settings(kinds, front_count=1)))
        self.assertAlmostEqual(sum(host.policy.bounds), 1.0)
        assert SendAttempt("n", 1) in host.ask("n", class_index=2)
        host.now += 0.05
        assert FailRequest("n") in host.end("n", AttemptOutcome.CONNECTION_RESET)  # it may have run
        host.run_until(host.now + 5)  # control rounds with the new class
        assert SendAttempt("m", 1) in host.ask("m", class_index=2)

    def test_what_is_under_way_keeps_its_class_and_a_class_that_is_gone_gives_its_bound_back(self) -> None:
        host = self.host()
        host.ask("old", class_index=1)
        gone = [class_spec(), class_spec(latency_objective=0.001, priority_weight=1e-9)]
        host.step(SettingsReloaded(settings(gone, front_count=1), frozenset({1})))
        assert host.policy.bounds == [1.0, 0.0]
        assert host.policy.requests["old"].kind.latency_objective == class_spec().latency_objective
        host.end("old", AttemptOutcome.QUEUE_FULL)
        host.run_until(host.now + 0.2)
        assert host.sent().count("old") == 2  # turned away unrun, it is sent again
        host.end("old", AttemptOutcome.SERVED)
        host.run_until(host.now + 4)
        assert host.policy.bounds[1] < 0.06
        host.step(SettingsReloaded(settings([class_spec(), class_spec()], front_count=1)))  # it comes back
        assert host.policy.bounds[1] > 0.3

    def test_fewer_attempts_bind_what_is_under_way(self) -> None:
        host = self.host()
        host.ask("a")
        host.step(SettingsReloaded(settings([class_spec(), class_spec()], front_count=1, max_attempts=1)))
        assert any(isinstance(one, Reject) for one in host.end("a", AttemptOutcome.QUEUE_FULL))
        assert host.sent().count("a") == 1


class FileCase(unittest.TestCase):
    def setUp(self) -> None:
        self.values: dict[str, Any] = {
            "name": "n",
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:1",
            "settings": FACTS,
        }

    def read(self, values: Any) -> Any:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            path.write_text(values if isinstance(values, str) else json.dumps(values))
            return read_config({"RELAY_CONFIG": str(path)})

    def test_a_file_that_lacks_any_key_or_has_a_figure_that_cannot_be_changes_nothing(self) -> None:
        config = self.read(self.values)
        before = copy.deepcopy(config)
        text = json.dumps(self.values)
        broken: list[Any] = ["", text[: len(text) // 2], "[]", "null"]

        def without(value: Any, path: list[Any]) -> Any:
            if isinstance(value, dict):
                for key in value:
                    broken.append((path, key))
                    without(value[key], [*path, key])
            elif isinstance(value, list) and all(isinstance(one, dict) for one in value):
                for place, one in enumerate(value):
                    without(one, [*path, place])

        without(self.values, [])
        for key, figure in (("AimS", 0), ("GiveUpS", -1), ("GiveUpS", "1.5"), ("AimS", None)):
            broken.append((["settings", "Lanes", 0], key, figure))
        broken.append((["settings", "PolicyLimits"], "SendCap", 0))
        for one in broken:
            values: Any = one
            if isinstance(one, tuple):
                values = copy.deepcopy(self.values)
                subject = values
                for step in one[0]:
                    subject = subject[step]
                if len(one) == 2:
                    del subject[one[1]]
                else:
                    subject[one[1]] = one[2]
            with self.assertRaises(ConfigError, msg=str(one)):
                config.reload(self.read(values))
            assert config == before, one
        assert len(broken) > 30

    def test_classes_come_and_go_by_name_with_all_that_hangs_on_their_place(self) -> None:
        config = self.read(self.values)
        new = copy.deepcopy(self.values)
        scan = {"Name": "scan", "AimS": 0.7, "GiveUpS": 2.5, "Repeat": "once", "Worth": 9.0}
        new["settings"]["Lanes"] = [scan, new["settings"]["Lanes"][0]]
        new["settings"]["PolicyLimits"]["SendCap"] = 2
        new["settings"]["Extra"] = {"ChangesData": [True, False]}
        taken = config.reload(self.read(new))
        assert (taken.retired, taken.waiting) == ({1}, [])
        assert config.classes == {"scan": 2, "tile-read": 0}
        assert (config.give_up, config.writes) == ([1.5, 1.5, 2.5], [False, None, True])
        assert [kind.latency_objective for kind in config.settings.classes] == [0.5, 0.5, 0.7]
        assert (config.settings.max_attempts, config.notice()) == (2, 3.2)
        assert config.reload(self.read(new)).retired is None  # the same again is no change
        new["settings"]["Lanes"].append({**scan, "Name": "more"})  # and the list of writes stays behind
        config.reload(self.read(new))
        assert config.writes == [False, None, True, None]


class Story(DaemonCase):
    async def test_a_class_that_comes_at_sighup_is_served_and_one_that_goes_is_not(self) -> None:
        async def script(trace: str) -> bytes:
            return answer()

        box: ScriptedHttpBackend = await ScriptedHttpBackend(script).start()
        known = {"generation": 1, "reset": True, "instances": [listed("SERVING", box.port)]}
        agent = await DiscoveryAgent(known, []).start()
        with tempfile.TemporaryDirectory() as folder:
            daemon = await self.start_daemon(folder, known=known, discovery=f"127.0.0.1:{agent.port}")
            line = await self.wait_for_line(daemon, b"event='ready'")
            url = f"http://127.0.0.1:{int(line.split(b'port=')[1].split(b')')[0])}{TARGET}"
            path = Path(folder) / "config.json"
            values = json.loads(path.read_text())
            values["settings"]["Lanes"][0]["Name"] = "scan"

            async def ask(client: aiohttp.ClientSession, name: str, trace: str) -> int:
                headers = {**HEADERS, "X-Qos": name, "X-Trace-Id": trace}
                async with client.get(url, headers=headers) as response:
                    return response.status

            async with aiohttp.ClientSession() as client:
                assert await ask(client, "tile-read", "a") == 200
                assert await ask(client, "scan", "b") == 400
                path.write_text(json.dumps(values))
                daemon.send_signal(signal.SIGHUP)
                assert b"retuned=True" in await self.wait_for_line(daemon, b"event='reloaded'")
                assert await ask(client, "scan", "c") == 200
                assert await ask(client, "tile-read", "d") == 400
                values["settings"]["Extra"] = {"ChangesData": [False]}  # says nothing of the second
                path.write_text(json.dumps(values))
                daemon.send_signal(signal.SIGHUP)
                await self.wait_for_line(daemon, b"event='reloaded'")
                assert await ask(client, "record-write", "w") == 200
                path.write_text(path.read_text()[:-9])
                daemon.send_signal(signal.SIGHUP)
                await self.wait_for_line(daemon, b"event='reload_failed'")
                assert await ask(client, "scan", "e") == 200
            daemon.terminate()
            assert await daemon.wait() == 0
        box.stop()
        agent.stop()
