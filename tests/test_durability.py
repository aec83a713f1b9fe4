"""Durable state: row validation, damaged files, the writer thread, killed processes, the offline command."""

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


def front_states() -> st.SearchStrategy[FrontState]:
    def build_state(changes: list[tuple[bool, int, int]], boot: int, peers: list[str]) -> FrontState:
        holds = HoldSet()
        for is_hold, front, node in changes:
            holds = (
                holds.hold(MemberId(f"n{front}", 1), f"s-{node}") if is_hold else holds.release(f"s-{node}")
            )
        return FrontState(holds, boot, tuple(peers))

    change = st.tuples(st.booleans(), st.integers(0, 2), st.integers(0, 3))
    return st.builds(build_state, st.lists(change, max_size=6), st.integers(0, 99), st.just([]))


@settings(deadline=None, derandomize=True, max_examples=60)
@given(front_states(), front_states(), front_states())
def test_state_merge_is_commutative_associative_and_idempotent(
    one: FrontState, two: FrontState, three: FrontState
) -> None:
    assert one.merge(two) == two.merge(one)
    assert one.merge(two).merge(three) == one.merge(two.merge(three))
    assert one.merge(two).merge(two) == one.merge(two)


def test_decode_state_with_an_invalid_row_rejects_only_that_row() -> None:
    """A row has a flipped bit, is malformed, belongs to another front or has a newer schema.

    That row must be ignored with a reported reason, and all other rows must be restored.
    """
    rows = encode_state(HELD, FRONT)
    assert decode_state(rows, FRONT, "a") == (HELD, [])
    for index, row in enumerate(rows):
        for offset in range(len(row.data)):
            data = bytearray(row.data)
            data[offset] ^= 1 << offset % 8
            damaged = [*rows[:index], row._replace(data=bytes(data)), *rows[index + 1 :]]
            state, problems = decode_state(damaged, FRONT, "a")
            assert problems == [StorageProblem(f"a: {row.kind}", "sum")]
            assert state.merge(HELD) == HELD
    for invalid_row, expected_reason in (
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
        state, [problem] = decode_state([invalid_row, *rows], FRONT, "a")
        assert state == HELD
        assert expected_reason in problem.reason


def test_next_boot_number_after_a_clock_change_exceeds_the_stored_one() -> None:
    assert next_boot_number(0, 1000.5) == 1_000_500
    assert next_boot_number(1_000_500, 1000.0 - 3600) == 1_000_501  # clock set back by an hour
    assert next_boot_number(1_000_500, 1000.0 + 3600) == 4_600_000


# Files


def damage_actions(path: Path) -> dict[str, Callable[[], object]]:
    """Ways to damage a file, by description."""
    content, rng = path.read_bytes(), random.Random(3)

    def flip_bit(offset: int) -> bytes:
        return content[:offset] + bytes([content[offset] ^ 0x10]) + content[offset + 1 :]

    set_newer_version = f"PRAGMA user_version = {SCHEMA_VERSION + 1}"
    actions: dict[str, Callable[[], object]] = {
        "empty": lambda: path.write_bytes(b""),
        "gone": path.unlink,
        "text": lambda: path.write_text("not a file\n" * 99),
        "newer": lambda: sqlite3.connect(path).execute(set_newer_version).connection.close(),
        "foreign": lambda: path.write_bytes(content[:68] + b"abcd" + content[72:]),
    }
    for length in (*range(0, len(content), 4096), *(rng.randrange(len(content)) for _ in range(20))):
        actions[f"cut {length}"] = lambda length=length: path.write_bytes(content[:length])  # type: ignore[misc]
    for offset in (rng.randrange(len(content)) for _ in range(60)):
        actions[f"flip {offset}"] = lambda offset=offset: path.write_bytes(flip_bit(offset))  # type: ignore[misc]
    return actions


def test_load_with_one_damaged_file_restores_the_whole_state(tmp_path: Path) -> None:
    """One of the two files is emptied, deleted, truncated, overwritten, or has a flipped bit.

    The whole state must be read from the other file, and both files must be valid after the next write.
    """
    StateDatabase(tmp_path / "good", FRONT).save(HELD)
    for name in FILE_NAMES:
        for damage in damage_actions(tmp_path / "good" / name):
            folder = tmp_path / "damaged"
            shutil.copytree(tmp_path / "good", folder)
            damage_actions(folder / name)[damage]()
            database = StateDatabase(folder, FRONT)
            state, problems = database.load()
            assert state == HELD, damage
            if damage in ("text", "newer", "foreign") or damage.startswith("cut 4096"):
                assert "put aside as" in problems[0].reason, damage
                assert list(folder.glob("*.doubtful-1")), damage
            assert database.save(state) == [], damage
            assert database.load() == (HELD, []), damage
            shutil.rmtree(folder)


def test_load_merges_outdated_files_and_rejects_files_of_another_front(tmp_path: Path) -> None:
    """One or both files are restored from an old backup, or the disk of another front is mounted."""
    database = StateDatabase(tmp_path / "disk", FRONT)
    database.save(HELD)
    shutil.copytree(tmp_path / "disk", tmp_path / "old")
    later = FrontState(HELD.holds.release("s-003").hold(MemberId("n1", 7), "s-004"), 9, HELD.peers)
    database.save(later)
    shutil.copy(tmp_path / "old" / FILE_NAMES[0], tmp_path / "disk" / FILE_NAMES[0])
    assert database.load()[0] == later  # the release that is missing from the old copy is kept
    shutil.copy(tmp_path / "old" / FILE_NAMES[1], tmp_path / "disk" / FILE_NAMES[1])
    assert database.load()[0] == HELD  # both files are old: at most a stale hold, which peers correct
    other = StateDatabase(tmp_path / "disk", "ours/n2")
    state, problems = other.load()
    assert state == FrontState()
    assert sum("another front" in problem.reason for problem in problems) >= 2
    assert other.save(FrontState(boot_number=1)) == []
    assert other.load() == (FrontState(boot_number=1), [])


def test_save_and_load_on_an_unusable_disk_report_the_failure(tmp_path: Path) -> None:
    """The folder can't be created, or another process holds the lock of a file.

    Each failure must be reported, and a file that is only locked must not be quarantined.
    """
    (tmp_path / "file").write_text("")
    assert len(StateDatabase(tmp_path / "file", FRONT).save(HELD)) == 2
    assert StateDatabase(tmp_path / "file" / "below", FRONT).load() == (FrontState(), [])
    database = StateDatabase(tmp_path / "disk", FRONT)
    database.save(HELD)
    with sqlite3.connect(tmp_path / "disk" / FILE_NAMES[0], isolation_level=None) as holder:
        holder.execute("BEGIN EXCLUSIVE")  # stands for a lock of another process
        state, problems = database.load()
    holder.close()
    assert state == HELD
    assert not list((tmp_path / "disk").glob("*.doubtful*"))
    assert [problem.source for problem in problems] in ([], [FILE_NAMES[0]])


FULL_DISK_SCRIPT = """
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


def test_save_on_a_full_disk_keeps_the_previous_state(tmp_path: Path) -> None:
    """The disk runs full during a write and has free space again later."""
    assert subprocess.run([sys.executable, "-c", FULL_DISK_SCRIPT, str(tmp_path)], cwd=ROOT).returncode == 0


# Writer thread


class BlockingStore:
    """A store whose writes wait for ``unblocked``, and of whose files ``failing`` fail."""

    def __init__(self) -> None:
        self.unblocked, self.failing, self.saved = threading.Event(), 0, list[FrontState]()

    def load(self) -> LoadedState:
        return LoadedState(HELD, [])

    def save(self, state: FrontState) -> list[StorageProblem]:
        assert self.unblocked.wait(10)
        self.saved.append(state)
        return [StorageProblem(f"file {number}", "full") for number in range(self.failing)]


def wait_until(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + 10
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.005)


def test_writer_on_a_slow_and_failing_disk_never_blocks_and_retries() -> None:
    """The disk hangs, then one file fails, then both, then none.

    Submitting must not block, only the newest state is written, each change of the failing files is reported
    once, and a failed write is retried automatically.
    """
    store, restored, reported = BlockingStore(), list[RestoredState](), list[list[StorageProblem]]()
    writer = StateWriter(store, lambda: 0.0, restored.append, reported.append)
    writer.start()
    started_at = time.monotonic()
    numbers = [writer.submit(FrontState(boot_number=boot)) for boot in range(100, 150)]
    assert time.monotonic() - started_at < 0.5
    assert not restored
    assert not writer.is_written(numbers[0])
    store.unblocked.set()
    wait_until(lambda: writer.is_written(numbers[-1]))
    assert restored[0].state.boot_number == HELD.boot_number + 1
    assert restored[0].was_found
    assert [state.boot_number for state in store.saved] == [
        HELD.boot_number + 1,
        149,
    ]  # the newest pending state
    store.failing = 1
    number = writer.submit(FrontState(boot_number=200))
    wait_until(lambda: writer.is_written(number))  # one of two files has it
    store.failing = 2
    number = writer.submit(FrontState(boot_number=201))
    wait_until(lambda: len(reported) == 2)
    assert not writer.is_written(number)
    store.failing = 0
    wait_until(lambda: writer.is_written(number))  # retried automatically
    wait_until(lambda: reported[-1] == [])
    assert [len(problems) for problems in reported] == [1, 2, 0]
    writer.stop()
    assert not writer.thread.is_alive()


WRITE_LOOP_SCRIPT = """
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


def test_acknowledged_writes_survive_repeated_kills(tmp_path: Path) -> None:
    """A process is killed during its writes, ten times; all writes it acknowledged must be present."""
    rng, node_count, boot = random.Random(1), 0, 0
    for _ in range(10):
        command = [sys.executable, "-c", WRITE_LOOP_SCRIPT, str(tmp_path)]
        with subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True) as process:
            assert process.stdout
            for _ in range(rng.randint(1, 5)):
                node_count, boot = map(int, process.stdout.readline().split())
            time.sleep(rng.uniform(0, 0.01))
            process.kill()
            for line in process.stdout:  # acknowledged before the kill but not read yet
                if line.endswith("\n"):
                    node_count, boot = map(int, line.split())
        state, problems = StateDatabase(tmp_path, FRONT).load()
        assert problems == []
        assert len(state.holds.dots_by_node) >= node_count
        assert state.boot_number >= boot


# Offline command


def test_check_command_reports_valid_and_damaged_files(tmp_path: Path) -> None:
    StateDatabase(tmp_path, FRONT).save(HELD)
    result = CliRunner().invoke(main, ["check", str(tmp_path)])
    assert result.exit_code == 0
    assert "s-003: placed by n1 (boot 7, number 1)" in result.output
    (tmp_path / FILE_NAMES[1]).write_text("x" * 5000)
    file_names = sorted(path.name for path in tmp_path.iterdir())
    result = CliRunner().invoke(main, ["check", str(tmp_path)])
    assert result.exit_code == 1
    assert "not believed" in result.output
    assert "s-003" in result.output
    assert sorted(path.name for path in tmp_path.iterdir()) == file_names
    assert read_rows(tmp_path / FILE_NAMES[0])
    other_front = CliRunner().invoke(main, ["check", str(tmp_path), "--front", "ours/n9"])
    assert other_front.exit_code == 1
    assert "of another front" in other_front.output


def test_durability_is_not_imported_by_default() -> None:
    modules = ("cleatyoke.durability", "sqlite3", "click", "cleatyoke.fleet")
    script = f"import sys, cleatyoke.__main__; sys.exit(any(n.startswith({modules}) for n in sys.modules))"
    assert subprocess.run([sys.executable, "-c", script], cwd=ROOT).returncode == 0


@pytest.mark.parametrize("folder", ['"relative"', "7"])
def test_durable_folder_with_an_invalid_value_is_rejected(folder: str, tmp_path: Path) -> None:
    from cleatyoke.config.errors import ConfigError
    from cleatyoke.config.fronts_file import read_fronts_file

    path = tmp_path / "fronts.toml"
    path.write_text(
        f'[fleet]\nenabled = true\ndeployment = "d"\nlisten = "127.0.0.1:7"\nseeds = []\ndurable = {folder}\n'
    )
    with pytest.raises(ConfigError, match=r"^fronts.toml: fleet.durable:"):
        read_fronts_file(path, {}, {})
