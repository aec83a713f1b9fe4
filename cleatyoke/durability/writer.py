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

from cleatyoke.durability.records import FrontState, StorageProblem, next_incarnation

RETRY_DELAY = 1.0  # seconds until a write that failed is tried again
FLUSH_TIMEOUT = 0.3  # seconds that an orderly exit waits at the most for what is not yet written


class StateStore(Protocol):
    def load(self) -> tuple[FrontState, list[StorageProblem]]: ...

    def save(self, memory: FrontState) -> list[StorageProblem]: ...


@dataclass(slots=True, frozen=True)
class RestoredState:
    """What the disk said as the process began. ``memory.boot`` is the boot number of this life, which is on
    the disk before it is used, unless ``failed``; ``found``: a life before has written there.
    """

    state: FrontState
    was_found: bool
    problems: list[StorageProblem]
    write_problems: list[StorageProblem]


class StateWriter:
    """From its thread it calls ``recalled`` once, and ``heard`` with what changed: the doubts of the last
    write, or none any more. ``unix``: the wall clock.
    """

    def __init__(
        self,
        disk: StateStore,
        unix: Callable[[], float],
        recalled: Callable[[RestoredState], None],
        heard: Callable[[list[StorageProblem]], None] = lambda doubts: None,
    ) -> None:
        self.store, self.wall_clock, self.on_restored, self.on_problems_changed = disk, unix, recalled, heard
        self._condition = threading.Condition()
        self._pending: tuple[int, FrontState] | None = None
        self.submitted = self.written = 0  # numbers of the last write that was asked for, and that is over
        self.copies = 0  # files that have the last one
        self.problems: list[StorageProblem] = []
        self.writes = self.failures = 0
        self._stopping = False
        self.thread = threading.Thread(target=self._run, name="durable", daemon=True)

    def start(self) -> None:
        self.thread.start()

    def submit(self, memory: FrontState) -> int:
        """Never blocks; the number by which ``keeps`` tells whether it is over."""
        with self._condition:
            self.submitted += 1
            self._pending = self.submitted, memory
            self._condition.notify()
            return self.submitted

    def is_written(self, number: int) -> bool:
        return self.written >= number

    def _restore(self) -> None:
        memory, doubts = self.store.load()
        found = memory.incarnation > 0
        memory = replace(memory, incarnation=next_incarnation(memory.incarnation, self.wall_clock()))
        failed = self.store.save(memory)
        self.on_restored(RestoredState(memory, found, doubts, failed))

    def _run(self) -> None:
        self._restore()
        while True:
            with self._condition:
                while self._pending is None and not self._stopping:
                    self._condition.wait()
                if self._pending is None:
                    return
                (number, memory), self._pending = self._pending, None
            doubts = self.store.save(memory)
            with self._condition:
                self.writes += 1
                if [doubt.source for doubt in doubts] != [doubt.source for doubt in self.problems]:
                    self.on_problems_changed(doubts)
                self.problems = doubts
                if len(doubts) < 2:  # one file at the least has it
                    self.written = number
                else:
                    self.failures += 1
                if doubts:
                    self._pending = self._pending or (number, memory)
                    if self._stopping:
                        return
                    self._condition.wait(RETRY_DELAY)

    def stop(self) -> None:
        with self._condition:
            self._stopping = True
            self._condition.notify()
        self.thread.join(FLUSH_TIMEOUT)
