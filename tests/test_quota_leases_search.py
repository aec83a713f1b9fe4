"""An exhaustive search of all states that three fronts with quota leases can reach under a few faults."""

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
from cleatyoke.membership.wire import HOME_PARTS, LeaseGrant, LeaseRequest, MemberId
from tests.quota_lease_variants import EndsAfterGrant, KeptOverRestart

FRONTS = 3
PAUSE = 3  # seconds
BUSY_DEMAND = 1500.0  # parts of a home quota
IDS = [MemberId(str(front), 1) for front in range(FRONTS)]
RESTART, PAUSED, LOST, DUPLICATED = "restart", "stop", "lost", "doubled"


@dataclass(frozen=True)
class Message:
    """A message in flight; fronts by number."""

    source: int
    target: int
    body: LeaseRequest | LeaseGrant


@dataclass(frozen=True)
class State:
    """All fronts at the end of a second."""

    leases: list[QuotaLeases]
    flight: list[Message]
    now: int
    faults_done: frozenset[str]
    paused: int  # a front; -1: none
    paused_until: int


def terms_in_seconds(duration: float) -> LeaseTerms:
    """Terms for whole seconds and exact clocks."""
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
    """One second on: the first ``arriving`` messages reach their fronts, then every running front steps."""
    leases = copy.deepcopy(state.leases)
    coming, flight = state.flight[:arriving], list(state.flight[arriving:])
    busy = 0 if state.now < 5 else 1
    for front, one in enumerate(leases):
        mine = [message for message in coming if message.target == front]
        if front == state.paused and state.now < state.paused_until:
            flight += mine
            continue
        events: list[LeaseEvent] = [LeaseMessageReceived(IDS[one.source], one.body) for one in mine]
        events.append(PeersChanged(tuple(id for id in IDS if id.name != str(front))))
        events.append(DemandChanged({RESOURCE: BUSY_DEMAND if front == busy else 0.0}))
        for action in one.step(float(state.now), events):
            flight.append(Message(front, int(action.receiver.name), action.message))
    return replace(state, leases=leases, flight=flight, now=state.now + 1)


def restart(state: State, front: int, make: type[QuotaLeases], terms: LeaseTerms) -> State:
    """A new incarnation of a front. Messages of and to the old one are nobody's any more."""
    leases = list(state.leases)
    leases[front] = make(float(state.now), random.Random(1), terms)
    flight = [one for one in state.flight if front not in (one.source, one.target)]
    return replace(state, leases=leases, flight=flight, faults_done=state.faults_done | {RESTART})


def following_states(
    state: State, make: type[QuotaLeases], terms: LeaseTerms, faults: frozenset[str]
) -> Iterator[State]:
    """Each state that one more second may bring.

    Messages in flight arrive or wait. Each fault among ``faults`` happens once in all: a message is lost or
    duplicated, a front is restarted or paused.
    """
    flight, done = state.flight, state.faults_done
    for arriving in {len(flight), 0}:
        yield advance(state, arriving)
    if flight and LOST in faults - done:
        yield advance(replace(state, flight=flight[1:], faults_done=done | {LOST}), len(flight) - 1)
    if flight and DUPLICATED in faults - done:
        twice = replace(state, flight=[*flight, flight[0]], faults_done=done | {DUPLICATED})
        yield advance(twice, len(flight))
    for front in range(FRONTS):
        if RESTART in faults - done:
            yield advance(restart(state, front, make, terms), len(flight))
        if PAUSED in faults - done:
            paused = replace(state, paused=front, paused_until=state.now + PAUSE, faults_done=done | {PAUSED})
            yield advance(paused, len(flight))


def usable_together(state: State) -> int:
    """The parts that all running fronts may use."""
    return sum(
        one.usable_parts(RESOURCE, float(state.now))
        for front, one in enumerate(state.leases)
        if front != state.paused or state.now > state.paused_until
    )


def search(make: type[QuotaLeases], duration: float, seconds: int, faults: str) -> tuple[int, int]:
    """How many states there are, and the most parts that all together could use in any."""
    terms = terms_in_seconds(duration)
    leases = [make(-100.0, random.Random(1), terms) for _ in range(FRONTS)]
    states = [State(leases, [], 0, frozenset(), -1, 0)]
    count, most = 1, 0
    for _ in range(seconds):
        found: dict[bytes, State] = {}
        for state in states:
            for following in following_states(state, make, terms, frozenset(faults.split())):
                found.setdefault(pickle.dumps(following), following)
        states = list(found.values())
        count += len(states)
        most = max(most, *(usable_together(state) for state in states))
        if most > FRONTS * HOME_PARTS:
            break
    return count, most


SEARCHES = ((6.0, 6, "restart lost doubled"), (3.0, 7, "stop lost doubled"))


@pytest.mark.parametrize(("duration", "seconds", "faults"), SEARCHES)
def test_no_state_that_can_be_reached_holds_more_than_the_whole(
    duration: float, seconds: int, faults: str
) -> None:
    """A message is lost and one duplicated, a front restarts or is paused, each at any moment."""
    states, most = search(QuotaLeases, duration, seconds, faults)
    assert states > 500
    assert most == FRONTS * HOME_PARTS


@pytest.mark.parametrize(("make", "place"), [(KeptOverRestart, 0), (EndsAfterGrant, 1)])
def test_the_search_finds_wrong_variants(make: type[QuotaLeases], place: int) -> None:
    assert search(make, *SEARCHES[place])[1] > FRONTS * HOME_PARTS
