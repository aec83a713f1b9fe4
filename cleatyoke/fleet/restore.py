"""Durable state of a running front: restored at startup, written from then on.

Connects the event loop with ``durability.writer``; imported only if durable state is enabled.
``durability.records`` defines which stored data is trusted, ``coordination.staged_start`` how long a start
waits for it.
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

SAVE_INTERVAL = 5.0  # seconds between checks for changed state; holds are saved immediately
RESTORED_WRITE_NUMBER = 0  # stands for the restored state; numbers of submitted writes begin at 1
log = structlog.get_logger()


class _Submission(NamedTuple):
    """The last submitted holds and the number of that write.

    Kept in one object because the operators' thread reads both: with two attributes it could pair new holds
    with the number of the previous write.
    """

    holds: HoldSet
    number: int


class StateOwner(Protocol):
    """Provides the state to store and takes the restored state: the fleet's view."""

    durable_state: DurableState | None
    """Set by ``attach``; from then on the view calls ``save`` after each change of holds."""

    def restore_state(self, state: FrontState) -> None:
        """Apply the stored holds and peers, possibly after startup."""
        ...

    def raise_boot_number(self, boot_number: int) -> None:
        """Raise the boot number above the restored one, possibly after startup."""
        ...

    def state_to_save(self, previous: FrontState) -> FrontState:
        """Return the state to store. ``previous``: the one stored last."""
        ...


class DurableState:
    """The durable state of this process: holds, boot number and known peers.

    Must be created on the running event loop, where all methods except ``has_written`` are called. Reading
    starts immediately and never blocks the loop. Two futures complete one after the other:

    - ``loaded``: the files have been read; their holds and peers apply from then on.
    - ``restored``: the boot number of this process has been written and applies from then on. No state is
      saved before, because that could overwrite a greater stored number.

    ``folder``: on a persistent disk. ``front``: "DEPLOYMENT/NAME".
    """

    def __init__(self, folder: Path, front: str, faults: Faults) -> None:
        self.loop = asyncio.get_running_loop()
        self.started_at = self.loop.time()
        self.loaded: asyncio.Future[LoadedState] = self.loop.create_future()
        self.restored: asyncio.Future[RestoredState] = self.loop.create_future()
        self.view: StateOwner | None = None
        self.state = FrontState()  # last restored or submitted
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
        """Wait until the files have been read and the boot number of this process has been written.

        Cancelling the wait cancels neither; the results are applied when they arrive.
        """
        await asyncio.shield(self.restored)

    def describe_restored(self) -> str | None:
        """Return a short log text on whether stored state was found, or None until it is restored."""
        if not self.restored.done():
            return None
        return "found" if self.restored.result().was_found else "nothing found"

    def attach(self, view: StateOwner) -> None:
        """Pass the stored state to the view, now or once loaded, and save the view's state from then on."""
        self.view = view
        view.durable_state = self
        if self.loaded.done():
            view.restore_state(self.loaded.result().state)
        if self.restored.done():
            self.save_timer.start()

    def save(self) -> None:
        """Schedule a write of the view's state if it has changed. Does not wait for the disk."""
        assert self.view
        if not self.restored.done():
            return  # the first save follows once the boot number is written
        state = self.view.state_to_save(self.state)
        state = replace(state, peers=state.peers[:MAX_PEERS])
        if state != self.state:
            self.state = state
            self._submission = _Submission(state.holds, self.writer.submit(state))

    def has_written(self, holds: HoldSet) -> bool:
        """Whether these holds are on disk. May be called from any thread."""
        submission = self._submission
        if submission is None or submission.holds != holds:
            return False
        return self.writer.is_written(submission.number)

    def stop(self, seconds_left: float) -> None:
        """Save a last time and stop the writer, waiting for the disk for at most ``seconds_left``."""
        self.save_timer.stop()
        self.save()
        self.writer.stop(seconds_left)

    def metric_lines(self) -> list[str]:
        """Return the metrics of durable state as "NAME=VALUE"."""
        writer = self.writer
        values = {
            "writes": writer.writes,
            "failures": writer.failures,
            "behind": writer.submitted - writer.written,
            "failing": len(writer.problems),
        }
        return [f"durable.{name}={value}" for name, value in values.items()]

    def _on_loaded(self, loaded: LoadedState) -> None:
        """Runs on the writer's thread."""
        self._call_on_loop(self._apply_loaded, loaded, self.loop.time())

    def _on_restored(self, restored: RestoredState) -> None:
        """Runs on the writer's thread."""
        self._call_on_loop(self._apply_restored, restored, self.loop.time())

    def _on_problems_changed(self, problems: list[StorageProblem]) -> None:
        """Runs on the writer's thread."""
        self._call_on_loop(self._log_write_problems, problems)

    def _call_on_loop(self, callback: Callable[..., None], *arguments: object) -> None:
        """Schedule a call on the event loop from the writer's thread; does nothing if the loop is closed."""
        with contextlib.suppress(RuntimeError):
            self.loop.call_soon_threadsafe(callback, *arguments)

    def _apply_loaded(self, loaded: LoadedState, loaded_at: float) -> None:
        for problem in loaded.problems:
            log.warning("durable_state_rejected", source=problem.source, reason=problem.reason)
        self._log_progress("durable_state_loaded", loaded_at)
        self.loaded.set_result(loaded)
        if self.view:  # attached before the files were read
            self.view.restore_state(loaded.state)

    def _apply_restored(self, restored: RestoredState, restored_at: float) -> None:
        if restored.write_problems:
            self._log_write_problems(restored.write_problems)
        self._log_progress("durable_state_restored", restored_at)
        self.state = restored.state
        self._submission = _Submission(restored.state.holds, RESTORED_WRITE_NUMBER)
        self.restored.set_result(restored)
        if self.view:
            self.view.raise_boot_number(restored.state.boot_number)
            self.save_timer.start()

    def _log_progress(self, event: str, disk_done_at: float) -> None:
        """Log the time from creation to the disk's answer, and the event loop's delay in processing it."""
        now = self.loop.time()
        log.info(
            event,
            disk_seconds=round(disk_done_at - self.started_at, 3),
            loop_seconds=round(now - disk_done_at, 3),
        )

    def _log_write_problems(self, problems: list[StorageProblem]) -> None:
        """Log a change in the set of failing files."""
        if problems:
            reason = "; ".join(f"{problem.source}: {problem.reason}" for problem in problems)
            log.error("durable_write_failing", reason=reason)
        else:
            log.info("durable_write_recovered")
