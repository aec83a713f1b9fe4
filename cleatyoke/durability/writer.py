"""The thread that reads a front's disk at its start and writes it from then on, so that no request waits
for it.

Of several writes that wait, the newest counts: each holds all. A disk that is full, read-only, slow or gone
costs nothing but the promise that what is new outlives a loss of power; it is told once, and tried again
and again.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from cleatyoke.durability.records import FrontState, RestoreDoubt, next_boot

AGAIN = 1.0  # seconds until a write that failed is tried again
FLUSH = 0.3  # seconds that an orderly exit waits at the most for what is not yet written


class StateStore(Protocol):
    def load(self) -> tuple[FrontState, list[RestoreDoubt]]: ...

    def save(self, memory: FrontState) -> list[RestoreDoubt]: ...


@dataclass(slots=True, frozen=True)
class RestoredState:
    """What the disk said as the process began. ``memory.boot`` is the boot number of this life, which is on
    the disk before it is used, unless ``failed``; ``found``: a life before has written there.
    """

    memory: FrontState
    found: bool
    doubts: list[RestoreDoubt]
    failed: list[RestoreDoubt]


class StateWriter:
    """From its thread it calls ``recalled`` once, and ``heard`` with what changed: the doubts of the last
    write, or none any more. ``unix``: the wall clock.
    """

    def __init__(
        self,
        disk: StateStore,
        unix: Callable[[], float],
        recalled: Callable[[RestoredState], None],
        heard: Callable[[list[RestoreDoubt]], None] = lambda doubts: None,
    ) -> None:
        self.disk, self.unix, self.recalled, self.heard = disk, unix, recalled, heard
        self.turn = threading.Condition()
        self.waiting: tuple[int, FrontState] | None = None
        self.given = self.kept = 0  # numbers of the last write that was asked for, and that is over
        self.copies = 0  # files that have the last one
        self.doubts: list[RestoreDoubt] = []
        self.writes = self.failures = 0
        self.ended = False
        self.thread = threading.Thread(target=self.serve, name="durable", daemon=True)

    def start(self) -> None:
        self.thread.start()

    def write(self, memory: FrontState) -> int:
        """Never blocks; the number by which ``keeps`` tells whether it is over."""
        with self.turn:
            self.given += 1
            self.waiting = self.given, memory
            self.turn.notify()
            return self.given

    def keeps(self, number: int) -> bool:
        return self.kept >= number

    def recall(self) -> None:
        memory, doubts = self.disk.load()
        found = memory.boot > 0
        memory = replace(memory, boot=next_boot(memory.boot, self.unix()))
        failed = self.disk.save(memory)
        self.recalled(RestoredState(memory, found, doubts, failed))

    def serve(self) -> None:
        self.recall()
        while True:
            with self.turn:
                while self.waiting is None and not self.ended:
                    self.turn.wait()
                if self.waiting is None:
                    return
                (number, memory), self.waiting = self.waiting, None
            doubts = self.disk.save(memory)
            with self.turn:
                self.writes += 1
                if [doubt.where for doubt in doubts] != [doubt.where for doubt in self.doubts]:
                    self.heard(doubts)
                self.doubts = doubts
                if len(doubts) < 2:  # one file at the least has it
                    self.kept = number
                else:
                    self.failures += 1
                if doubts:
                    self.waiting = self.waiting or (number, memory)
                    if self.ended:
                        return
                    self.turn.wait(AGAIN)

    def stop(self) -> None:
        with self.turn:
            self.ended = True
            self.turn.notify()
        self.thread.join(FLUSH)
