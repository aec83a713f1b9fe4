"""The boxes held by hand, kept in ``$TMPDIR`` so that both processes of an upgrade hold the same ones.

Each change is made under a lock on the file: what the other process wrote is taken first, then the change,
then the whole set is written anew. The loop looks at the file every 0.25 s for changes by the other.
"""

from __future__ import annotations

import fcntl
import os
import threading
import time
from collections.abc import Callable
from pathlib import Path

import structlog

from cleatyoke.core import Core
from cleatyoke.discovery.directory import Directory
from cleatyoke.process.faults import Faults, Watchdog
from cleatyoke.scheduling.events import EndpointUpdate, QuotaShareChanged, SchedulerEvent, UpdateKind
from cleatyoke.scheduling.settings import SchedulerSettings

NAME = "cleatyoke-holds.json"
LOOK = 0.25  # seconds between looks at the file
MARK = "cleatyoke-life-"
HEARD = 0.15  # seconds after its mark from which a new process counts on its part: the others have seen it
LIVES = 0.05  # seconds between counts of the processes that live: the slack of a limit is spent in 0.3 s
log = structlog.get_logger()


class HoldFile:
    def __init__(self, folder: Path, directory: Directory, core: Core, faults: Faults) -> None:
        self.path, self.lock_path = folder / NAME, folder / (NAME + ".lock")
        self.directory, self.core, self.loop = directory, core, core.loop
        self.mutex = threading.Lock()
        self.seen: tuple[int, int] | None = None
        self.shared: Callable[[str, bool], None] | None = None  # hears of calls here
        self.beat = Watchdog(faults, "holds", LOOK, self.look)

    def start(self) -> None:
        self.beat.start()

    def stop(self) -> None:
        self.beat.stop()

    def stamp(self) -> tuple[int, int] | None:
        try:
            facts = os.stat(self.path)
        except OSError:
            return None
        return facts.st_mtime_ns, facts.st_size

    def take(self) -> list[str]:
        """What the other process wrote; the ids whose hold changed."""
        stamp = self.stamp()
        if stamp is None or stamp == self.seen:
            return []
        self.seen = stamp
        try:
            text = self.path.read_text()
        except (OSError, ValueError):  # no text at all
            return []
        taken, freed = self.directory.holds.adopt(text, self.core.now())
        return taken + freed

    def look(self) -> None:
        with self.mutex:
            changed = self.take()
        self.tell(changed)

    def tell(self, names: list[str]) -> None:
        """On the loop: the policy and the box pools hear of holds taken or given back."""
        if entries := self.directory.refresh(names):
            self.core.tell(EndpointUpdate(UpdateKind.DELTA, entries))

    def change(self, name: str, disable: bool) -> bool:
        """From the control thread: the hold holds for the box client at once, and for the policy soon."""
        with self.mutex:
            try:
                with open(self.lock_path, "a") as lock:
                    fcntl.flock(lock, fcntl.LOCK_EX)
                    changed = self.take()
                    done = self.act(name, disable)
                    self.write()
            except OSError as error:
                log.warning("holds_not_kept", why=str(error))
                changed, done = [], self.act(name, disable)
        self.loop.call_soon_threadsafe(self.tell, [*changed, name])
        if done and self.shared:
            self.loop.call_soon_threadsafe(self.shared, name, disable)
        return done

    def heard(self, held: frozenset[str], released: frozenset[str]) -> None:
        """On the loop: other fronts hold these boxes from now on, and have released those."""
        with self.mutex:
            now = self.core.now()
            for name in held:
                self.directory.holds.disable(name, known=True)
            for name in released:
                self.directory.holds.enable(name, True, now)
            try:
                self.write()
            except OSError as error:
                log.warning("holds_not_kept", why=str(error))
        self.tell([*held, *released])

    def act(self, name: str, disable: bool) -> bool:
        holds, known = self.directory.holds, self.directory.has_seen(name)
        return holds.disable(name, known) if disable else holds.enable(name, known, self.core.now())

    def write(self) -> None:
        spare = self.path.with_suffix(".new")
        spare.write_text(self.directory.holds.encode())
        os.replace(spare, self.path)
        self.seen = self.stamp()

    def disable(self, name: str) -> bool:
        return self.change(name, True)

    def enable(self, name: str) -> bool:
        return self.change(name, False)


class SiblingProcesses:
    """The processes of this front that live at once, as during an upgrade: each leaves a mark in ``$TMPDIR``,
    and while others live, each may use only its part of every limit. A mark of a process that died is passed
    over.

    Made at the start, it tells the settings what this process may use from when: where an older one lives, no
    part of the slack, as that one has it, and nothing of the time before that one has heard of this.
    """

    def __init__(self, folder: Path, settings: SchedulerSettings, faults: Faults, began: float) -> None:
        self.folder = folder
        self.mark = folder / f"{MARK}{os.getpid()}"
        self.beat = Watchdog(faults, "lives", LIVES, self.count)
        self.tell: Callable[[SchedulerEvent], None] = lambda event: None
        try:
            self.mark.write_text("")
        except OSError as error:
            log.warning("life_not_marked", why=str(error))
        others = self.others()
        self.part = 1.0 / (1 + others)
        settings.initial_quota_share, settings.replaces_process = self.part, others > 0
        settings.idle_since = time.time() + HEARD if others else began

    def others(self) -> int:
        alive = 0
        for path in self.folder.glob(f"{MARK}*"):
            pid = path.name.removeprefix(MARK)
            if not pid.isdecimal() or int(pid) == os.getpid():
                continue
            try:
                os.kill(int(pid), 0)
            except ProcessLookupError:
                continue
            except OSError:
                pass  # it lives, under another user
            alive += 1
        return alive

    def count(self) -> None:
        part = 1.0 / (1 + self.others())
        if part != self.part:
            self.part = part
            log.info("limits_shared", share=part)
            self.tell(QuotaShareChanged(part))

    def start(self, tell: Callable[[SchedulerEvent], None]) -> None:
        """``tell``: how the policy hears of a change."""
        self.tell = tell
        self.beat.start()

    def stop(self) -> None:
        self.beat.stop()
        self.mark.unlink(missing_ok=True)
