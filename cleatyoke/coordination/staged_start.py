"""The staged start of a front: what it waits for before it accepts requests, and for how long at the most.

No I/O and no clock: ``step(now, events) -> actions``. It replaces nothing of the start's work; it says when a
stage is passed. Each stage passes by its evidence, or without it at its bound:

- ``disk``: the durable state was read, or none is kept; 0.5 s. Without it holds and the boot number
  come from peers, and the disk's count once they are read.
- ``peers``: a peer's full state came, or there is no peer to ask; 1 s. Without it the front goes by its own
  holds.
- ``list``: discovery answered, or a cached endpoint list is there; 1 s. Without it the front accepts
  requests and rejects those it has no node for.
- ``lent``, with requests accepted: quota leases that the previous process granted must have expired.
  Only time passes it: no message may shorten a lease, as its borrower would go on using it.
- ``open``: complete.

What this prevents: a front that serves before it knows holds, or with a used boot number, sends requests to
nodes under repair; one that waits without a bound never serves after a power loss of the whole site.
Nothing is carried over from one process to the next, so a crash in any stage begins the start again.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum


class StartStage(Enum):
    """The stages in their order. The values are shown in the log and by ``show-recovery``."""

    DISK = "disk"
    PEERS = "peers"
    ENDPOINT_LIST = "list"
    OLD_LEASES = "lent"
    OPEN = "open"


STAGE_ORDER = list(StartStage)
STAGE_BOUNDS = {  # seconds, each from the beginning of the stage
    StartStage.DISK: 0.5,
    StartStage.PEERS: 1.0,
    StartStage.ENDPOINT_LIST: 1.0,
}
PASSED_BY_BOUND = "bound"
PASSED_BY_TIME = "time"


@dataclass(slots=True, frozen=True)
class Evidence:
    """Event: what passes a stage, described in a few words for the log."""

    stage: StartStage
    description: str


@dataclass(slots=True, frozen=True)
class StagePassed:
    """Action: report that a stage is passed.

    ``passed_by``: the evidence; ``PASSED_BY_BOUND`` where it did not come in time.
    """

    stage: StartStage
    passed_by: str
    waited_seconds: float


class StagedStart:
    """The start of one process.

    Stages pass in their order and none is skipped; evidence that comes early is kept. ``began``: when the
    process started. ``old_leases_end``: when all leases that the previous process can have granted have
    expired. Both are seconds of this process's monotonic clock.
    """

    def __init__(self, began: float, old_leases_end: float) -> None:
        self.stage = StartStage.DISK
        self.stage_began = began
        self.old_leases_end = old_leases_end
        self.evidence: dict[StartStage, str] = {}
        self.passed: list[StagePassed] = []

    def stage_ends_at(self) -> float:
        """When the present stage passes without evidence; infinite once the start is complete."""
        if self.stage is StartStage.OPEN:
            return math.inf
        if self.stage is StartStage.OLD_LEASES:
            return self.old_leases_end
        return self.stage_began + STAGE_BOUNDS[self.stage]

    def step(self, now: float, events: Iterable[Evidence] = ()) -> list[StagePassed]:
        """Take evidence, and return the stages that pass at this moment.

        A step that comes late passes a stage late; the next stage's bound counts from then.
        """
        for event in events:
            if event.stage is not StartStage.OLD_LEASES:
                self.evidence.setdefault(event.stage, event.description)
        out: list[StagePassed] = []
        while (passed_by := self._passes_by(now)) is not None:
            out.append(StagePassed(self.stage, passed_by, now - self.stage_began))
            self.stage = STAGE_ORDER[STAGE_ORDER.index(self.stage) + 1]
            self.stage_began = now
        self.passed += out
        return out

    def status_lines(self, now: float) -> list[str]:
        """The answer to ``show-recovery``."""
        out = [f"recovery.stage {self.stage.value}"]
        for one in self.passed:
            passed_by = one.passed_by.replace(" ", "-")
            out.append(f"recovery.passed {one.stage.value} by={passed_by} waited={one.waited_seconds:.3f}")
        if self.stage is not StartStage.OPEN:
            remaining = max(0.0, self.stage_ends_at() - now)
            out.append(f"recovery.waits {self.stage.value} for={remaining:.3f}")
        return out

    def _passes_by(self, now: float) -> str | None:
        """What passes the present stage now; None where nothing does, or where the start is complete."""
        if self.stage is StartStage.OPEN:
            return None
        evidence = self.evidence.get(self.stage)
        if evidence is not None:
            return evidence
        if now < self.stage_ends_at():
            return None
        return PASSED_BY_TIME if self.stage is StartStage.OLD_LEASES else PASSED_BY_BOUND
