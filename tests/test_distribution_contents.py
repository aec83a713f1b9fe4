"""Delivered entries at a front: settings in force, rejected changes, and nodes."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from cleatyoke.config.addresses import Address
from cleatyoke.config.fronts_file import DistributionSettings
from cleatyoke.distribution.contents import (
    DistributedSettings,
    lane_of,
    listed_nodes,
    settings_entries,
)
from cleatyoke.distribution.errors import InvalidValueError
from cleatyoke.distribution.records import Entry, Lane, Version
from cleatyoke.distribution.subscriber_messages import DeliverChanges
from cleatyoke.distribution.subscription import Subscription
from cleatyoke.process.faults import Faults
from cleatyoke.process.metrics import Metrics


def entry(key: str, number: int, value: Any) -> Entry:
    return Entry(key, Version(1, number), None if value is None else json.dumps(value).encode())


def test_settings_entry_overrides_the_complete_settings_until_removed() -> None:
    empty = DistributedSettings()
    assert empty.merged({"a": 1}) == {"a": 1}
    overridden = empty.with_entries([entry("settings/b", 2, 5)])
    assert overridden.merged({"a": 1}) == {"a": 1, "b": 5}
    assert empty.merged({"a": 1}) == {"a": 1}
    complete = overridden.with_entries([entry("settings", 3, {"b": 1, "c": 2})])
    assert complete.merged({"a": 1}) == {"b": 5, "c": 2}
    assert complete.version == Version(1, 3)
    assert complete.with_entries([entry("settings/b", 4, None)]).merged({}) == {"b": 1, "c": 2}
    with pytest.raises(InvalidValueError, match="settings"):
        complete.with_entries([entry("settings", 5, [1])]).merged({})
    mixed = [entry("settings/x", 9, 1), entry("nodes/a", 8, {}), entry("settings", 7, {})]
    assert [one.key for one in settings_entries(mixed)] == ["settings", "settings/x"]


def test_subscription_with_an_invalid_change_applies_the_others() -> None:
    """Three changes arrive together and one is not valid: the others must be applied."""
    applied: list[dict[str, Any]] = []

    def apply(settings: DistributedSettings) -> str:
        merged = settings.merged({})
        if merged.get("bad"):
            return "bad: is never valid"
        applied.append(merged)
        return ""

    async def deliver() -> Subscription:
        relays = DistributionSettings("d", [Address("127.0.0.1", 1)], [], False, 2.0, 2300.0)
        subscription = Subscription(relays, "n", 1, Faults(Metrics()), apply, lambda _: None)
        entries = [entry("settings/bad", 2, 1), entry("settings/a", 1, 1), entry("settings/c", 3, 3)]
        subscription.handle_action(DeliverChanges(Lane.SETTINGS, entries))
        subscription.handle_action(DeliverChanges(Lane.SETTINGS, [entry("settings/a", 4, 2)]))
        return subscription

    status = asyncio.run(deliver()).status
    assert applied == [{"a": 1}, {"a": 1, "c": 3}, {"a": 2, "c": 3}]
    assert status.in_force == Version(1, 4)
    assert [(key, one.version.number, one.reason) for key, one in status.rejected.items()] == [
        ("settings/bad", 2, "bad: is never valid")
    ]
    assert "config.refused.settings/bad=2 bad: is never valid" in status.lines(0.0)


def test_listed_nodes_reports_the_keys_of_invalid_nodes() -> None:
    invalid = Entry("nodes/x", Version(1, 1), b"{")
    nodes, invalid_keys = listed_nodes([entry("nodes/a", 1, {"x": 1}), invalid, entry("nodes/b", 2, None)])
    assert (nodes, invalid_keys) == ([{"x": 1}], ["nodes/x"])
    assert lane_of("nodes/a") is Lane.NODES
    assert lane_of("settings/a") is Lane.SETTINGS
