"""The only module of the stored-data recording that uses the project: writes and reads in recorded words.

After a rename in the project only this module changes; the words in the recorded data stay.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

from cleatyoke.core import Core
from cleatyoke.discovery.directory import Directory
from cleatyoke.distribution.contents import DistributedSettings, listed_nodes, settings_entries
from cleatyoke.distribution.contents import lane_of as lane_of_key
from cleatyoke.distribution.errors import EpochError
from cleatyoke.distribution.folder import (
    ConfigFolder,
    next_epoch,
)
from cleatyoke.distribution.records import Entry, Lane
from cleatyoke.distribution.relay import Source
from cleatyoke.durability import records
from cleatyoke.durability.store import FILE_NAMES, StateDatabase
from cleatyoke.process.faults import Faults
from cleatyoke.process.metrics import Metrics
from cleatyoke.coordination.replicated_holds import HoldSet
from cleatyoke.coordination.hold_replication import HoldReplication
from cleatyoke.membership.wire import MemberId
from cleatyoke.fleet.hold_sharing import REPLICATED_HOLDS_FILE
from cleatyoke.process.hold_file import HoldFile
from cleatyoke.process.sibling_processes import SiblingProcesses
from tests import driven_front

CHECK_MODULE = "cleatyoke.durability"
DURABLE_FILES = FILE_NAMES
COPIES_FILE = REPLICATED_HOLDS_FILE
LANE_NAMES = {Lane.NODES: "nodes first", Lane.SETTINGS: "settings"}

Neutral = dict[str, Any]


def member_id(name: str, boot: int) -> MemberId:
    """Return the member id of a front's incarnation."""
    return MemberId(name, boot)


def make_holds(facts: Neutral) -> HoldSet:
    """Build holds from the clock by member id (``known``) and the dots of each held node (``held``)."""
    return HoldSet(
        clock={member_id(name, boot): number for name, boot, number in facts["known"]},
        dots_by_node={
            node: frozenset((member_id(name, boot), number) for name, boot, number in marks)
            for node, marks in facts["held"].items()
        },
    )


def neutral_holds(holds: HoldSet) -> Neutral:
    """Return the holds in recorded form, sorted, as sets have no order."""
    return {
        "known": sorted([one.name, one.boot, number] for one, number in holds.clock.items()),
        "held": {
            node: sorted([one.name, one.boot, number] for one, number in marks)
            for node, marks in sorted(holds.dots_by_node.items())
        },
    }


def save_durable(folder: Path, front: str, facts: Neutral) -> list[list[str]]:
    """Write both database files as a front does; return the failures by file."""
    state = records.FrontState(
        holds=make_holds(facts["holds"]), boot_number=facts["boot"], peers=tuple(facts["peers"])
    )
    return [[one.source, one.reason] for one in StateDatabase(folder=folder, front=front).save(state)]


def load_durable(folder: Path, front: str) -> Neutral:
    """Return the state that a start loads from the files, and the faults found in them."""
    state, findings = StateDatabase(folder=folder, front=front).load()
    return {
        "holds": neutral_holds(state.holds),
        "boot": state.boot_number,
        "peers": list(state.peers),
        "doubts": [[one.source, one.reason] for one in findings],
        "files": sorted(path.name for path in folder.iterdir()),
    }


def sealed_row(kind: str, front: str, data: bytes, form: int) -> tuple[str, int, str, bytes, int]:
    """Return a database row with a valid checksum."""
    row = records.make_row(kind=kind, front=front, data=data, schema_version=form)
    return row.kind, row.schema_version, row.front, row.data, row.checksum


def next_boot(remembered: int, unix: float) -> int:
    """Return the boot number of a new incarnation."""
    return records.next_boot_number(remembered, unix)


def with_hold_file(folder: Path, act: Callable[[HoldFile, Directory], None]) -> Neutral:
    """Run ``act`` on a hold file in an event loop; return the resulting holds and the folder's files."""

    async def run() -> Neutral:
        directory = Directory({})
        file = HoldFile(folder, directory, Core(driven_front.settings()), Faults(Metrics()))
        act(file, directory)
        await asyncio.sleep(0)
        return {
            "held": list(directory.holds.held),
            "released": dict(directory.holds.released),
            "files": sorted(path.name for path in folder.iterdir()),
        }

    return asyncio.run(run())


def write_hold_file(folder: Path, held: list[str], released: dict[str, float]) -> Neutral:
    """Write the holds of one process of a front."""

    def act(file: HoldFile, directory: Directory) -> None:
        for name in [*held, *released]:
            directory.holds.disable(name, known=True)
        for name, when in released.items():
            directory.holds.enable(name, known=True, now=when)
        file._write()

    return with_hold_file(folder, act)


def read_hold_file(folder: Path) -> Neutral:
    """Return the holds that another process of the front reads from the file."""
    return with_hold_file(folder, lambda file, directory: file.poll())


def hold_again(folder: Path, name: str) -> Neutral:
    """Hold a node that the file already holds: the file is written again, under the lock."""

    def act(file: HoldFile, directory: Directory) -> None:
        file.poll()
        file.disable(name)

    return with_hold_file(folder, act)


def mark_process(folder: Path) -> Neutral:
    """Return the marker files of a new process, and its part of the limits next to sibling processes."""

    async def run() -> Neutral:
        settings = driven_front.settings()
        processes = SiblingProcesses(folder, settings, Faults(Metrics()), 50.0)
        files = [path.name for path in folder.iterdir()]
        processes.stop()
        return {
            "files": sorted(name_of_mark(name) for name in files),
            "part of limits": settings.initial_quota_share,
            "taken over": settings.replaces_process,
            "files at the end": len(list(folder.iterdir())),
        }

    return asyncio.run(run())


def name_of_mark(name: str) -> str:
    """Return the name of a process's marker file, with the ids of this process and its parent replaced."""
    *parts, last = name.split("-")
    return "-".join([*parts, {str(os.getpid()): "OWN", str(os.getppid()): "PARENT"}.get(last, last)])


def dump_copies(facts: Neutral) -> bytes:
    """Return the file by which a front remembers holds and the releases by other fronts that it knows."""
    return HoldReplication(self_id=lambda: member_id("n1", 1), holds=make_holds(facts)).dump()


def restore_copies(data: bytes, held: list[str]) -> Neutral:
    """Return the holds after the next incarnation, ``n1`` boot 99, restored that file and its hold file."""
    sharing = HoldReplication(self_id=lambda: member_id("n1", 99))
    sharing.restore(data, frozenset(held))
    return neutral_holds(sharing.holds)


class SourceFolder:
    """A source of distributed settings that reads a folder."""

    def __init__(self, folder: Path, epoch: int) -> None:
        self.folder = ConfigFolder(folder)
        self.source = Source("d", "source", epoch)

    def look(self, base: dict[str, Any]) -> Neutral:
        """Apply changes in the folder; return the content of the source. ``base``: a front's own settings."""
        scan = self.folder.scan()
        for key, value in scan.changes.items():
            self.source.put(0.0, lane_of_key(key), key, value)
        entries = [entry for lane in Lane for entry in self.source.store.lanes[lane].entries.values()]
        nodes, unreadable = listed_nodes(entries)
        return {
            "changes": {
                key: None if value is None else value.decode() for key, value in scan.changes.items()
            },
            "refused": list(scan.rejected),
            "last number": self.source.last_number,
            "kept": {
                LANE_NAMES[lane]: [
                    neutral_entry(one) for one in self.source.store.lanes[lane].entries.values()
                ]
                for lane in Lane
            },
            "settings of a front": DistributedSettings().with_entries(settings_entries(entries)).merged(base),
            "nodes": nodes,
            "unreadable nodes": unreadable,
        }


def neutral_entry(entry: Entry) -> list[Any]:
    """Return the key, epoch, number and text of an entry."""
    text = None if entry.value is None else entry.value.decode()
    return [entry.key, entry.version.epoch, entry.version.number, text]


def begin_epoch(path: Path, unix: float) -> int | str:
    """Return the epoch that a source begins at startup, or the error's text."""
    try:
        return next_epoch(path, unix)
    except EpochError as error:
        return str(error)
