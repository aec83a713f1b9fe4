"""Backends of an emulated deployment, and their capacity over time. Uses no sockets and no clock.

A backend has one or more incarnations: each begins when its process starts and ends when the process stops
or crashes. An incarnation that began during the run warms up first.
"""

from __future__ import annotations

from dataclasses import dataclass

from cleatyoke.discovery.directory import Instance
from cleatyoke.emulation.view import address_of
from cleatyoke.scheduling.events import EndpointState
from cleatyoke.testbed.backend_model import BackendModel
from cleatyoke.testbed.scenario import BackendCapacity

UNIX_TIME_AT_START = 1e9  # Unix time in seconds at time 0 of the event loop


@dataclass(slots=True)
class VirtualBackend:
    """One incarnation of a backend."""

    name: str
    shard: int
    zone: str
    model: BackendModel
    state: EndpointState = EndpointState.LIVE  # in the endpoint list
    is_up: bool = True
    is_silent: bool = False  # accepts connections and never answers
    has_crashed: bool = False  # was sent more than it can take while warming up

    def instance(self) -> Instance:
        """Return its entry in the endpoint list."""
        started = 0.0 if self.model.started_at is None else UNIX_TIME_AT_START + self.model.started_at
        return Instance(self.name, address_of(0), self.zone, self.shard, self.state, started)


@dataclass(slots=True)
class _Incarnation:
    """The time in which a backend of a shard ran, in seconds of the loop's time."""

    shard: int
    began: float
    warm_up_start: float | None  # None: it was already warm
    ended: float = float("inf")


class IncarnationHistory:
    """All incarnations of all backends, from which a shard's capacity at any time can be computed."""

    def __init__(self, capacity: BackendCapacity) -> None:
        self._capacity = capacity
        self._incarnations: list[_Incarnation] = []

    def record_start(self, shard: int, now: float, warm_up_start: float | None) -> None:
        """Record the start of a backend of this shard; ``warm_up_start`` is None if it is already warm."""
        self._incarnations.append(_Incarnation(shard, now, warm_up_start))

    def record_end(self, shard: int, now: float) -> None:
        """Record the end of the latest incarnation of this shard."""
        latest = next(
            incarnation for incarnation in reversed(self._incarnations) if incarnation.shard == shard
        )
        latest.ended = now

    def power(self, shard: int, at: float) -> float:
        """Return the capacity of a shard's backends at this time, in units per second."""
        return sum(
            BackendModel(self._capacity, incarnation.warm_up_start).rate(at)
            for incarnation in self._incarnations
            if incarnation.shard == shard and incarnation.began <= at < incarnation.ended
        )
