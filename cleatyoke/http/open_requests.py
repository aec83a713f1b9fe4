"""Limits the requests that are open at once, by the memory that they take. No I/O, no clock.

A request is open from the end of its head until its answer is delivered. The others wait as raw heads.
Requests with bodies have limits of their own, so that clients that send slowly leave room for the others.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from enum import Enum, auto
from typing import Generic, TypeVar

from cleatyoke.http.request_head import BodyKind

C = TypeVar("C", bound=Hashable)
MIN_WAITING = 8  # requests that may wait, however few may be open


class OpenResult(Enum):
    """What becomes of a new request."""

    OPEN = auto()
    WAITING = auto()
    REJECTED = auto()


class OpenRequests(Generic[C]):
    """The open requests and the waiting ones, by connection; each connection has one at a time.

    ``limits``: how many may be open of each kind of body; that of ``BodyKind.NONE`` is the limit of all.
    """

    def __init__(self, limits: Mapping[BodyKind, int]) -> None:
        self.set_limits(limits)
        self._open: dict[C, BodyKind] = {}
        self._counts = dict.fromkeys(BodyKind, 0)
        self._waiting: dict[C, BodyKind] = {}  # the longest waiting first

    def __len__(self) -> int:
        """Return the number of open requests."""
        return len(self._open)

    def set_limits(self, limits: Mapping[BodyKind, int]) -> None:
        """Replace the limits; what is open beyond them stays open."""
        self._limits = limits
        # With more, those at the end would wait in vain, and keep connections from others.
        self._max_waiting = max(MIN_WAITING, limits[BodyKind.NONE] // 2)

    def count(self, kind: BodyKind) -> int:
        """Return the number of open requests with this kind of body."""
        return self._counts[kind]

    @property
    def waiting_count(self) -> int:
        """How many requests wait."""
        return len(self._waiting)

    def open(self, connection: C, kind: BodyKind) -> OpenResult:
        """Open a request, or have it wait if not too many wait already."""
        if self._fits(kind):
            self._add(connection, kind)
            return OpenResult.OPEN
        if len(self._waiting) >= self._max_waiting:
            return OpenResult.REJECTED
        self._waiting[connection] = kind
        return OpenResult.WAITING

    def open_next(self) -> C | None:
        """Open the longest waiting request that fits, and return its connection."""
        for connection, kind in self._waiting.items():
            if self._fits(kind):
                del self._waiting[connection]
                self._add(connection, kind)
                return connection
        return None

    def end(self, connection: C) -> None:
        """Forget the connection's request, open or waiting, if there is one."""
        self._waiting.pop(connection, None)
        kind = self._open.pop(connection, None)
        if kind is not None:
            self._counts[kind] -= 1

    def _fits(self, kind: BodyKind) -> bool:
        return len(self._open) < self._limits[BodyKind.NONE] and self._counts[kind] < self._limits[kind]

    def _add(self, connection: C, kind: BodyKind) -> None:
        self._open[connection] = kind
        self._counts[kind] += 1
