"""The division of a front's limits among its processes, and the records by which they know of each other."""

from __future__ import annotations

import os
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest

from cleatyoke.limits.limit_record import LimitRecord
from cleatyoke.limits.limit_shares import FrontLimits, LimitShare, LimitUse, ProcessBudget, ProcessSize
from cleatyoke.limits.memory_budget import MAX_UPLOAD_BYTES, MEBIBYTE
from cleatyoke.limits.start_room import has_room, start_bytes
from cleatyoke.process.faults import Faults
from cleatyoke.process.limit_files import MARKER_PREFIX, RECORD_PREFIX, LimitFiles, process_start
from cleatyoke.process.metrics import Metrics
from cleatyoke.process.shared_limits import RESERVATION_GRACE, SharedLimits
from cleatyoke.process.sibling_processes import SiblingProcesses
from tests.scripted_peers import config

PROCESS = ProcessSize(anonymous=20 * MEBIBYTE, shared=8 * MEBIBYTE)
MEMORY_MB = [64, 72, 96, 128, 192]


def limits(memory_mb: int = 96, sockets: int = 1024) -> FrontLimits:
    return FrontLimits(memory_mb * MEBIBYTE, sockets, with_file_service=False, may_be_upgraded=True)


def record(pid: int, **fields: int) -> LimitRecord:
    made = LimitRecord(pid)
    for name, value in fields.items():
        setattr(made, name, value)
    return made


def budget_beside(front: FrontLimits, others: list[LimitRecord]) -> ProcessBudget:
    beside_another = replace(PROCESS, shared=PROCESS.shared // 2)
    return ProcessBudget.divide(front, LimitShare.of(front, others, PROCESS), beside_another)


@pytest.mark.parametrize("sockets", [256, 512, 1024])
@pytest.mark.parametrize("memory_mb", MEMORY_MB)
def test_two_processes_together_stay_within_the_limits(memory_mb: int, sockets: int) -> None:
    # In an upgrade each of two processes divided the whole limit, and the front was killed (review case 7).
    front = limits(memory_mb, sockets)
    waiting = record(2, waiting=1)
    old = budget_beside(front, [waiting])
    held = LimitUse(long_bodies=old.memory.long_bodies, clients=300)
    old_record = record(1, memory=old.memory_bytes(held), sockets=old.socket_count(held))
    new = budget_beside(front, [old_record])
    assert old.memory_bytes(held) + new.memory.total_bytes() <= memory_mb * MEBIBYTE
    if sockets == 1024:
        assert old.socket_count(held) + new.socket_count(LimitUse()) <= sockets


def test_process_beside_one_that_holds_more_than_its_share_gets_the_rest() -> None:
    front = limits(128)
    old = budget_beside(front, [record(2, waiting=1)])
    held = old.memory_bytes(LimitUse(long_bodies=old.memory.long_bodies + 20 * MEBIBYTE))
    share = LimitShare.of(front, [record(1, memory=held)], PROCESS)
    assert share.memory == 128 * MEBIBYTE - held < 64 * MEBIBYTE


def test_waiting_process_for_which_there_is_no_room_takes_no_share() -> None:
    # Where two processes do not fit, the old one serves on as before until it is told to end.
    front = limits(48)
    share = LimitShare.of(front, [record(2, waiting=1)], PROCESS)
    assert (share.processes, share.memory, share.sockets) == (1, 43 * MEBIBYTE, 1024)
    assert LimitShare.of(limits(64), [record(2, waiting=1)], PROCESS).processes == 2


def test_third_process_divides_the_limits_once_more() -> None:
    others = [record(1, memory=64 * MEBIBYTE), record(2, memory=64 * MEBIBYTE)]
    share = LimitShare.of(limits(192), others, PROCESS)
    assert (share.processes, share.memory, share.sockets) == (3, 64 * MEBIBYTE, 341)


def test_room_for_a_waiting_process_is_kept_only_where_it_costs_no_longest_upload() -> None:
    for memory_mb in (96, 192):
        front = limits(memory_mb)
        alone = ProcessBudget.divide(front, LimitShare.of(front, [], PROCESS), PROCESS)
        assert alone.memory.max_upload == MAX_UPLOAD_BYTES
        assert alone.memory.total_bytes() <= memory_mb * MEBIBYTE


def test_process_starts_once_the_others_leave_room_for_it() -> None:
    other = record(1, memory_limit=96 * MEBIBYTE, memory=96 * MEBIBYTE, process=21 * MEBIBYTE)
    own = record(2, started=7, waiting=1)
    assert not has_room(own, [other])
    other.memory = 96 * MEBIBYTE - start_bytes([other])
    assert has_room(own, [other])
    other.memory += 1
    assert not has_room(own, [other])
    assert has_room(own, [])
    assert has_room(own, [record(1)])  # an older release, which tells nothing


def test_of_several_that_wait_the_first_one_starts() -> None:
    other = record(1, memory_limit=96 * MEBIBYTE, memory=40 * MEBIBYTE, process=21 * MEBIBYTE)
    first, second = record(9, started=5, waiting=1), record(3, started=6, waiting=1)
    assert has_room(first, [other, second])
    assert not has_room(second, [other, first])
    first.waiting, first.memory = 0, start_bytes([other])  # it has begun to import
    assert has_room(second, [other, first]) == (40 + 2 * 23.5 <= 96)


def test_record_survives_malformed_text() -> None:
    made = record(5, started=3, waiting=1, memory_limit=9, memory=8, process=7, sockets=6)
    assert vars(LimitRecord.decode(5, made.encode())) == vars(made)
    assert vars(LimitRecord.decode(5, "memory=x started= sockets=-1 pid=4 memory_limit")) == vars(record(5))


class TestLimitFiles:
    def test_only_running_processes_count(self, tmp_path: Path) -> None:
        ended = subprocess.Popen([sys.executable, "-c", ""])
        while process_start(ended.pid) is not None:
            pass  # it has ended, and is a zombie until it is waited for
        (tmp_path / f"{RECORD_PREFIX}{ended.pid}").write_text("memory=5\n")
        (tmp_path / f"{RECORD_PREFIX}{2**22 + 7}").write_text("memory=5\n")  # no such process
        (tmp_path / f"{RECORD_PREFIX}{os.getppid()}.new").write_text("memory=5\n")  # half written
        (tmp_path / f"{RECORD_PREFIX}{os.getpid()}").write_text("memory=5\n")
        files = LimitFiles(str(tmp_path))
        assert files.read_others() == []
        ended.wait()

    def test_record_of_a_process_whose_id_was_used_again_does_not_count(self, tmp_path: Path) -> None:
        started = process_start(os.getppid())
        assert started
        path = tmp_path / f"{RECORD_PREFIX}{os.getppid()}"
        path.write_text(f"started={started + 1} memory=5\n")
        files = LimitFiles(str(tmp_path))
        assert files.read_others() == []
        path.write_text(f"started={started} memory=5\n")
        assert [other.memory for other in files.read_others()] == [5]

    def test_marker_beside_a_record_of_an_earlier_process_does_not_count(self, tmp_path: Path) -> None:
        # A killed process leaves both files; its id used again would halve every rate limit for good.
        started = process_start(os.getppid())
        assert started
        (tmp_path / f"{MARKER_PREFIX}{os.getppid()}").write_text("")
        (tmp_path / f"{RECORD_PREFIX}{os.getppid()}").write_text(f"started={started + 1} memory=5\n")
        assert LimitFiles(str(tmp_path)).read_others() == []
        siblings = SiblingProcesses(tmp_path, config().settings, Faults(Metrics()), 50.0)
        assert siblings.quota_share == 1.0
        (tmp_path / f"{RECORD_PREFIX}{os.getppid()}").write_text(f"started={started} memory=5\n")
        siblings.poll()
        assert siblings.quota_share == 0.5

    def test_marker_of_an_older_release_counts_without_figures(self, tmp_path: Path) -> None:
        (tmp_path / f"{MARKER_PREFIX}{os.getppid()}").write_text("")
        files = LimitFiles(str(tmp_path))
        assert [(other.pid, other.memory) for other in files.read_others()] == [(os.getppid(), 0)]
        (tmp_path / f"{RECORD_PREFIX}{os.getppid()}").write_text("memory=5\n")
        assert [other.memory for other in files.read_others()] == [5]


class TestSharedLimits:
    def start(self, folder: Path) -> tuple[SharedLimits, list[ProcessBudget]]:
        self.taken = PROCESS
        shared = SharedLimits(limits(96), folder, Faults(Metrics()), PROCESS, lambda: self.taken)
        budgets: list[ProcessBudget] = []
        self.use = LimitUse()
        self.reservations_limited = 0

        def limit_reservations() -> None:
            self.reservations_limited += 1
            self.use = LimitUse()

        shared._use, shared._on_change = lambda: self.use, budgets.append
        shared._limit_reservations = limit_reservations
        return shared, budgets

    def written(self, folder: Path) -> LimitRecord:
        return LimitRecord.decode(os.getpid(), (folder / f"{RECORD_PREFIX}{os.getpid()}").read_text())

    def other_path(self, folder: Path) -> Path:
        return folder / f"{RECORD_PREFIX}{os.getppid()}"

    def test_share_is_given_up_beside_another_process_and_comes_back(self, tmp_path: Path) -> None:
        shared, budgets = self.start(tmp_path)
        assert self.written(tmp_path).memory == 96 * MEBIBYTE  # until the other one has been seen
        self.other_path(tmp_path).write_text("waiting=1\n")
        shared.poll()
        assert len(budgets) == 1
        assert budgets[0].memory.total_bytes() <= 48 * MEBIBYTE
        assert self.written(tmp_path).sockets <= 512
        self.other_path(tmp_path).unlink()
        shared.poll()
        assert len(budgets) == 1  # it runs and may hold memory, though its record is gone
        shared._others = [record(2**22 + 7)]  # now it has ended
        shared.poll()
        assert len(budgets) == 2
        assert budgets[1].memory.max_upload == MAX_UPLOAD_BYTES
        shared.stop()
        assert not (tmp_path / f"{RECORD_PREFIX}{os.getpid()}").exists()

    def test_what_is_held_beyond_the_share_is_reported_until_it_is_free(self, tmp_path: Path) -> None:
        shared, budgets = self.start(tmp_path)
        self.use = LimitUse(long_bodies=30 * MEBIBYTE)
        self.other_path(tmp_path).write_text("waiting=1\n")
        shared.poll()
        planned = budgets[0].memory.total_bytes()
        excess = 30 * MEBIBYTE - budgets[0].memory.long_bodies
        assert self.written(tmp_path).memory >= planned + excess
        assert self.reservations_limited == 0  # uploads are given a moment to complete
        shared._reduced_at -= RESERVATION_GRACE
        shared.poll()
        assert self.reservations_limited == 1
        assert self.written(tmp_path).memory < planned + excess

    def test_memory_that_the_process_takes_beyond_its_budget_is_reported(self, tmp_path: Path) -> None:
        shared, _ = self.start(tmp_path)
        self.other_path(tmp_path).write_text("waiting=1\n")
        self.taken = ProcessSize(60 * MEBIBYTE, 4 * MEBIBYTE)  # as freed memory that is not returned
        shared.poll()
        assert self.written(tmp_path).memory == 64 * MEBIBYTE
        assert shared.budget.memory.process == (20 + 4 + 1) * MEBIBYTE  # less of the libraries than alone

    def test_folder_that_cannot_be_read_at_the_start_may_hide_another_process(self, tmp_path: Path) -> None:
        folder = tmp_path / "folder"
        shared, budgets = self.start(folder)
        assert shared.share.processes == 2
        folder.mkdir()
        shared.poll()
        assert shared.share.processes == 1
        assert budgets[0].memory.max_upload == MAX_UPLOAD_BYTES
        assert self.written(folder).memory == 96 * MEBIBYTE

    def test_folder_that_fails_for_a_while_loses_no_share(self, tmp_path: Path) -> None:
        folder = tmp_path / "folder"
        folder.mkdir()
        shared, budgets = self.start(folder)
        self.other_path(folder).write_text("memory=5\n")
        shared.poll()
        folder.rename(tmp_path / "away")
        shared.poll()
        assert shared.share.processes == 2  # the other one still runs
        (tmp_path / "away").rename(folder)
        self.other_path(folder).write_text("memory=60000000\n")
        shared.poll()
        assert len(budgets) == 2
        assert budgets[1].memory.total_bytes() < budgets[0].memory.total_bytes()
        assert self.written(folder).process > 0
