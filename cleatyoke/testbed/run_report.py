"""The report of a scenario run."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from cleatyoke.emulation.value import LogicalRequest

MAX_LISTED = 20  # fault lines, and violations, that the text lists


@dataclass(slots=True)
class RunReport:
    """The results of a run; ``violations`` is empty if every rule held and no front exited unexpectedly."""

    scenario: str
    seconds: float
    requests: int = 0
    answers: Counter[str] = field(default_factory=Counter)  # by status, or "unsent", or "none"
    served_share: float = 0.0  # fraction served of the requests whose front was running
    attempts: int = 0
    executions: int = 0
    max_executions_of_a_write: int = 0
    probes: int = 0
    max_warm_up_load: float = 0.0  # of any warming backend in a window, as a fraction of its capacity
    front_starts: int = 0
    early_kills: int = 0  # of fronts before the leases of their previous process had expired
    backend_outcomes: Counter[str] = field(default_factory=Counter)  # what backends did with their requests
    violations: list[str] = field(default_factory=list)
    log_counts: Counter[str] = field(default_factory=Counter)  # log lines by event, over all fronts
    fault_lines: list[str] = field(
        default_factory=list
    )  # log lines of unexpected exceptions (``*_fault`` events)
    load_started_at: float = 0.0  # on the event loop's clock, like the times in ``logical_requests``
    logical_requests: list[LogicalRequest] = field(
        default_factory=list
    )  # the clients' requests and their times
    hold_answers: list[str] = field(default_factory=list)  # to the commands that hold and release backends
    # Kind of fault, and seconds from its end until all fronts had the same view; None: never.
    convergence_times: list[tuple[str, float | None]] = field(default_factory=list)

    exit_margins: list[float] = field(
        default_factory=list
    )  # seconds from each exit to the time of its SIGKILL
    max_loop_lag: float = 0.0  # seconds by which the testbed's own event loop ran late at most

    def lines(self) -> list[str]:
        """Return the report as text."""
        return [
            f"{self.scenario}: {self.requests} requests in {self.seconds:g} s, {_counts_text(self.answers)}",
            f"served {self.served_share:.3f} of those whose front was running; attempts {self.attempts}, "
            f"executions {self.executions}, at most {self.max_executions_of_a_write} of one write; "
            f"front starts {self.front_starts}; "
            f"peak load of a warming backend {self.max_warm_up_load:.2f} of its capacity",
            f"backends: {_counts_text(self.backend_outcomes)}",
            f"log lines: {_counts_text(self.log_counts)}",
            *self._detail_lines(),
            f"{'no violations' if not self.violations else f'violations: {len(self.violations)}'}",
        ]

    def _detail_lines(self) -> Iterator[str]:
        """The lines that depend on the kind of run."""
        for kind, seconds in self.convergence_times:
            when = f"{seconds:.1f} s" if seconds is not None else "never"
            yield f"views agreed {when} after {kind}"
        if self.hold_answers:
            yield f"holds: {', '.join(self.hold_answers)}"
        if self.exit_margins:
            yield f"exits at least {min(self.exit_margins):.2f} s before SIGKILL"
        yield f"testbed event loop at most {self.max_loop_lag:.3f} s late"
        for line in self.fault_lines[:MAX_LISTED]:
            yield f"fault: {line}"
        for violation in self.violations[:MAX_LISTED]:
            yield f"BROKEN {violation}"


def _counts_text(counts: Counter[str]) -> str:
    return " ".join(f"{name}={count}" for name, count in sorted(counts.items()))
