"""What is tried with the samples, for the recording and for the tests alike: each gives a neutral value."""

from __future__ import annotations

import json
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

from tests.recorded import stored_adapter as adapter
from tests.recorded.stored_files import SAMPLES, copy_of, database, execute, run_check, spoil

FRONT = "ours/n1"
NEWER: dict[str, Any] = {
    "holds": {
        "known": [["n1", 7, 2], ["n2", 9, 1]],
        "held": {"s-003": [["n1", 7, 1]], "s-012": [["n2", 9, 1]]},
    },
    "boot": 1764739000123,
    "peers": ["10.0.0.1:7946", "10.0.0.2:7946"],
}
OLDER: dict[str, Any] = {
    "holds": {
        "known": [["n1", 7, 2], ["n3", 4, 1]],
        "held": {"s-003": [["n3", 4, 1]], "s-007": [["n1", 7, 2]]},
    },
    "boot": 7,
    "peers": ["10.0.0.2:7946", "10.0.0.3:7946"],
}
DAMAGES = (
    "newer file",
    "older file",
    "another program's",
    "no database",
    "empty",
    "cut short",
    "gone",
    "one bit",
)
HELD = ["s-003", "s-012"]
RELEASED = {"s-007": 1764739000.25, "s-001": 1764738000.0}
HOLD_TEXTS = {
    "nothing": b"",
    "half": b'{"held": ["s-0',
    "a list": b"[]",
    "no list": b'{"held": 1, "released": {}}',
    "no releases": b'{"held": ["s-1"]}',
    "no text": b"\xff\xfe",
    "numbers": b'{"held": [5], "released": {"s-1": "1.5"}}',
    "a key more": b'{"held": ["s-1"], "released": {}, "later": 1}',
    "a time that is none": b'{"held": [], "released": {"s-1": "noon"}}',
}
COPIES_TEXTS = {
    "nothing": b"",
    "a text": b"holds",
    "holds without numbers": b"\x82\xa5clock\x80\xa4held\x81\xa1s\x90",
}
EPOCHS = {
    "behind the clock": "1000\n",
    "beyond the clock": "1764739000999\n",
    "without a line's end": "1000",
    "text": "yesterday\n",
    "negative": "-5\n",
    "empty": "",
    "too great": f"{1 << 52}\n",
}
UNIX = 1764739000.5


def write_samples() -> None:
    """All samples, by the project's own code."""
    durable = SAMPLES / "durable"
    adapter.save_durable(durable, FRONT, NEWER)
    spare = SAMPLES / "spare"
    adapter.save_durable(spare, FRONT, OLDER)
    first, second = adapter.DURABLE_FILES
    (spare / second).replace(durable / second)
    (spare / first).unlink()
    spare.rmdir()

    doubtful = SAMPLES / "doubtful"
    adapter.save_durable(doubtful, FRONT, NEWER)
    insert = "INSERT OR REPLACE INTO rows VALUES (?, ?, ?, ?, ?)"
    kind, form, front, data, found = adapter.sealed_row("holds", FRONT, b"\x80", 1)
    execute(
        doubtful / first,
        insert,
        (kind, form, front, data, found + 1),
        adapter.sealed_row("boot", FRONT, b"\xa1x", 1),
        adapter.sealed_row("later", FRONT, b"\x01", 1),
        adapter.sealed_row("peers", FRONT, b"\x91\xa3a:1", 2),
    )
    execute(
        doubtful / second,
        insert,
        adapter.sealed_row("holds", FRONT, bytes.fromhex(holds_without_numbers()), 1),
        adapter.sealed_row("boot", FRONT, b"\x05", 0),
        ("peers", 1, FRONT, "text", 0),
    )

    holds = SAMPLES / "holds"
    holds.mkdir()
    adapter.write_hold_file(holds, HELD, RELEASED)
    (holds / adapter.COPIES_FILE).write_bytes(adapter.dump_copies(NEWER["holds"]))

    source = SAMPLES / "source"
    values = {
        "settings.json": '{"PolicyLimits": {"SendCap": 3}, "Siblings": 2}',
        "settings/Siblings.json": "5",
        "settings/Safety.json": '{"ColdFrom": 0.25}',
        "nodes/s-003.json": '{"id": "s-003", "state": "draining"}',
        "other/thing.json": "null",
        "faulty.json": "{",
        f"{'k' * 129}.json": "1",
        "notes.txt": "no key",
    }
    for name, text in values.items():
        (source / "folder" / name).parent.mkdir(parents=True, exist_ok=True)
        (source / "folder" / name).write_text(text)
    adapter.begin_epoch(source / "epoch", UNIX)


def holds_without_numbers() -> str:
    """Hex digits of holds whose marks are not among the known numbers."""
    return adapter.dump_copies({"known": [], "held": {"s-9": [["n1", 1, 1]]}}).hex()


def both(folder: Path, front: str) -> dict[str, Any]:
    """What a start makes of a folder, and what is in its files afterwards."""
    return {
        "read": adapter.load_durable(folder, front),
        "database": {
            name: database(folder / name) for name in adapter.DURABLE_FILES if (folder / name).exists()
        },
    }


def durable_read(folder: Path) -> Any:
    """Both files of the sample, which differ, and are merged."""
    return both(copy_of("durable", folder), FRONT)


def durable_of_another_front(folder: Path) -> Any:
    """The files of one front are given to another."""
    return both(copy_of("durable", folder), "ours/n2")


def durable_doubtful(folder: Path) -> Any:
    """Rows that are not believed, one for each reason."""
    return both(copy_of("doubtful", folder), FRONT)


def durable_written(folder: Path) -> Any:
    """The same memory written today gives the same rows in the same schema."""
    failed = adapter.save_durable(folder / "new", FRONT, NEWER)
    return {"failed": failed, **both(folder / "new", FRONT)}


def durable_written_over(folder: Path) -> Any:
    """Today's code writes into the files that the older code left."""
    copy = copy_of("durable", folder)
    failed = adapter.save_durable(copy, FRONT, {**NEWER, "boot": NEWER["boot"] + 1})
    return {"failed": failed, **both(copy, FRONT)}


def durable_damaged(how: str) -> Callable[[Path], Any]:
    """One of the two files is damaged: what the other has is not lost; then all is written anew."""

    def tried(folder: Path) -> Any:
        copy = copy_of("durable", folder)
        spoil(copy / adapter.DURABLE_FILES[0], how)
        read = adapter.load_durable(copy, FRONT)
        failed = adapter.save_durable(copy, FRONT, NEWER)
        return {"read": read, "failed": failed, "after": adapter.load_durable(copy, FRONT)}

    return tried


def check_output(sample: str, how: str | None = None, *options: str) -> Callable[[Path], Any]:
    """The program that checks a folder, on a sample with one file damaged or put aside."""

    def tried(folder: Path) -> Any:
        copy = copy_of(sample, folder)
        if how == "put aside":
            (copy / f"{adapter.DURABLE_FILES[0]}.doubtful-1").write_text("x")
        elif how:
            spoil(copy / adapter.DURABLE_FILES[0], how)
        return run_check(adapter.CHECK_MODULE, copy, *options)

    return tried


def next_boots(folder: Path) -> Any:
    """Boot numbers only rise, whatever the clock did."""
    return [
        adapter.next_boot(*facts) for facts in ((0, 1000.5), (1000500, -2600.0), (1000500, 4600.0), (5, 0.0))
    ]


def hold_file_read(folder: Path) -> Any:
    """What is taken from the sample."""
    return adapter.read_hold_file(copy_of("holds", folder))


def hold_file_written(folder: Path) -> Any:
    """The same holds written today give the same bytes."""
    found = adapter.write_hold_file(folder, HELD, RELEASED)
    return {**found, "text": {path.name: path.read_text() for path in folder.iterdir()}}


def hold_file_changed(folder: Path) -> Any:
    """A call to hold what is held leaves the holds, and a lock beside them."""
    copy = copy_of("holds", folder)
    found = adapter.hold_again(copy, "s-012")
    texts = {path.name: path.read_text() for path in copy.iterdir() if path.name != adapter.COPIES_FILE}
    return {**found, "text": texts}


def hold_file_of(text: bytes) -> Callable[[Path], Any]:
    """A hold file that holds anything."""

    def tried(folder: Path) -> Any:
        copy = copy_of("holds", folder)
        [path] = [path for path in copy.iterdir() if path.suffix == ".json"]
        path.write_bytes(text)
        return adapter.read_hold_file(copy)

    return tried


def marks(folder: Path) -> Any:
    """The marks of processes that live, that died, and that are none."""
    first = adapter.mark_process(folder)
    [name] = first["files"]
    (folder / name.replace("OWN", str(2**22 + 7))).write_text("")
    (folder / name.replace("OWN", "four")).write_text("")
    dead = adapter.mark_process(folder)
    (folder / name.replace("OWN", str(os.getppid()))).write_text("")
    return {"alone": first, "beside dead ones": dead, "beside one that lives": adapter.mark_process(folder)}


def copies_read(folder: Path) -> Any:
    """What the next life makes of the file, beside nodes that its hold file holds."""
    data = (SAMPLES / "holds" / adapter.COPIES_FILE).read_bytes()
    return {
        "alone": adapter.restore_copies(data, []),
        "more held": adapter.restore_copies(data, ["s-003", "s-1"]),
    }


def copies_written(folder: Path) -> Any:
    """The same holds written today give the same bytes."""
    found = adapter.dump_copies(NEWER["holds"])
    return {
        "bytes": found.hex(),
        "as the sample": found == (SAMPLES / "holds" / adapter.COPIES_FILE).read_bytes(),
    }


def copies_of(data: bytes) -> Callable[[Path], Any]:
    """A file that is no copy: what is held by hand is held anew."""
    return lambda folder: adapter.restore_copies(data, ["s-1"])


def source_folder(folder: Path) -> Any:
    """A source's first look at its folder, a look at nothing new, and one at changes of each sort."""
    copy = copy_of("source", folder) / "folder"
    source = adapter.SourceFolder(copy, 1764739000500)
    base = {"Siblings": 1, "Report": {"How": "none"}}
    looks = [source.look(base), source.look(base)]
    (copy / "settings.json").unlink()
    (copy / "settings" / "Siblings.json").write_text("6")
    (copy / "nodes" / "s-003.json").write_text("broken")
    (copy / "nodes" / "s-004.json").write_text('{"id": "s-004"}')
    looks.append(source.look(base))
    return looks


def source_epoch(folder: Path) -> Any:
    """The sample's epoch, and the next ones with a clock that goes back and one that goes on."""
    path = copy_of("source", folder) / "epoch"
    out: list[Any] = [path.read_text()]
    for unix in (UNIX - 60, UNIX + 60):
        out.append([adapter.begin_epoch(path, unix), path.read_text()])
    return [*out, sorted(one.name for one in path.parent.iterdir())]


def epoch_file_of(text: str) -> Callable[[Path], Any]:
    """An epoch file that holds anything."""

    def tried(folder: Path) -> Any:
        path = folder / "epoch"
        path.write_text(text)
        found = adapter.begin_epoch(path, UNIX)
        found = found.replace(str(folder), "FOLDER") if isinstance(found, str) else found
        return [found, path.read_text()]

    return tried


def epoch_without_a_file(folder: Path) -> Any:
    """The first life of a source."""
    return [adapter.begin_epoch(folder / "epoch", UNIX), (folder / "epoch").read_text()]


CASES: dict[str, Callable[[Path], Any]] = {
    "durable: read": durable_read,
    "durable: of another front": durable_of_another_front,
    "durable: doubtful rows": durable_doubtful,
    "durable: written": durable_written,
    "durable: written over": durable_written_over,
    **{f"durable: {how}": durable_damaged(how) for how in DAMAGES},
    "durable: next boot": next_boots,
    "check: whole": check_output("durable"),
    "check: put aside": check_output("durable", "put aside"),
    "check: newer": check_output("durable", "newer file"),
    "check: no database": check_output("durable", "no database"),
    "check: gone": check_output("durable", "gone"),
    "check: one bit": check_output("durable", "one bit"),
    "check: doubtful rows": check_output("doubtful"),
    "check: another front": check_output("durable", None, "--front", "ours/n2"),
    "hold file: read": hold_file_read,
    "hold file: written": hold_file_written,
    "hold file: changed": hold_file_changed,
    **{f"hold file: {name}": hold_file_of(text) for name, text in HOLD_TEXTS.items()},
    "marks of processes": marks,
    "copies: read": copies_read,
    "copies: written": copies_written,
    **{f"copies: {name}": copies_of(data) for name, data in COPIES_TEXTS.items()},
    "source: folder": source_folder,
    "source: epoch": source_epoch,
    "source: no epoch": epoch_without_a_file,
    **{f"source: epoch {name}": epoch_file_of(text) for name, text in EPOCHS.items()},
}


def tried(name: str, folder: Path) -> Any:
    """What a case gives, as JSON keeps it."""
    return json.loads(json.dumps(CASES[name](folder)))
