"""The staged start of a front: what it waits for before it accepts requests, and for how long at most.

No I/O and no clock: ``step(now, events) -> actions``. This module only decides when a stage has passed; the
work of the start is done elsewhere. A stage passes when its evidence arrives, or when its time limit expires:

- ``disk``: the durable state was read, or none is stored; 0.5 s. Until it is read, holds and the boot number
  come from peers; the stored ones take effect once read.
- ``peers``: a peer's full state was received, or there is no peer to ask; 1 s. Without it the front uses its
  own holds.
- ``list``: discovery answered, or a cached endpoint list exists; 1 s. Without it the front accepts requests
  and rejects those that it has no node for.
- ``lent``, with requests accepted: the quota leases granted by the previous process must have expired. Only
  time ends this stage: no message may shorten a lease, as its borrower would go on using it.
- ``open``: the start is complete.

A front that served before it knew the holds, or with a boot number used before, would send requests to nodes
under repair. One that waited without a limit would never serve after a power loss of the whole site. No
progress is stored, so a process that crashes in any stage starts again from the first.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum


class StartStage(Enum):
    """The stages in order. The values appear in the log and in the answer to ``show-recovery``."""

    DISK = "disk"
    PEERS = "peers"
    ENDPOINT_LIST = "list"
    OLD_LEASES = "lent"
    OPEN = "open"


STAGE_ORDER = list(StartStage)
STAGE_BOUNDS = {  # seconds, each from the start of the stage
    StartStage.DISK: 0.5,
    StartStage.PEERS: 1.0,
    StartStage.ENDPOINT_LIST: 1.0,
}
PASSED_BY_BOUND = "bound"
PASSED_BY_TIME = "time"


@dataclass(slots=True, frozen=True)
class Evidence:
    """Event: the evidence that a stage waits for, with a short description for the log."""

    stage: StartStage
    description: str


@dataclass(slots=True, frozen=True)
class StagePassed:
    """Action: report that a stage has passed.

    ``passed_by``: the description of the evidence, or ``PASSED_BY_BOUND`` if it did not arrive in time, or
    ``PASSED_BY_TIME`` for the stage that only time ends.
    """

    stage: StartStage
    passed_by: str
    waited_seconds: float


class StagedStart:
    """The start of one process.

    Stages pass in order and none is skipped; evidence that arrives early is kept for its stage. ``began``:
    when the process started. ``old_leases_end``: when all leases that the previous process can have granted
    have expired. Both are seconds of this process's monotonic clock.
    """

    def __init__(self, began: float, old_leases_end: float) -> None:
        self.stage = StartStage.DISK
        self.stage_began = began
        self.old_leases_end = old_leases_end
        self.evidence: dict[StartStage, str] = {}
        self.passed: list[StagePassed] = []

    def stage_ends_at(self) -> float:
        """Return when the current stage passes without evidence; infinity once the start is complete."""
        if self.stage is StartStage.OPEN:
            return math.inf
        if self.stage is StartStage.OLD_LEASES:
            return self.old_leases_end
        return self.stage_began + STAGE_BOUNDS[self.stage]

    def step(self, now: float, events: Iterable[Evidence] = ()) -> list[StagePassed]:
        """Process the evidence and return the stages that pass now.

        If a step is late, the stage passes late, and the time limit of the next stage counts from then.
        """
        for event in events:
            if event.stage is not StartStage.OLD_LEASES:
                self.evidence.setdefault(event.stage, event.description)
        newly_passed: list[StagePassed] = []
        while (passed_by := self._passes_by(now)) is not None:
            newly_passed.append(StagePassed(self.stage, passed_by, now - self.stage_began))
            self.stage = STAGE_ORDER[STAGE_ORDER.index(self.stage) + 1]
            self.stage_began = now
        self.passed += newly_passed
        return newly_passed

    def status_lines(self, now: float) -> list[str]:
        """Return the lines of the answer to ``show-recovery``."""
        lines = [f"recovery.stage {self.stage.value}"]
        for event in self.passed:
            passed_by = event.passed_by.replace(" ", "-")
            lines.append(
                f"recovery.passed {event.stage.value} by={passed_by} waited={event.waited_seconds:.3f}"
            )
        if self.stage is not StartStage.OPEN:
            remaining = max(0.0, self.stage_ends_at() - now)
            lines.append(f"recovery.waits {self.stage.value} for={remaining:.3f}")
        return lines

    def _passes_by(self, now: float) -> str | None:
        """Return what ends the current stage now; None if nothing does, or if the start is complete."""
        if self.stage is StartStage.OPEN:
            return None
        evidence = self.evidence.get(self.stage)
        if evidence is not None:
            return evidence
        if now < self.stage_ends_at():
            return None
        return PASSED_BY_TIME if self.stage is StartStage.OLD_LEASES else PASSED_BY_BOUND
