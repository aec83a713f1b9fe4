"""Faults that are known and not mended yet; each is listed in KNOWN-RED.txt."""

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


def test_an_answer_that_took_no_time_is_accepted() -> None:
    """The very first answer of a class comes within the clock's resolution, so that its time is 0."""
    front = DrivenFront(settings(), [endpoint(1, 0)])
    front.request("a", shard=0)
    front.finish("a", AttemptOutcome.SERVED, elapsed=0.0)
    actions = front.request("b", shard=0)
    assert "b" in [action.request_id for action in actions if isinstance(action, SendAttempt)]


def test_a_process_may_have_no_share_of_its_quotas_for_a_while() -> None:
    """Another process of the front has all of its quotas while both run; requests wait for a share."""
    plan = plan_spec(rate_limit=1.0, rate_limit_burst=1.0)
    front = DrivenFront(settings(plans=[plan]), [endpoint(1, 0)])
    front.step(QuotaShareChanged(0.0))
    sent = [action for action in front.request("a", shard=0) if isinstance(action, SendAttempt)]
    assert sent == []


def test_an_ordered_request_without_item_delays_no_unordered_one() -> None:
    """An attempt of an ordered class fails, its request names no item; others are not of its key."""
    classes = [class_spec(ordered=True), class_spec()]
    front = DrivenFront(settings(classes, safety={"ordering_pause": 1.0}), [endpoint(1, 0)])
    front.request("ordered", shard=0, item=None)
    front.finish("ordered", AttemptOutcome.CONNECTION_RESET)
    actions = front.request("other", shard=0, class_index=1)
    assert "other" in [action.request_id for action in actions if isinstance(action, SendAttempt)]


def test_a_probe_timer_of_a_stopped_instance_is_passed_over() -> None:
    """The simulator fires a timer for a probe after it has stopped the instance that set it."""
    adapter = simulator.SimulatorAdapter()
    stop: list[dict[str, Any]] = [{"type": "SHUTDOWN", "Head": 0}]
    bell = [{"type": "BELL", "Head": 0, "Ref": simulator.PROBE_TIMER_TOKEN}]
    for number, news in enumerate((born(), stop, bell)):
        reply = adapter.reply(json.dumps({"TsS": 1.0 + number, "round": number, "news": news}))
    assert reply["steps"] == []


def test_a_number_beyond_floats_is_named_by_its_key() -> None:
    """A settings file has a number that no float can hold; the start names the key, as for any bad number."""
    reader = TableReader({"Worth": 10**400}, "settings.")
    with pytest.raises(ConfigError, match=r"^settings\.Worth:"):
        reader.number("Worth")
