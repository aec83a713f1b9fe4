"""The start of a front after whatever ended the last one: what it waits for before it opens its door, and
how long.

``step(now, events) -> actions``, without input, output or clock. Each stage has the evidence that passes
it, the longest it waits for that, and what is done without: a front that is alone serves in the end.

- ``disk``: its own memory was read, or there is none; 0.5 s. Without: holds and boot number come from peers
  alone, and the disk's count once they come.
- ``peers``: a peer's whole view came, or there is nobody to ask; 1 s. Without: holds by its own memory.
- ``list``: discovery's word, or an old list; 1 s. Without: it opens, and turns away what has no box.
- ``lent``, with the door open: what the life before lent is over by this life's clock. Time alone passes it,
  no word of anybody.
- ``open``.

Stages are passed in this order, evidence that comes early is kept, none is skipped, and nothing is carried
over from one life to the next, so that a crash at any of them begins all anew.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum


class StartStage(Enum):
    DISK = "disk"
    PEERS = "peers"
    LIST = "list"
    LENT = "lent"
    OPEN = "open"


ORDER = list(StartStage)
BOUNDS = {
    StartStage.DISK: 0.5,
    StartStage.PEERS: 1.0,
    StartStage.LIST: 1.0,
}  # seconds, each from the stage's begin


@dataclass(slots=True, frozen=True)
class Evidence:
    """Event: what passes this stage, in a few words for the log."""

    stage: StartStage
    what: str


@dataclass(slots=True, frozen=True)
class StagePassed:
    """Action: the log is told. ``what`` is the evidence; "bound" where it did not come in time."""

    stage: StartStage
    what: str
    waited: float  # seconds in it


class StagedStart:
    """One life's start. ``lent_until``: on its own clock, when all is over that the life before can have
    lent.
    """

    def __init__(self, began: float, lent_until: float) -> None:
        self.stage, self.since, self.lent_until = StartStage.DISK, began, lent_until
        self.evidence: dict[StartStage, str] = {}
        self.passed: list[StagePassed] = []

    def door_open(self) -> bool:
        return ORDER.index(self.stage) >= ORDER.index(StartStage.LENT)

    def ends_at(self) -> float:
        """When this stage is passed whatever comes."""
        if self.stage is StartStage.OPEN:
            return math.inf
        if self.stage is StartStage.LENT:
            return self.lent_until
        return self.since + BOUNDS[self.stage]

    def step(self, now: float, events: Iterable[Evidence] = ()) -> list[StagePassed]:
        for event in events:
            if event.stage is not StartStage.LENT:  # no word of anybody shortens a lease
                self.evidence.setdefault(event.stage, event.what)
        out = []
        while self.stage is not StartStage.OPEN:
            what = self.evidence.get(self.stage)
            if what is None and now < self.ends_at():
                break
            if what is None:
                what = "time" if self.stage is StartStage.LENT else "bound"
            # A look that comes late passes a stage late; the next one's time runs from there.
            out.append(StagePassed(self.stage, what, now - self.since))
            self.stage, self.since = ORDER[ORDER.index(self.stage) + 1], now
        self.passed += out
        return out

    def lines(self, now: float) -> list[str]:
        """For ``show-recovery``."""
        out = [f"recovery.stage {self.stage.value}"]
        out += [
            f"recovery.passed {one.stage.value} by={one.what.replace(' ', '-')} waited={one.waited:.3f}"
            for one in self.passed
        ]
        if self.stage is not StartStage.OPEN:
            out.append(f"recovery.waits {self.stage.value} for={max(0.0, self.ends_at() - now):.3f}")
        return out
