"""Unusual but valid input has a defined effect and raises nothing."""

from dataclasses import replace

import pytest

from cleatyoke.config.settings import read_settings
from cleatyoke.scheduling.actions import (
    Reject,
)
from cleatyoke.scheduling.events import (
    AttemptFinished,
    AttemptOutcome,
    EndpointState,
)
from cleatyoke.simulator import read_entry
from tests.driven_front import DrivenFront, class_spec, endpoint, plan_spec, settings


@pytest.mark.parametrize("fronts", [0, -1, 99])
def test_front_count_of_volume_is_clamped_between_one_and_all_fronts(fronts: int) -> None:
    front = DrivenFront(settings(front_count=4), [endpoint(1, 1)])
    front.request("a", front_count=fronts)
    assert front.scheduler.requests["a"].front_count == (4 if fronts == 99 else 1)


def test_request_of_zero_units_is_served() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1)])
    front.request("a", units=0.0)
    front.finish("a", AttemptOutcome.SERVED)
    assert front.sent() == ["a"]
    assert not front.scheduler.requests


def test_node_without_shard_takes_new_objects_only() -> None:
    front = DrivenFront(settings(), [endpoint(1, None)])
    front.step(front.arrival("new", shard=None), front.arrival("old", shard=5))
    assert front.sent() == ["new"]
    front.finish("new", AttemptOutcome.SERVED)
    assert read_entry({"Shelf": 3, "StageState": "live"}).shard is None


def test_node_listed_twice_has_its_last_state() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1), endpoint(1, 1, EndpointState.DRAINING)])
    front.request("a")
    assert front.sent() == []


def test_outcome_of_unknown_attempt_changes_nothing() -> None:
    front = DrivenFront(settings(), [endpoint(1, 1)])
    front.request("a")
    unknown_attempt = AttemptFinished("a", 7, 1, AttemptOutcome.ERROR, 0.1, False)
    assert front.step(unknown_attempt, replace(unknown_attempt, request_id="never")) == []
    front.finish("a", AttemptOutcome.SERVED)
    assert not front.scheduler.requests


def test_request_without_value_is_rejected_without_attempt() -> None:
    config = settings([class_spec(late_value=0.0)], [plan_spec(reserved_rate=0.0)], unreserved_value=0.0)
    front = DrivenFront(config, [endpoint(1, 1)])
    assert front.request("a") == [Reject("a")]


def test_absent_and_null_settings_disable_their_rules() -> None:
    request_class = {"AimS": 0.5, "Worth": 1.0, "Repeat": "repeatable", "Later": 3}
    config_table = {
        "Lanes": [request_class],
        "Contracts": [{"WorthFactor": 1.0, "Proportion": 1.0, "Limit": None}],
        "Safety": None,
        "PolicyLimits": {"SendCap": 3, "Cancel": None},
        "New": {},
    }
    front = DrivenFront(read_settings(config_table, 1), [endpoint(1, 1, started_at=99.0)])
    front.request("a")
    front.run_until(102.0)
    assert [action for action in front.log if isinstance(action, Reject)] == [Reject("a")]
