"""The thread that reads durable state at a start and writes it from then on.

No request waits for the disk. Of several writes that wait only the newest is done, as each holds the whole
state. A disk that is full, read-only, slow or gone costs the promise that what is new outlives a loss of
power, and nothing else; it is reported once, and the write is repeated until it works.
"""

from __future__ import annotations

import math
import threading
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import NamedTuple, Protocol

from cleatyoke.durability.records import FrontState, LoadedState, StorageProblem, next_boot_number

FLUSH_TIMEOUT = 0.3  # seconds that an orderly exit waits at the most for the last write
RETRY_DELAY = 1.0  # seconds until a failed write is repeated
COPIES = 2  # files that a store writes; a state in one of them is durable


class StateStore(Protocol):
    """The files. Both methods block, raise nothing, and are called from the writer's thread alone."""

    def load(self) -> LoadedState:
        """What the files hold together."""
        ...

    def save(self, state: FrontState) -> list[StorageProblem]:
        """Write to all files; return those that failed."""
        ...


@dataclass(slots=True, frozen=True)
class RestoredState:
    """What the files held when the process began.

    ``state.boot_number`` is the one of this process. It was written before it is reported here, so that
    no later process uses it again, unless ``write_problems`` names all files. ``was_found``: a previous
    process had written there. ``problems``: what was not trusted.
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

    Thread boundaries: ``start``, ``submit`` and ``stop`` are called from the event loop. They don't wait for
    the disk, but for ``stop``, whose wait has a bound. ``is_written`` and the counters may be read from any
    thread. ``on_loaded`` (once, as soon as the files were read), ``on_restored`` (once, after the new boot
    number was written) and ``on_problems_changed`` (at each change of the failing files; an empty list when
    all work again) are called on the writer's thread.

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
        self.submitted = 0  # number of the last write that was submitted
        self.written = 0  # number of the last write that is durable
        self.problems: list[StorageProblem] = []  # of the last write
        self.writes = 0
        self.failures = 0  # writes that reached no file
        self.thread = threading.Thread(target=self._run, name="durable", daemon=True)
        self._condition = threading.Condition()
        self._pending: _PendingWrite | None = None
        self._stopping = False

    def start(self) -> None:
        """Begin to read the stored state."""
        self.thread.start()

    def submit(self, state: FrontState) -> int:
        """Have a state written, in place of one that still waits; the number to ask ``is_written`` by."""
        with self._condition:
            self.submitted += 1
            self._pending = _PendingWrite(self.submitted, state)
            self._condition.notify()
            return self.submitted

    def is_written(self, number: int) -> bool:
        """Whether this write, or a later one, is durable."""
        return self.written >= number

    def stop(self, seconds_left: float = math.inf) -> None:
        """Write what waits and end the thread, or leave it behind.

        Waits ``FLUSH_TIMEOUT`` at the most, and no longer than the ``seconds_left``.
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
        self.on_loaded(loaded)  # before the write, which may be slow: holds count as soon as they are read
        was_found = loaded.state.boot_number > 0
        boot_number = next_boot_number(loaded.state.boot_number, self.wall_clock())
        state = replace(loaded.state, boot_number=boot_number)
        write_problems = self.store.save(state)
        self.on_restored(RestoredState(state, was_found, loaded.problems, write_problems))

    def _next_write(self) -> _PendingWrite | None:
        """Wait for a write; None once the writer stops and none waits."""
        with self._condition:
            while self._pending is None and not self._stopping:
                self._condition.wait()
            write = self._pending
            self._pending = None
            return write

    def _finish_write(self, write: _PendingWrite, problems: list[StorageProblem]) -> bool:
        """Note how a write ended and, if a file failed, wait before it is repeated; whether to go on."""
        with self._condition:
            self.writes += 1
            if [problem.source for problem in problems] != [problem.source for problem in self.problems]:
                self.on_problems_changed(problems)
            self.problems = problems
            if len(problems) < COPIES:
                self.written = write.number
            else:
                self.failures += 1
            if problems:
                self._pending = self._pending or write
                if self._stopping:
                    return False
                self._condition.wait(RETRY_DELAY)
            return True
