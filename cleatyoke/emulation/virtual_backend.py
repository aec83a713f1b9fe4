"""Backends of an emulated deployment, and what they could do over time. No sockets, no clock.

A backend has one or more incarnations: each begins when its process starts and ends when the process stops
or falls over. An incarnation that began during the run warms up first.
"""

from __future__ import annotations

from dataclasses import dataclass

from cleatyoke.discovery.directory import Instance
from cleatyoke.emulation.view import address_of
from cleatyoke.scheduling.events import EndpointState
from cleatyoke.testbed.backend_model import BackendModel
from cleatyoke.testbed.scenario import BackendCapacity

UNIX_TIME_AT_START = 1e9  # Unix time in seconds at the event loop's 0


@dataclass(slots=True)
class VirtualBackend:
    """One incarnation of a backend, as fronts see it."""

    name: str
    shard: int
    zone: str
    model: BackendModel
    state: EndpointState = EndpointState.LIVE  # as its endpoint is listed
    is_up: bool = True
    is_silent: bool = False  # it takes connections and never answers
    has_fallen: bool = False  # it was sent more than it could bear while it was warming up

    def instance(self) -> Instance:
        """Return its entry of the endpoint list."""
        started = 0.0 if self.model.started_at is None else UNIX_TIME_AT_START + self.model.started_at
        return Instance(self.name, address_of(0), self.zone, self.shard, self.state, started)


@dataclass(slots=True)
class _Incarnation:
    """When a backend of a shard ran, in seconds of the loop's time."""

    shard: int
    began: float
    born: float | None  # start of its warming up; None: it was warm already
    ended: float = float("inf")


class IncarnationHistory:
    """Every incarnation of every backend, to know afterwards what a shard could do at a moment."""

    def __init__(self, capacity: BackendCapacity) -> None:
        self._capacity = capacity
        self._incarnations: list[_Incarnation] = []

    def record_start(self, shard: int, now: float, born: float | None) -> None:
        """Note that a backend of this shard starts; ``born`` as in ``BackendModel``."""
        self._incarnations.append(_Incarnation(shard, now, born))

    def record_end(self, shard: int, now: float) -> None:
        """Note that the latest incarnation of this shard ends."""
        latest = next(one for one in reversed(self._incarnations) if one.shard == shard)
        latest.ended = now

    def power(self, shard: int, at: float) -> float:
        """Return how many units a second the backends of a shard could do at this time."""
        return sum(
            BackendModel(self._capacity, one.born).rate(at)
            for one in self._incarnations
            if one.shard == shard and one.began <= at < one.ended
        )
