"""Durable state: the rows, the files under every kind of damage, the writer's thread, and the command.

Also processes that are killed as they write.
"""

from __future__ import annotations

import random
import shutil
import sqlite3
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from cleatyoke.coordination.replicated_holds import HoldSet
from cleatyoke.durability.__main__ import main
from cleatyoke.durability.records import (
    SCHEMA_VERSION,
    FrontState,
    LoadedState,
    StorageProblem,
    decode_state,
    encode_state,
    make_row,
    next_boot_number,
)
from cleatyoke.durability.store import FILE_NAMES, StateDatabase, read_rows
from cleatyoke.durability.writer import RestoredState, StateWriter
from cleatyoke.membership.wire import MemberId

ROOT = Path(__file__).resolve().parent.parent
FRONT = "ours/n1"
HELD = FrontState(HoldSet().hold(MemberId("n1", 7), "s-003"), 7, ("10.0.0.1:1",))


def any_state() -> st.SearchStrategy[FrontState]:
    def make(ops: list[tuple[bool, int, int]], boot: int, peers: list[str]) -> FrontState:
        holds = HoldSet()
        for hold, life, box in ops:
            holds = holds.hold(MemberId(f"n{life}", 1), f"s-{box}") if hold else holds.release(f"s-{box}")
        return FrontState(holds, boot, tuple(peers))

    op = st.tuples(st.booleans(), st.integers(0, 2), st.integers(0, 3))
    return st.builds(make, st.lists(op, max_size=6), st.integers(0, 99), st.just([]))


@settings(deadline=None, derandomize=True, max_examples=60)
@given(any_state(), any_state(), any_state())
def test_copies_merge_in_any_order_and_any_number_of_times(
    one: FrontState, two: FrontState, three: FrontState
) -> None:
    assert one.merge(two) == two.merge(one)
    assert one.merge(two).merge(three) == one.merge(two.merge(three))
    assert one.merge(two).merge(two) == one.merge(two)


def test_a_row_is_trusted_by_itself_or_not_at_all() -> None:
    """A bit flips in a row, or a row is malformed, foreign or of a newer program.

    Nothing of that row may count, all other rows must, and the reason is named.
    """
    rows = encode_state(HELD, FRONT)
    assert decode_state(rows, FRONT, "a") == (HELD, [])
    for place, row in enumerate(rows):
        for byte in range(len(row.data)):
            bad = bytearray(row.data)
            bad[byte] ^= 1 << byte % 8
            damaged = [*rows[:place], row._replace(data=bytes(bad)), *rows[place + 1 :]]
            state, problems = decode_state(damaged, FRONT, "a")
            assert problems == [StorageProblem(f"a: {row.kind}", "sum")]
            assert state.merge(HELD) == HELD
    for odd, why in (
        ((), "unreadable"),
        ((None,) * 5, "no data"),
        (("holds", 1, FRONT, "text", 0), "no data"),
        (make_row("holds", FRONT, b"x", SCHEMA_VERSION + 1), "newer"),
        (make_row("holds", "theirs/n1", b"x"), "another front"),
        (make_row("new", FRONT, b"x"), "unknown"),
        (make_row("boot", FRONT, b"\xc1"), "unreadable"),
        (make_row("holds", FRONT, b"\xff" * 99), "unreadable"),
        (("holds", "x", FRONT, b"x", 1), "sum"),
    ):
        state, [problem] = decode_state([odd, *rows], FRONT, "a")
        assert state == HELD
        assert why in problem.reason


def test_a_boot_number_only_rises_whatever_the_clock_does() -> None:
    assert next_boot_number(0, 1000.5) == 1_000_500
    assert next_boot_number(1_000_500, 1000.0 - 3600) == 1_000_501  # an hour back
    assert next_boot_number(1_000_500, 1000.0 + 3600) == 4_600_000


# Files


def damage(path: Path) -> dict[str, Callable[[], object]]:
    whole, rng = path.read_bytes(), random.Random(3)

    def flip(place: int) -> bytes:
        return whole[:place] + bytes([whole[place] ^ 0x10]) + whole[place + 1 :]

    newer = f"PRAGMA user_version = {SCHEMA_VERSION + 1}"
    out: dict[str, Callable[[], object]] = {
        "empty": lambda: path.write_bytes(b""),
        "gone": path.unlink,
        "text": lambda: path.write_text("not a file\n" * 99),
        "newer": lambda: sqlite3.connect(path).execute(newer).connection.close(),
        "foreign": lambda: path.write_bytes(whole[:68] + b"abcd" + whole[72:]),
    }
    for cut in (*range(0, len(whole), 4096), *(rng.randrange(len(whole)) for _ in range(20))):
        out[f"cut {cut}"] = lambda cut=cut: path.write_bytes(whole[:cut])  # type: ignore[misc]
    for place in (rng.randrange(len(whole)) for _ in range(60)):
        out[f"flip {place}"] = lambda place=place: path.write_bytes(flip(place))  # type: ignore[misc]
    return out


def test_no_damage_to_one_file_loses_a_hold_or_ends_a_start(tmp_path: Path) -> None:
    """One of the two files is emptied, deleted, cut at any length, overwritten, or has a bit flipped.

    The start must read the whole state from the other, and both files must be good after the next write.
    """
    StateDatabase(tmp_path / "good", FRONT).save(HELD)
    for name in FILE_NAMES:
        for what in damage(tmp_path / "good" / name):
            folder = tmp_path / "damaged"
            shutil.copytree(tmp_path / "good", folder)
            damage(folder / name)[what]()
            disk = StateDatabase(folder, FRONT)
            state, problems = disk.load()
            assert state == HELD, what
            if what in ("text", "newer", "foreign") or what.startswith("cut 4096"):
                assert "put aside as" in problems[0].reason, what
                assert list(folder.glob("*.doubtful-1")), what
            assert disk.save(state) == [], what
            assert disk.load() == (HELD, []), what
            shutil.rmtree(folder)


def test_an_old_file_takes_nothing_away_and_another_fronts_files_are_not_trusted(tmp_path: Path) -> None:
    """An operator restores a file, or both, from an old backup; or a disk of another front is mounted."""
    disk = StateDatabase(tmp_path / "disk", FRONT)
    disk.save(HELD)
    shutil.copytree(tmp_path / "disk", tmp_path / "old")
    later = FrontState(HELD.holds.release("s-003").hold(MemberId("n1", 7), "s-004"), 9, HELD.peers)
    disk.save(later)
    shutil.copy(tmp_path / "old" / FILE_NAMES[0], tmp_path / "disk" / FILE_NAMES[0])
    assert disk.load()[0] == later  # the release that the old copy lacks stands too
    shutil.copy(tmp_path / "old" / FILE_NAMES[1], tmp_path / "disk" / FILE_NAMES[1])
    assert disk.load()[0] == HELD  # both put back: a hold too many at the most, and peers know better
    other = StateDatabase(tmp_path / "disk", "ours/n2")
    state, problems = other.load()
    assert state == FrontState()
    assert sum("another front" in problem.reason for problem in problems) >= 2
    assert other.save(FrontState(boot_number=1)) == []
    assert other.load() == (FrontState(boot_number=1), [])


def test_a_disk_that_cannot_be_written_is_named_and_costs_nothing_else(tmp_path: Path) -> None:
    """The folder can't be made, or another process holds the lock of a file.

    Each failure is named; a file that is merely locked is not set aside.
    """
    (tmp_path / "file").write_text("")
    assert len(StateDatabase(tmp_path / "file", FRONT).save(HELD)) == 2
    assert StateDatabase(tmp_path / "file" / "below", FRONT).load() == (FrontState(), [])
    disk = StateDatabase(tmp_path / "disk", FRONT)
    disk.save(HELD)
    with sqlite3.connect(tmp_path / "disk" / FILE_NAMES[0], isolation_level=None) as holder:
        holder.execute("BEGIN EXCLUSIVE")  # another process holds one file
        state, problems = disk.load()
    holder.close()
    assert state == HELD
    assert not list((tmp_path / "disk").glob("*.doubtful*"))
    assert [problem.source for problem in problems] in ([], [FILE_NAMES[0]])


FULL = """
import resource, signal, sys
from pathlib import Path
from cleatyoke.durability.records import FrontState
from cleatyoke.durability.store import StateDatabase
from cleatyoke.coordination.replicated_holds import HoldSet
from cleatyoke.membership.wire import MemberId
disk, holds = StateDatabase(Path(sys.argv[1]), "ours/n1"), HoldSet().hold(MemberId("n1", 7), "s-003")
assert disk.save(FrontState(holds, 7)) == []
signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
resource.setrlimit(resource.RLIMIT_FSIZE, (16384, resource.RLIM_INFINITY))
many = HoldSet(holds.clock, {f"s-{number}": holds.dots_by_node["s-003"] for number in range(2000)})
failed = disk.save(FrontState(many, 8))
assert len(failed) == 2, failed
resource.setrlimit(resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY, resource.RLIM_INFINITY))
state, problems = disk.load()
assert (state, problems) == (FrontState(holds, 7), []), (state, problems)
assert disk.save(FrontState(holds, 9)) == [] and disk.load()[0].boot_number == 9
"""


def test_a_disk_that_is_full_amid_a_write_keeps_what_it_had(tmp_path: Path) -> None:
    """The disk is full in the middle of a write, and has space again later."""
    assert subprocess.run([sys.executable, "-c", FULL, str(tmp_path)], cwd=ROOT).returncode == 0


# The thread


class SlowDisk:
    def __init__(self) -> None:
        self.go, self.failing, self.saved = threading.Event(), 0, list[FrontState]()

    def load(self) -> LoadedState:
        return LoadedState(HELD, [])

    def save(self, state: FrontState) -> list[StorageProblem]:
        assert self.go.wait(10)
        self.saved.append(state)
        return [StorageProblem(f"file {number}", "full") for number in range(self.failing)]


def until(what: Callable[[], bool]) -> None:
    end = time.monotonic() + 10
    while not what():
        assert time.monotonic() < end
        time.sleep(0.005)


def test_nobody_waits_for_a_slow_disk_and_a_failing_one_is_reported_once() -> None:
    """The disk hangs, then one file fails, then both, then none.

    Submitting never blocks, only the newest state is written, each change is reported once, and a failed
    write is repeated by itself.
    """
    disk, first, reported = SlowDisk(), list[RestoredState](), list[list[StorageProblem]]()
    writer = StateWriter(disk, lambda: 0.0, first.append, reported.append)
    writer.start()
    began = time.monotonic()
    numbers = [writer.submit(FrontState(boot_number=boot)) for boot in range(100, 150)]
    assert time.monotonic() - began < 0.5
    assert not first
    assert not writer.is_written(numbers[0])
    disk.go.set()
    until(lambda: writer.is_written(numbers[-1]))
    assert first[0].state.boot_number == HELD.boot_number + 1
    assert first[0].was_found
    assert [one.boot_number for one in disk.saved] == [
        HELD.boot_number + 1,
        149,
    ]  # the newest of all that waited
    disk.failing = 1
    number = writer.submit(FrontState(boot_number=200))
    until(lambda: writer.is_written(number))  # one of two has it
    disk.failing = 2
    number = writer.submit(FrontState(boot_number=201))
    until(lambda: len(reported) == 2)
    assert not writer.is_written(number)
    disk.failing = 0
    until(lambda: writer.is_written(number))  # tried again by itself
    until(lambda: reported[-1] == [])
    assert [len(problems) for problems in reported] == [1, 2, 0]
    writer.stop()
    assert not writer.thread.is_alive()


WRITES = """
import sys
from pathlib import Path
from cleatyoke.durability.records import FrontState
from cleatyoke.durability.store import StateDatabase
from cleatyoke.coordination.replicated_holds import HoldSet
from cleatyoke.membership.wire import MemberId
disk = StateDatabase(Path(sys.argv[1]), "ours/n1")
state, problems = disk.load()
assert not problems, problems
for number in range(10000):
    holds = state.holds.hold(MemberId("n1", state.boot_number), f"s-{len(state.holds.dots_by_node)}")
    state = FrontState(holds, state.boot_number + 1)
    assert not disk.save(state)
    print(len(state.holds.dots_by_node), state.boot_number, flush=True)
"""


def test_what_was_acknowledged_as_stored_outlives_ten_kills_in_a_row(tmp_path: Path) -> None:
    """A process is killed as it writes, ten times; what it had acknowledged must be there."""
    rng, boxes, boot = random.Random(1), 0, 0
    for _ in range(10):
        words = [sys.executable, "-c", WRITES, str(tmp_path)]
        with subprocess.Popen(words, cwd=ROOT, stdout=subprocess.PIPE, text=True) as process:
            assert process.stdout
            for _ in range(rng.randint(1, 5)):
                boxes, boot = map(int, process.stdout.readline().split())
            time.sleep(rng.uniform(0, 0.01))
            process.kill()
            for line in process.stdout:  # kept too, though the reader came late
                if line.endswith("\n"):
                    boxes, boot = map(int, line.split())
        state, problems = StateDatabase(tmp_path, FRONT).load()
        assert problems == []
        assert len(state.holds.dots_by_node) >= boxes
        assert state.boot_number >= boot


# The command


def test_the_command_explains_what_a_start_would_trust(tmp_path: Path) -> None:
    StateDatabase(tmp_path, FRONT).save(HELD)
    shown = CliRunner().invoke(main, ["check", str(tmp_path)])
    assert shown.exit_code == 0
    assert "s-003: placed by n1 (boot 7, number 1)" in shown.output
    (tmp_path / FILE_NAMES[1]).write_text("x" * 5000)
    before = sorted(path.name for path in tmp_path.iterdir())
    shown = CliRunner().invoke(main, ["check", str(tmp_path)])
    assert shown.exit_code == 1
    assert "not believed" in shown.output
    assert "s-003" in shown.output
    assert sorted(path.name for path in tmp_path.iterdir()) == before
    assert read_rows(tmp_path / FILE_NAMES[0])
    other = CliRunner().invoke(main, ["check", str(tmp_path), "--front", "ours/n9"])
    assert other.exit_code == 1
    assert "of another front" in other.output


def test_it_is_not_imported_while_it_is_off() -> None:
    ours = ("cleatyoke.durability", "sqlite3", "click", "cleatyoke.fleet")
    look = f"import sys, cleatyoke.__main__; sys.exit(any(n.startswith({ours}) for n in sys.modules))"
    assert subprocess.run([sys.executable, "-c", look], cwd=ROOT).returncode == 0


@pytest.mark.parametrize("folder", ['"relative"', "7"])
def test_a_folder_that_cannot_be_one_is_named(folder: str, tmp_path: Path) -> None:
    from cleatyoke.config.errors import ConfigError
    from cleatyoke.config.fronts_file import read_fronts_file

    path = tmp_path / "fronts.toml"
    path.write_text(
        f'[fleet]\nenabled = true\ndeployment = "d"\nlisten = "127.0.0.1:7"\nseeds = []\ndurable = {folder}\n'
    )
    with pytest.raises(ConfigError, match=r"^fronts.toml: fleet.durable:"):
        read_fronts_file(path, {}, {})
