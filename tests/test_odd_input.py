"""Legal but odd input: each has a defined effect, and none raises."""

from dataclasses import replace

import pytest

from cleatyoke.scheduling.actions import Reject, SendAttempt
from cleatyoke.scheduling.events import AttemptFinished, AttemptOutcome, EndpointState
from cleatyoke.simulator import read_entry, read_settings
from tests.host import Host, class_spec, entry, plan_spec, settings


def test_one_host_has_all_that_a_cold_node_bears() -> None:
    host = Host(settings(front_count=1), [entry(1, 1, up_since=99.9)])
    host.ask("a")
    host.run_until(101.9)
    assert host.sent() == ["a"]


@pytest.mark.parametrize("hosts", [0, -1])
def test_an_unknown_number_of_hosts_is_not_one(hosts: int) -> None:
    """A warm node is sent to at once; of what a cold one bears no part is known to be this host's, so that it
    goes by what comes within reserves, which all hosts' add up to what the node serves."""
    host = Host(settings(front_count=hosts), [entry(1, 1), entry(2, 2, up_since=99.9)])
    assert host.ask("warm") == [SendAttempt("warm", 1)]
    host.ask("cold", shard=2)
    host.run_until(100.4)
    assert host.sent() == ["warm"]
    for number in range(100):
        host.ask(f"r{number}", shard=2, units=1.0)
        host.run_until(host.now + 0.1)
        for name in [name for name, held in host.scheduler.requests.items() if held.in_flight]:
            host.end(name, AttemptOutcome.SERVED, node_id=2)
    assert 10 <= len(host.sent()) < 100


@pytest.mark.parametrize("hosts", [0, -1, 99])
def test_a_volume_has_between_one_and_all_hosts(hosts: int) -> None:
    host = Host(settings(front_count=4), [entry(1, 1)])
    host.ask("a", front_count=hosts)
    assert host.scheduler.requests["a"].front_count == (4 if hosts == 99 else 1)


def test_a_request_of_no_units_is_served() -> None:
    host = Host(settings(), [entry(1, 1)])
    host.ask("a", units=0.0)
    host.end("a", AttemptOutcome.SERVED)
    assert host.sent() == ["a"]
    assert not host.scheduler.requests


def test_a_node_without_a_cell_takes_new_objects_only() -> None:
    host = Host(settings(), [entry(1, None)])
    host.step(host.arrival("new", shard=None), host.arrival("old", shard=5))
    assert host.sent() == ["new"]
    host.end("new", AttemptOutcome.SERVED)
    assert read_entry({"Shelf": 3, "StageState": "live"}).shard is None


def test_a_node_listed_twice_stands_as_named_last() -> None:
    host = Host(settings(), [entry(1, 1), entry(1, 1, EndpointState.DRAINING)])
    host.ask("a")
    assert host.sent() == []


def test_an_outcome_for_an_unknown_attempt_changes_nothing() -> None:
    host = Host(settings(), [entry(1, 1)])
    host.ask("a")
    odd = AttemptFinished("a", 7, 1, AttemptOutcome.ERROR, 0.1, False)
    assert host.step(odd, replace(odd, request_id="never")) == []
    host.end("a", AttemptOutcome.SERVED)
    assert not host.scheduler.requests


def test_what_can_earn_nothing_is_not_sent_but_answered() -> None:
    config = settings([class_spec(late_value=0.0)], [plan_spec(reserved_rate=0.0)], unreserved_value=0.0)
    host = Host(config, [entry(1, 1)])
    assert host.ask("a") == [Reject("a")]


def test_absent_and_null_settings_mean_no_such_figure() -> None:
    lane = {"AimS": 0.5, "Worth": 1.0, "Repeat": "repeatable", "Later": 3}
    facts = {
        "Lanes": [lane],
        "Contracts": [{"WorthFactor": 1.0, "Proportion": 1.0, "Limit": None}],
        "Safety": None,
        "PolicyLimits": {"SendCap": 3, "Cancel": None},
        "New": {},
    }
    host = Host(read_settings(facts, 1), [entry(1, 1, up_since=99.0)])
    host.ask("a")
    host.run_until(102.0)
    assert [action for action in host.log if isinstance(action, Reject)] == [Reject("a")]
