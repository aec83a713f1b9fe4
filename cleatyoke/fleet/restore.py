"""Durable state of a running front: restored at the start, written from then on.

Between the event loop and ``durability.writer``; imported only where durable state is on. What is trusted of
the files is in ``durability.records``, what a start waits for in ``coordination.staged_start``.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import NamedTuple, Protocol

import structlog

from cleatyoke.coordination.replicated_holds import HoldSet
from cleatyoke.durability.records import MAX_PEERS, FrontState, LoadedState, StorageProblem
from cleatyoke.durability.store import StateDatabase
from cleatyoke.durability.writer import RestoredState, StateWriter
from cleatyoke.process.faults import Faults, PeriodicCall

SAVE_INTERVAL = 5.0  # seconds between checks whether the state has changed; holds are saved at once
RESTORED_NUMBER = 0  # of what the files held when the process began: those of submitted writes begin at 1
log = structlog.get_logger()


class _Submission(NamedTuple):
    """The holds that were submitted last, and the number of that write.

    One value, as the operators' thread reads both: with two it could take new holds for the write before.
    """

    holds: HoldSet
    number: int


class DurableReplicas(Protocol):
    """Where the state that is stored comes from, and where restored state goes: the fleet's view."""

    durable_state: DurableState | None
    """Set by ``attach``; from then on the view calls ``save`` at each change of holds."""

    def restore_state(self, state: FrontState) -> None:
        """Take the holds and peers that the files have, which may come after the start."""
        ...

    def raise_boot_number(self, boot_number: int) -> None:
        """Go beyond the boot number of this process as the files have it, which may come after the start."""
        ...

    def state_to_save(self, before: FrontState) -> FrontState:
        """What is to be stored now. ``before``: what was stored last."""
        ...


class DurableState:
    """The durable state of this process: holds, boot number and the peers it knew.

    To be made on the running event loop; all methods are called there but for ``has_written``. Reading
    begins at once and never blocks the loop. Two things come of it, one after the other:

    - ``loaded``: what the files hold. Holds and peers count from then on.
    - ``restored``: the boot number of this process has been written. It counts from then on, and so does
      what is saved: a save before that could replace a greater stored number.

    ``folder``: on a disk that lasts. ``front``: "DEPLOYMENT/NAME".
    """

    def __init__(self, folder: Path, front: str, faults: Faults) -> None:
        self.loop = asyncio.get_running_loop()
        self.began = self.loop.time()
        self.loaded: asyncio.Future[LoadedState] = self.loop.create_future()
        self.restored: asyncio.Future[RestoredState] = self.loop.create_future()
        self.view: DurableReplicas | None = None
        self.state = FrontState()  # as last restored or submitted
        self._submission: _Submission | None = None
        self.writer = StateWriter(
            StateDatabase(folder, front),
            time.time,
            self._on_restored,
            self._on_problems_changed,
            self._on_loaded,
        )
        self.save_timer = PeriodicCall(faults, "durable", SAVE_INTERVAL, self.save)
        self.writer.start()

    async def wait_until_restored(self) -> None:
        """Wait until the files have been read and the boot number of this process is written.

        A caller that gives up leaves both alone: each counts once it comes.
        """
        await asyncio.shield(self.restored)

    def describe_restored(self) -> str | None:
        """What was found, in a few words for the log; None until it is restored."""
        if not self.restored.done():
            return None
        return "found" if self.restored.result().was_found else "nothing found"

    def attach(self, view: DurableReplicas) -> None:
        """Give the view what the files hold, now or once it comes, and save the view's state from then on."""
        self.view = view
        view.durable_state = self
        if self.loaded.done():
            view.restore_state(self.loaded.result().state)
        if self.restored.done():
            self.save_timer.start()

    def save(self) -> None:
        """Have the view's state written if it has changed. Does not wait for the disk."""
        assert self.view
        if not self.restored.done():
            return  # saved once the boot number is known
        state = self.view.state_to_save(self.state)
        state = replace(state, peers=state.peers[:MAX_PEERS])
        if state != self.state:
            self.state = state
            self._submission = _Submission(state.holds, self.writer.submit(state))

    def has_written(self, holds: HoldSet) -> bool:
        """Whether these holds are on the disk. From any thread."""
        submission = self._submission
        if submission is None or submission.holds != holds:
            return False
        return self.writer.is_written(submission.number)

    def stop(self, seconds_left: float) -> None:
        """Save a last time, and end the writer, waiting for the disk no longer than ``seconds_left``."""
        self.save_timer.stop()
        self.save()
        self.writer.stop(seconds_left)

    def metric_lines(self) -> list[str]:
        """The metrics of durable state as "NAME=VALUE"."""
        writer = self.writer
        values = {
            "writes": writer.writes,
            "failures": writer.failures,
            "behind": writer.submitted - writer.written,
            "failing": len(writer.problems),
        }
        return [f"durable.{name}={value}" for name, value in values.items()]

    def _on_loaded(self, loaded: LoadedState) -> None:
        """On the writer's thread."""
        self._call_on_loop(self._apply_loaded, loaded, self.loop.time())

    def _on_restored(self, restored: RestoredState) -> None:
        """On the writer's thread."""
        self._call_on_loop(self._apply_restored, restored, self.loop.time())

    def _on_problems_changed(self, problems: list[StorageProblem]) -> None:
        """On the writer's thread."""
        self._call_on_loop(self._log_write_problems, problems)

    def _call_on_loop(self, call: Callable[..., None], *arguments: object) -> None:
        """From the writer's thread: call on the event loop, unless the process has ended it meanwhile."""
        with contextlib.suppress(RuntimeError):
            self.loop.call_soon_threadsafe(call, *arguments)

    def _apply_loaded(self, loaded: LoadedState, loaded_at: float) -> None:
        for problem in loaded.problems:
            log.warning("durable_state_rejected", source=problem.source, reason=problem.reason)
        self._log_progress("durable_state_loaded", loaded_at)
        self.loaded.set_result(loaded)
        if self.view:  # it was attached before the files were read
            self.view.restore_state(loaded.state)

    def _apply_restored(self, restored: RestoredState, restored_at: float) -> None:
        if restored.write_problems:
            self._log_write_problems(restored.write_problems)
        self._log_progress("durable_state_restored", restored_at)
        self.state = restored.state
        self._submission = _Submission(restored.state.holds, RESTORED_NUMBER)
        self.restored.set_result(restored)
        if self.view:
            self.view.raise_boot_number(restored.state.boot_number)
            self.save_timer.start()

    def _log_progress(self, event: str, disk_done_at: float) -> None:
        """Log how long the disk took since the start, and how much later the event loop took it in."""
        now = self.loop.time()
        log.info(event, disk=round(disk_done_at - self.began, 3), loop=round(now - disk_done_at, 3))

    def _log_write_problems(self, problems: list[StorageProblem]) -> None:
        """Once for each change of the files that fail."""
        if problems:
            reason = "; ".join(f"{problem.source}: {problem.reason}" for problem in problems)
            log.error("durable_write_failing", reason=reason)
        else:
            log.info("durable_write_recovered")
