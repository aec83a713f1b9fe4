"""Regression tests for faults of the scheduler, the simulator's adapter and the settings reader."""

from __future__ import annotations

import json
from typing import Any

import pytest

from cleatyoke import simulator
from cleatyoke.config.errors import ConfigError
from cleatyoke.config.table import TableReader
from cleatyoke.scheduling.actions import SendAttempt
from cleatyoke.scheduling.events import AttemptOutcome, QuotaShareChanged
from tests.driven_front import DrivenFront, class_spec, endpoint, plan_spec, settings
from tests.test_simulator import born


def test_answer_after_zero_seconds_is_accepted() -> None:
    """The first answer of a class arrives within the clock's resolution, so that its elapsed time is 0."""
    front = DrivenFront(settings(), [endpoint(1, 0)])
    front.request("a", shard=0)
    front.finish("a", AttemptOutcome.SERVED, elapsed=0.0)
    actions = front.request("b", shard=0)
    assert "b" in [action.request_id for action in actions if isinstance(action, SendAttempt)]


def test_process_without_quota_share_keeps_requests_queued() -> None:
    """One of two processes of a front may have all its quotas; the other's requests wait for a share."""
    plan = plan_spec(rate_limit=1.0, rate_limit_burst=1.0)
    front = DrivenFront(settings(plans=[plan]), [endpoint(1, 0)])
    front.step(QuotaShareChanged(0.0))
    sent = [action for action in front.request("a", shard=0) if isinstance(action, SendAttempt)]
    assert sent == []


def test_an_ordered_request_without_item_delays_no_unordered_one() -> None:
    """A failed attempt of an ordered class without an item must not pause requests without a key."""
    classes = [class_spec(ordered=True), class_spec()]
    front = DrivenFront(settings(classes, safety={"ordering_pause": 1.0}), [endpoint(1, 0)])
    front.request("ordered", shard=0, item=None)
    front.finish("ordered", AttemptOutcome.CONNECTION_RESET)
    actions = front.request("other", shard=0, class_index=1)
    assert "other" in [action.request_id for action in actions if isinstance(action, SendAttempt)]


def test_a_probe_timer_of_a_stopped_instance_is_passed_over() -> None:
    """The simulator may fire a probe timer after it has stopped the instance that set the timer."""
    adapter = simulator.SimulatorAdapter()
    stop: list[dict[str, Any]] = [{"type": "SHUTDOWN", "Head": 0}]
    timer_fired = [{"type": "BELL", "Head": 0, "Ref": simulator.PROBE_TIMER_TOKEN}]
    for number, events in enumerate((born(), stop, timer_fired)):
        reply = adapter.reply(json.dumps({"TsS": 1.0 + number, "round": number, "news": events}))
    assert reply["steps"] == []


def test_a_number_beyond_floats_is_named_by_its_key() -> None:
    """A number in a settings file that no float can hold is an error that names its key."""
    reader = TableReader({"Worth": 10**400}, "settings.")
    with pytest.raises(ConfigError, match=r"^settings\.Worth:"):
        reader.number("Worth")
