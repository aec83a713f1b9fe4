"""Counters of one front, for ``show-stat``, the log and the Prometheus exporter. No I/O."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple

OUTCOMES = ("success", "busy", "failure")


class NodeCounts(NamedTuple):
    """How many nodes are listed, and how many of them are sent no requests."""

    listed: int
    down: int


def outcome_of(status: int) -> str:
    """Return the outcome of an HTTP status: success, busy (rejected; a retry is safe) or failure."""
    if status == 200:
        return "success"
    return "busy" if status in (429, 503) else "failure"


class Metrics:
    """Counters since the start of the process.

    Written on the event loop and read from any thread; readers copy a dict before iterating over it.
    """

    def __init__(self) -> None:
        self.answers: dict[str, defaultdict[str, int]] = {name: defaultdict(int) for name in OUTCOMES}
        self.backend_calls = 0  # attempts sent to a backend completely
        self.in_flight = 0  # accepted requests not yet answered
        self.reloads_applied = 0
        self.reloads_rejected = 0
        self.faults = 0  # unforeseen exceptions; not shown by ``show-stat``
        # Bytes that clients make the front hold, by use; not shown by ``show-stat``.
        self.held_bytes: dict[str, Callable[[], int]] = {}

    def count_answer(self, class_name: str, status: int) -> None:
        """Count one answer with this HTTP status."""
        self.answers[outcome_of(status)][class_name] += 1

    def stat_lines(self, classes: list[str], listed: int, down: int) -> list[str]:
        """Return ``front.NAME=VALUE`` lines, named as in the operations page's ``show-stat``.

        Each outcome has a line for each class, including classes that a reload has removed.
        """
        lines = []
        for outcome in OUTCOMES:
            counts = dict(self.answers[outcome])  # a copy, as the loop may add a class concurrently
            for name in dict.fromkeys([*classes, *counts]):
                lines.append(f"front.{outcome}.{name}={counts.get(name, 0)}")
        lines += [
            f"front.backend_calls={self.backend_calls}",
            f"front.inflight={max(0, self.in_flight)}",
            f"front.hosts_listed={listed}",
            f"front.hosts_down={down}",
            f"front.reconfig_ok={self.reloads_applied}",
            f"front.reconfig_failed={self.reloads_rejected}",
        ]
        return lines
