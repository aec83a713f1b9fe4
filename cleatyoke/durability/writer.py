"""The thread that reads durable state at startup and writes it from then on.

Requests never wait for the disk. Each write holds the complete state, so only the newest pending write is
carried out. If the disk is full, read-only, slow or missing, new changes may not survive a power loss;
nothing else is affected. The failure is reported once and the write is retried until it succeeds.
"""

from __future__ import annotations

import math
import threading
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import NamedTuple, Protocol

from cleatyoke.durability.records import FrontState, LoadedState, StorageProblem, next_boot_number

FLUSH_TIMEOUT = 0.3  # maximum seconds that a graceful exit waits for the last write
RETRY_DELAY = 1.0  # seconds before a failed write is retried
FILE_COUNT = 2  # files written by a store; a state is durable once one of them has it


class StateStore(Protocol):
    """Storage for the state. Both methods block, never raise, and are called only on the writer's thread."""

    def load(self) -> LoadedState:
        """Return the merged contents of the files."""
        ...

    def save(self, state: FrontState) -> list[StorageProblem]:
        """Write to all files and return those that failed."""
        ...


@dataclass(slots=True, frozen=True)
class RestoredState:
    """The stored state at process startup, with the boot number of this process.

    ``state.boot_number`` belongs to this process. It is written before it is reported here, so that no later
    process reuses it, unless ``write_problems`` lists all files. ``was_found``: a previous process had stored
    its state. ``problems``: files and rows that were rejected.
    """

    state: FrontState
    was_found: bool
    problems: list[StorageProblem]
    write_problems: list[StorageProblem]


class _PendingWrite(NamedTuple):
    number: int
    state: FrontState


class StateWriter:
    """A daemon thread between the event loop and a ``StateStore``.

    Threading: ``start``, ``submit`` and ``stop`` are called on the event loop. Of these only ``stop`` waits
    for the disk, for a bounded time. ``is_written`` and the counters may be read from any thread. These
    callbacks run on the writer's thread:

    - ``on_loaded``: once, as soon as the files have been read;
    - ``on_restored``: once, after the new boot number has been written;
    - ``on_problems_changed``: whenever the set of failing files changes, with an empty list after recovery.

    ``wall_clock`` returns Unix time.
    """

    def __init__(
        self,
        store: StateStore,
        wall_clock: Callable[[], float],
        on_restored: Callable[[RestoredState], None],
        on_problems_changed: Callable[[list[StorageProblem]], None],
        on_loaded: Callable[[LoadedState], None] = lambda _: None,
    ) -> None:
        self.store = store
        self.wall_clock = wall_clock
        self.on_restored = on_restored
        self.on_problems_changed = on_problems_changed
        self.on_loaded = on_loaded
        self.submitted = 0  # number of the last submitted write
        self.written = 0  # number of the last durable write
        self.problems: list[StorageProblem] = []  # of the last write
        self.writes = 0
        self.failures = 0  # writes that failed for all files
        self.thread = threading.Thread(target=self._run, name="durable", daemon=True)
        self._condition = threading.Condition()
        self._pending: _PendingWrite | None = None
        self._stopping = False

    def start(self) -> None:
        """Start the thread, which first reads the stored state."""
        self.thread.start()

    def submit(self, state: FrontState) -> int:
        """Schedule a state for writing in place of a pending one; return its number for ``is_written``."""
        with self._condition:
            self.submitted += 1
            self._pending = _PendingWrite(self.submitted, state)
            self._condition.notify()
            return self.submitted

    def is_written(self, number: int) -> bool:
        """Whether this write or a later one is durable."""
        return self.written >= number

    def stop(self, seconds_left: float = math.inf) -> None:
        """Write a pending state and end the thread; after the timeout the thread is abandoned.

        Waits for at most ``FLUSH_TIMEOUT``, and no longer than ``seconds_left``.
        """
        with self._condition:
            self._stopping = True
            self._condition.notify()
        self.thread.join(min(FLUSH_TIMEOUT, max(0.0, seconds_left)))

    def _run(self) -> None:
        self._restore()
        while (write := self._next_write()) is not None:
            problems = self.store.save(write.state)
            if not self._finish_write(write, problems):
                return

    def _restore(self) -> None:
        loaded = self.store.load()
        self.on_loaded(loaded)  # before the write, which may be slow, so that holds apply immediately
        was_found = loaded.state.boot_number > 0
        boot_number = next_boot_number(loaded.state.boot_number, self.wall_clock())
        state = replace(loaded.state, boot_number=boot_number)
        write_problems = self.store.save(state)
        self.on_restored(RestoredState(state, was_found, loaded.problems, write_problems))

    def _next_write(self) -> _PendingWrite | None:
        """Wait for a pending write; return None once the writer is stopping and nothing is pending."""
        with self._condition:
            while self._pending is None and not self._stopping:
                self._condition.wait()
            write = self._pending
            self._pending = None
            return write

    def _finish_write(self, write: _PendingWrite, problems: list[StorageProblem]) -> bool:
        """Record the result of a write and delay a retry if a file failed. Returns whether to continue."""
        with self._condition:
            self.writes += 1
            if [problem.source for problem in problems] != [problem.source for problem in self.problems]:
                self.on_problems_changed(problems)
            self.problems = problems
            if len(problems) < FILE_COUNT:
                self.written = write.number
            else:
                self.failures += 1
            if problems:
                self._pending = self._pending or write
                if self._stopping:
                    return False
                self._condition.wait(RETRY_DELAY)
            return True
