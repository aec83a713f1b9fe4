"""Settings that change at SIGHUP: classes come and go, attempts are fewer, a broken file changes nothing."""

from __future__ import annotations

import copy
import json
import signal
import tempfile
import unittest
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import aiohttp
import pytest

from cleatyoke.config.deployment import read_config
from cleatyoke.config.errors import ConfigError
from cleatyoke.config.reload import IndexAllocator, first_missing_key, key_paths
from cleatyoke.scheduling.actions import FailRequest, Reject, SendAttempt
from cleatyoke.scheduling.events import AttemptOutcome, SettingsReloaded
from cleatyoke.scheduling.settings import Idempotency
from tests.driven_front import DrivenFront, class_spec, endpoint, settings
from tests.http_case import HEADERS, TARGET, DaemonCase
from tests.http_case import listing_entry as listed
from tests.scripted_peers import FACTS, ScriptedDiscovery, ScriptedHttpBackend, answer

REMOVED = object()


def key_places(value: Any, path: tuple[Any, ...] = ()) -> Iterator[list[Any]]:
    """Where the keys of a file stand, in its tables and lists of tables."""
    if isinstance(value, dict):
        for key in value:
            yield [*path, key]
            yield from key_places(value[key], (*path, key))
    elif isinstance(value, list) and all(isinstance(one, dict) for one in value):
        for place, one in enumerate(value):
            yield from key_places(one, (*path, place))


def changed(values: dict[str, Any], path: list[Any], to: Any = REMOVED) -> dict[str, Any]:
    """The file's values with another value at this place, or without the key."""
    values = copy.deepcopy(values)
    subject: Any = values
    for step in path[:-1]:
        subject = subject[step]
    if to is REMOVED:
        del subject[path[-1]]
    else:
        subject[path[-1]] = to
    return values


class IndexAllocatorTest(unittest.TestCase):
    def test_a_name_keeps_its_index_and_a_removed_one_leaves_it_retired(self) -> None:
        names = IndexAllocator.for_names(["read", "write"]).with_names(["scan", "write"])
        assert (names.indexes, names.retired_indexes()) == ({"scan": 2, "write": 1}, {0})
        assert names.arrange(["r", "w"], ["s", "W"]) == ["r", "W", "s"]
        back = names.with_names(["read"])
        assert (back.indexes, back.retired_indexes()) == ({"read": 0}, {1, 2})
        assert back.arrange(["r", "W", "s"], ["R"]) == ["R", "W", "s"]

    def test_a_key_that_the_file_had_is_missed_at_every_depth(self) -> None:
        old = {"a": {"b": [{"x": 1, "y": 2}, {"x": 1}]}, "c": None}
        assert key_paths(old) == {"a", "a.b", "a.b[].x", "c"}
        assert (
            first_missing_key(key_paths(old), key_paths({"a": {"b": [{"x": 1}, {"y": 1}]}, "c": 2}))
            == "a.b[].x"
        )
        assert (
            first_missing_key(key_paths(old), key_paths({"a": {"b": [{"x": 5, "z": 1}]}, "c": 1, "d": 1}))
            is None
        )


class ReloadedSchedulerTest(unittest.TestCase):
    def front(self) -> DrivenFront:
        return DrivenFront(
            settings([class_spec(), class_spec()], front_count=1), [endpoint(1, 1), endpoint(2, 2)]
        )

    def test_a_new_class_is_served_at_once_by_its_own_idempotency_and_bounds_add_up(self) -> None:
        front = self.front()
        kinds = [
            class_spec(),
            class_spec(),
            class_spec(idempotency=Idempotency.NOT_IDEMPOTENT, priority_weight=3.0),
        ]
        front.step(SettingsReloaded(settings(kinds, front_count=1)))
        assert sum(front.scheduler.rules.concurrency.slot_shares) == pytest.approx(1.0, rel=0, abs=5e-8)
        assert SendAttempt("n", 1) in front.request("n", class_index=2)
        front.now += 0.05
        assert FailRequest("n") in front.finish("n", AttemptOutcome.CONNECTION_RESET)  # it may have run
        front.run_until(front.now + 5)  # control rounds with the new class
        assert SendAttempt("m", 1) in front.request("m", class_index=2)

    def test_a_request_in_flight_keeps_its_class_and_a_removed_class_gives_its_bound_back(self) -> None:
        """A class is removed while one of its requests is in flight, which keeps the rules it came with."""
        front = self.front()
        front.request("old", class_index=1)
        gone = [class_spec(), class_spec(latency_objective=0.001, priority_weight=1e-9)]
        front.step(SettingsReloaded(settings(gone, front_count=1), frozenset({1})))
        assert front.scheduler.rules.concurrency.slot_shares == [1.0, 0.0]
        assert (
            front.scheduler.requests["old"].request_class.latency_objective == class_spec().latency_objective
        )
        front.finish("old", AttemptOutcome.QUEUE_FULL)
        front.run_until(front.now + 0.2)
        assert front.sent().count("old") == 2  # rejected by the node, it is sent again
        front.finish("old", AttemptOutcome.SERVED)
        front.run_until(front.now + 4)
        assert front.scheduler.rules.concurrency.slot_shares[1] < 0.06
        front.step(SettingsReloaded(settings([class_spec(), class_spec()], front_count=1)))  # it comes back
        assert front.scheduler.rules.concurrency.slot_shares[1] > 0.3

    def test_fewer_attempts_apply_to_requests_in_flight(self) -> None:
        front = self.front()
        front.request("a")
        front.step(SettingsReloaded(settings([class_spec(), class_spec()], front_count=1, max_attempts=1)))
        assert any(isinstance(one, Reject) for one in front.finish("a", AttemptOutcome.QUEUE_FULL))
        assert front.sent().count("a") == 1


class ReloadedFileTest(unittest.TestCase):
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

    def test_a_file_without_a_key_or_with_an_impossible_number_changes_nothing(self) -> None:
        """A file is reloaded while it is half written, or was edited wrongly: all of it is rejected."""
        config = self.read(self.values)
        before = copy.deepcopy(config)
        text = json.dumps(self.values)
        broken: list[Any] = ["", text[: len(text) // 2], "[]", "null"]
        broken += [changed(self.values, path) for path in key_places(self.values)]
        lane = ["settings", "Lanes", 0]
        for key, figure in (("AimS", 0), ("GiveUpS", -1), ("GiveUpS", "1.5"), ("AimS", None)):
            broken.append(changed(self.values, [*lane, key], figure))
        broken.append(changed(self.values, ["settings", "PolicyLimits", "SendCap"], 0))
        for values in broken:
            with pytest.raises(ConfigError):
                config.reload(self.read(values))
            assert config == before, values
        assert len(broken) > 30

    def test_classes_come_and_go_by_name_with_all_that_goes_by_their_index(self) -> None:
        config = self.read(self.values)
        new = copy.deepcopy(self.values)
        scan = {"Name": "scan", "AimS": 0.7, "GiveUpS": 2.5, "Repeat": "once", "Worth": 9.0}
        new["settings"]["Lanes"] = [scan, new["settings"]["Lanes"][0]]
        new["settings"]["PolicyLimits"]["SendCap"] = 2
        new["settings"]["Extra"] = {"ChangesData": [True, False]}
        taken = config.reload(self.read(new))
        assert (taken.retired_classes, taken.needs_restart) == ({1}, [])
        assert config.classes == {"scan": 2, "tile-read": 0}
        assert (config.client_timeouts, config.changes_data) == ([1.5, 1.5, 2.5], [False, None, True])
        assert [kind.latency_objective for kind in config.settings.classes] == [0.5, 0.5, 0.7]
        assert (config.settings.max_attempts, config.termination_grace_period()) == (2, 3.2)
        assert config.reload(self.read(new)).retired_classes is None  # the same again is no change
        new["settings"]["Lanes"].append({**scan, "Name": "more"})  # and the list of writes stays behind
        config.reload(self.read(new))
        assert config.changes_data == [False, None, True, None]


class ReloadedDaemonTest(DaemonCase):
    async def test_a_class_added_at_sighup_is_served_and_a_removed_one_is_not(self) -> None:
        async def script(_trace: str) -> bytes:
            return answer()

        box: ScriptedHttpBackend = await ScriptedHttpBackend(script).start()
        known = {"generation": 1, "reset": True, "instances": [listed("SERVING", box.port)]}
        agent = await ScriptedDiscovery(known, []).start()
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
