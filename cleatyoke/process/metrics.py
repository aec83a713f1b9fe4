"""The front's one set of counters: ``show-stat``, the log and an exporter read these. No input or output."""

from __future__ import annotations

from collections import defaultdict

OUTCOMES = ("success", "busy", "failure")


def outcome_of(status: int) -> str:
    """How the platform counts an answer: served, refused (trying again is harmless), or failed."""
    if status == 200:
        return "success"
    return "busy" if status in (429, 503) else "failure"


class Metrics:
    """Counted from the start of the process. Written on the loop; read from any thread, as a copy."""

    def __init__(self) -> None:
        self.ended: dict[str, defaultdict[str, int]] = {name: defaultdict(int) for name in OUTCOMES}
        self.backend_calls = 0  # attempts whose last byte left for a box
        self.inflight = 0  # requests taken and not yet answered
        self.reconfig_ok = 0
        self.reconfig_failed = 0
        self.faults = 0  # exceptions that nothing foresaw; in the log only

    def answered(self, class_name: str, status: int) -> None:
        self.ended[outcome_of(status)][class_name] += 1

    def lines(self, classes: list[str], listed: int, down: int) -> list[str]:
        """``front.NAME=VALUE``, each class named under each outcome, those it had before included."""
        out = []
        for outcome in OUTCOMES:
            counts = dict(self.ended[outcome])  # one step: the loop may add a class meanwhile
            for name in dict.fromkeys([*classes, *counts]):
                out.append(f"front.{outcome}.{name}={counts.get(name, 0)}")
        out += [
            f"front.backend_calls={self.backend_calls}",
            f"front.inflight={max(0, self.inflight)}",
            f"front.hosts_listed={listed}",
            f"front.hosts_down={down}",
            f"front.reconfig_ok={self.reconfig_ok}",
            f"front.reconfig_failed={self.reconfig_failed}",
        ]
        return out
