"""The source's folder of keys and its epoch file."""

from __future__ import annotations

from pathlib import Path

import pytest

from cleatyoke.distribution.errors import EpochError
from cleatyoke.distribution.folder import (
    ConfigFolder,
    next_epoch,
)
from cleatyoke.distribution.records import MAX_VALUE_BYTES


def test_scan_returns_changes_and_rejects_invalid_files(tmp_path: Path) -> None:
    """A partly written or oversized file must neither be distributed nor remove its key."""
    folder = ConfigFolder(tmp_path)
    (tmp_path / "settings").mkdir()
    (tmp_path / "settings.json").write_text("{}")
    (tmp_path / "settings" / "a.json").write_text("1")
    (tmp_path / "notes.txt").write_text("no key")
    assert folder.scan().changes == {"settings": b"{}", "settings/a": b"1"}
    assert not folder.scan().changes
    (tmp_path / "settings" / "a.json").write_text("{")
    (tmp_path / "large.json").write_text("1" * (MAX_VALUE_BYTES + 1))
    (tmp_path / ("k" * 130 + ".json")).write_text("1")
    result = folder.scan()
    assert not result.changes
    assert [line.partition(":")[0] for line in result.rejected] == [
        "k" * 40,
        "large",
        "settings/a",
    ]
    (tmp_path / "settings" / "a.json").unlink()
    assert folder.scan().changes == {"settings/a": None}


def test_next_epoch_increases_and_is_stored(tmp_path: Path) -> None:
    path = tmp_path / "epoch"
    assert next_epoch(path, 5.0) == 5000
    assert next_epoch(path, 1.0) == 5001, "the epoch increases even if the clock goes back"
    assert path.read_text() == "5001\n"
    path.write_text("soon")
    with pytest.raises(EpochError, match="epoch"):
        next_epoch(path, 9.0)
