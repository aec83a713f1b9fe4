"""Exhaustive search of the states that three fronts with quota leases can reach under a few faults."""

from __future__ import annotations

import copy
import pickle
import random
from collections.abc import Iterator
from dataclasses import dataclass, replace

import pytest

from cleatyoke.coordination.lease_events import DemandChanged, LeaseEvent, LeaseMessageReceived, PeersChanged
from cleatyoke.coordination.lease_terms import LeaseTerms
from cleatyoke.coordination.quota_leases import QuotaLeases
from cleatyoke.emulation.quota_leases import RESOURCE
from cleatyoke.membership.wire import HOME_QUOTA_PARTS, LeaseGrant, LeaseRequest, MemberId
from tests.quota_lease_variants import ExpiryFromGrant, FullQuotaAfterRestart

FRONTS = 3
PAUSE_SECONDS = 3
BUSY_DEMAND = 1500.0  # parts of a home quota
IDS = [MemberId(str(front), 1) for front in range(FRONTS)]
RESTART, PAUSED, LOST, DUPLICATED = "restart", "stop", "lost", "doubled"


@dataclass(frozen=True)
class Message:
    """A message in flight between two fronts, given by number."""

    source: int
    target: int
    body: LeaseRequest | LeaseGrant


@dataclass(frozen=True)
class State:
    """The state of all fronts at the end of a second."""

    leases: list[QuotaLeases]
    in_flight: list[Message]
    now: int
    faults_done: frozenset[str]
    paused: int  # number of the paused front, or -1
    paused_until: int


def terms_in_seconds(duration: float) -> LeaseTerms:
    """Lease terms for steps of whole seconds and clocks without drift."""
    return LeaseTerms(
        duration=duration,
        clock_drift=0.0,
        margin=0.0,
        demand_headroom=1.0,
        hysteresis_parts=0,
        request_timeout=duration,
        min_lease_parts=1,
    )


def advance(state: State, arriving: int) -> State:
    """Advance by one second: deliver the first ``arriving`` messages, then step every running front."""
    leases = copy.deepcopy(state.leases)
    delivered, in_flight = state.in_flight[:arriving], list(state.in_flight[arriving:])
    busy = 0 if state.now < 5 else 1
    for front, front_leases in enumerate(leases):
        received = [message for message in delivered if message.target == front]
        if front == state.paused and state.now < state.paused_until:
            in_flight += received
            continue
        events: list[LeaseEvent] = [
            LeaseMessageReceived(IDS[message.source], message.body) for message in received
        ]
        events.append(PeersChanged(tuple(id for id in IDS if id.name != str(front))))
        events.append(DemandChanged({RESOURCE: BUSY_DEMAND if front == busy else 0.0}))
        for action in front_leases.step(float(state.now), events):
            in_flight.append(Message(front, int(action.receiver.name), action.message))
    return replace(state, leases=leases, in_flight=in_flight, now=state.now + 1)


def restart(state: State, front: int, leases_type: type[QuotaLeases], terms: LeaseTerms) -> State:
    """Replace a front by a new incarnation. Messages from and to the old one are dropped."""
    leases = list(state.leases)
    leases[front] = leases_type(float(state.now), random.Random(1), terms)
    in_flight = [message for message in state.in_flight if front not in (message.source, message.target)]
    return replace(state, leases=leases, in_flight=in_flight, faults_done=state.faults_done | {RESTART})


def successor_states(
    state: State, leases_type: type[QuotaLeases], terms: LeaseTerms, faults: frozenset[str]
) -> Iterator[State]:
    """Yield each possible state one second later.

    Messages in flight all arrive or all wait. Each of ``faults`` happens at most once: a message is lost or
    duplicated, a front is restarted or paused.
    """
    in_flight, done = state.in_flight, state.faults_done
    for arriving in {len(in_flight), 0}:
        yield advance(state, arriving)
    if in_flight and LOST in faults - done:
        yield advance(replace(state, in_flight=in_flight[1:], faults_done=done | {LOST}), len(in_flight) - 1)
    if in_flight and DUPLICATED in faults - done:
        duplicated = replace(state, in_flight=[*in_flight, in_flight[0]], faults_done=done | {DUPLICATED})
        yield advance(duplicated, len(in_flight))
    for front in range(FRONTS):
        if RESTART in faults - done:
            yield advance(restart(state, front, leases_type, terms), len(in_flight))
        if PAUSED in faults - done:
            paused = replace(
                state, paused=front, paused_until=state.now + PAUSE_SECONDS, faults_done=done | {PAUSED}
            )
            yield advance(paused, len(in_flight))


def total_usable_parts(state: State) -> int:
    """Return the parts that all running fronts together may use."""
    return sum(
        leases.usable_parts(RESOURCE, float(state.now))
        for front, leases in enumerate(state.leases)
        if front != state.paused or state.now > state.paused_until
    )


def search(leases_type: type[QuotaLeases], duration: float, seconds: int, faults: str) -> tuple[int, int]:
    """Return the number of reachable states, and the most parts that all fronts may use in any of them."""
    terms = terms_in_seconds(duration)
    leases = [leases_type(-100.0, random.Random(1), terms) for _ in range(FRONTS)]
    states = [State(leases, [], 0, frozenset(), -1, 0)]
    count, most = 1, 0
    for _ in range(seconds):
        distinct: dict[bytes, State] = {}
        for state in states:
            for successor in successor_states(state, leases_type, terms, frozenset(faults.split())):
                distinct.setdefault(pickle.dumps(successor), successor)
        states = list(distinct.values())
        count += len(states)
        most = max(most, *(total_usable_parts(state) for state in states))
        if most > FRONTS * HOME_QUOTA_PARTS:
            break
    return count, most


SEARCHES = ((6.0, 6, "restart lost doubled"), (3.0, 7, "stop lost doubled"))


@pytest.mark.parametrize(("duration", "seconds", "faults"), SEARCHES)
def test_usable_parts_in_every_reachable_state_never_exceed_the_total(
    duration: float, seconds: int, faults: str
) -> None:
    """Covers a lost and a duplicated message, and a restart or a pause of a front, each in any second.

    Guards against an interleaving of these faults in which two fronts use the same parts.
    """
    states, most = search(QuotaLeases, duration, seconds, faults)
    assert states > 500
    assert most == FRONTS * HOME_QUOTA_PARTS


@pytest.mark.parametrize(("leases_type", "search_index"), [(FullQuotaAfterRestart, 0), (ExpiryFromGrant, 1)])
def test_search_of_a_faulty_variant_exceeds_the_total(
    leases_type: type[QuotaLeases], search_index: int
) -> None:
    assert search(leases_type, *SEARCHES[search_index])[1] > FRONTS * HOME_QUOTA_PARTS
