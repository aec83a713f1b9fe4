"""Tests for the reload of settings at SIGHUP: changed classes, fewer attempts, and invalid files."""

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
from tests.http_case import HEADERS, TARGET, DaemonCase, listing_entry
from tests.scripted_peers import FACTS, ScriptedDiscovery, ScriptedHttpBackend, answer

REMOVED = object()


def all_key_paths(value: Any, path: tuple[Any, ...] = ()) -> Iterator[list[Any]]:
    """Yield the paths of all keys of a file, in its tables and lists of tables."""
    if isinstance(value, dict):
        for key in value:
            yield [*path, key]
            yield from all_key_paths(value[key], (*path, key))
    elif isinstance(value, list) and all(isinstance(item, dict) for item in value):
        for index, item in enumerate(value):
            yield from all_key_paths(item, (*path, index))


def with_value(values: dict[str, Any], path: list[Any], to: Any = REMOVED) -> dict[str, Any]:
    """Return the file's values with another value at this path, or without the key."""
    values = copy.deepcopy(values)
    table: Any = values
    for step in path[:-1]:
        table = table[step]
    if to is REMOVED:
        del table[path[-1]]
    else:
        table[path[-1]] = to
    return values


class IndexAllocatorTest(unittest.TestCase):
    def test_index_allocator_with_other_names_keeps_indexes_and_retires_removed_ones(self) -> None:
        names = IndexAllocator.for_names(["read", "write"]).with_names(["scan", "write"])
        assert (names.indexes, names.retired_indexes()) == ({"scan": 2, "write": 1}, {0})
        assert names.arrange(["r", "w"], ["s", "W"]) == ["r", "W", "s"]
        back = names.with_names(["read"])
        assert (back.indexes, back.retired_indexes()) == ({"read": 0}, {1, 2})
        assert back.arrange(["r", "W", "s"], ["R"]) == ["R", "W", "s"]

    def test_first_missing_key_in_nested_tables_is_found_at_every_depth(self) -> None:
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

    def test_reload_with_a_new_class_serves_it_at_once_by_its_own_idempotency(self) -> None:
        front = self.front()
        new_classes = [
            class_spec(),
            class_spec(),
            class_spec(idempotency=Idempotency.NOT_IDEMPOTENT, priority_weight=3.0),
        ]
        front.step(SettingsReloaded(settings(new_classes, front_count=1)))
        assert sum(front.scheduler.rules.concurrency.slot_shares) == pytest.approx(1.0, rel=0, abs=5e-8)
        assert SendAttempt("n", 1) in front.request("n", class_index=2)
        front.now += 0.05
        assert FailRequest("n") in front.finish("n", AttemptOutcome.CONNECTION_RESET)  # it may have run
        front.run_until(front.now + 5)  # control rounds with the new class
        assert SendAttempt("m", 1) in front.request("m", class_index=2)

    def test_reload_without_a_class_keeps_its_requests_in_flight_and_frees_its_slots(self) -> None:
        """A class is removed while one of its requests is in flight, which keeps the rules of that class."""
        front = self.front()
        front.request("old", class_index=1)
        new_classes = [class_spec(), class_spec(latency_objective=0.001, priority_weight=1e-9)]
        front.step(SettingsReloaded(settings(new_classes, front_count=1), frozenset({1})))
        assert front.scheduler.rules.concurrency.slot_shares == [1.0, 0.0]
        assert (
            front.scheduler.requests["old"].request_class.latency_objective == class_spec().latency_objective
        )
        front.finish("old", AttemptOutcome.QUEUE_FULL)
        front.run_until(front.now + 0.2)
        assert front.sent().count("old") == 2  # rejected by the node, and retried
        front.finish("old", AttemptOutcome.SERVED)
        front.run_until(front.now + 4)
        assert front.scheduler.rules.concurrency.slot_shares[1] < 0.06
        # The class is added again.
        front.step(SettingsReloaded(settings([class_spec(), class_spec()], front_count=1)))
        assert front.scheduler.rules.concurrency.slot_shares[1] > 0.3

    def test_reload_with_fewer_attempts_applies_to_requests_in_flight(self) -> None:
        front = self.front()
        front.request("a")
        front.step(SettingsReloaded(settings([class_spec(), class_spec()], front_count=1, max_attempts=1)))
        assert any(isinstance(action, Reject) for action in front.finish("a", AttemptOutcome.QUEUE_FULL))
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

    def test_reload_of_a_file_with_a_missing_key_or_invalid_value_changes_nothing(self) -> None:
        """A file that is incompletely written, or has a wrong value, is rejected as a whole."""
        config = self.read(self.values)
        before = copy.deepcopy(config)
        text = json.dumps(self.values)
        invalid_files: list[Any] = ["", text[: len(text) // 2], "[]", "null"]
        invalid_files += [with_value(self.values, path) for path in all_key_paths(self.values)]
        class_path = ["settings", "Lanes", 0]
        for key, value in (("AimS", 0), ("GiveUpS", -1), ("GiveUpS", "1.5"), ("AimS", None)):
            invalid_files.append(with_value(self.values, [*class_path, key], value))
        invalid_files.append(with_value(self.values, ["settings", "PolicyLimits", "SendCap"], 0))
        for values in invalid_files:
            with pytest.raises(ConfigError):
                config.reload(self.read(values))
            assert config == before, values
        assert len(invalid_files) > 30

    def test_reload_with_other_classes_keeps_what_is_stored_by_class_index_consistent(self) -> None:
        config = self.read(self.values)
        new = copy.deepcopy(self.values)
        scan = {"Name": "scan", "AimS": 0.7, "GiveUpS": 2.5, "Repeat": "once", "Worth": 9.0}
        new["settings"]["Lanes"] = [scan, new["settings"]["Lanes"][0]]
        new["settings"]["PolicyLimits"]["SendCap"] = 2
        new["settings"]["Extra"] = {"ChangesData": [True, False]}
        result = config.reload(self.read(new))
        assert (result.retired_classes, result.needs_restart) == ({1}, [])
        assert config.classes == {"scan": 2, "tile-read": 0}
        assert (config.client_timeouts, config.changes_data) == ([1.5, 1.5, 2.5], [False, None, True])
        assert [kind.latency_objective for kind in config.settings.classes] == [0.5, 0.5, 0.7]
        assert (config.settings.max_attempts, config.termination_grace_period()) == (2, 3.2)
        assert config.reload(self.read(new)).retired_classes is None  # an identical file changes nothing
        new["settings"]["Lanes"].append({**scan, "Name": "more"})  # and ``ChangesData`` is not extended
        config.reload(self.read(new))
        assert config.changes_data == [False, None, True, None]


class ReloadedDaemonTest(DaemonCase):
    async def test_daemon_after_sighup_serves_an_added_class_and_rejects_a_removed_one(self) -> None:
        async def script(_trace: str) -> bytes:
            return answer()

        backend: ScriptedHttpBackend = await ScriptedHttpBackend(script).start()
        known = {"generation": 1, "reset": True, "instances": [listing_entry("SERVING", backend.port)]}
        agent = await ScriptedDiscovery(known, []).start()
        with tempfile.TemporaryDirectory() as folder:
            daemon = await self.start_daemon(folder, known=known, discovery=f"127.0.0.1:{agent.port}")
            line = await self.wait_for_line(daemon, b"event='ready'")
            url = f"http://127.0.0.1:{int(line.split(b'port=')[1].split(b')')[0])}{TARGET}"
            path = Path(folder) / "config.json"
            values = json.loads(path.read_text())
            values["settings"]["Lanes"][0]["Name"] = "scan"

            async def request_status(client: aiohttp.ClientSession, name: str, trace: str) -> int:
                headers = {**HEADERS, "X-Qos": name, "X-Trace-Id": trace}
                async with client.get(url, headers=headers) as response:
                    return response.status

            async with aiohttp.ClientSession() as client:
                assert await request_status(client, "tile-read", "a") == 200
                assert await request_status(client, "scan", "b") == 400
                path.write_text(json.dumps(values))
                daemon.send_signal(signal.SIGHUP)
                assert b"retuned=True" in await self.wait_for_line(daemon, b"event='reloaded'")
                assert await request_status(client, "scan", "c") == 200
                assert await request_status(client, "tile-read", "d") == 400
                values["settings"]["Extra"] = {"ChangesData": [False]}  # has no entry for the second class
                path.write_text(json.dumps(values))
                daemon.send_signal(signal.SIGHUP)
                await self.wait_for_line(daemon, b"event='reloaded'")
                assert await request_status(client, "record-write", "w") == 200
                path.write_text(path.read_text()[:-9])
                daemon.send_signal(signal.SIGHUP)
                await self.wait_for_line(daemon, b"event='reload_failed'")
                assert await request_status(client, "scan", "e") == 200
            daemon.terminate()
            assert await daemon.wait() == 0
        backend.stop()
        agent.stop()
