"""Data that the code stored before it was reorganised is read, and written, as recorded."""

from __future__ import annotations

import hashlib
import json
from pathlib import Path
from typing import Any

import pytest

from tests.recorded.make_stored import main
from tests.recorded.stored_cases import CASES, tried
from tests.recorded.stored_files import EXPECTED, SAMPLES

RECORDED: dict[str, Any] = json.loads(EXPECTED.read_text())


def digests() -> dict[str, str]:
    """Each file of the samples, by its path, with a digest of its bytes."""
    return {
        path.relative_to(SAMPLES).as_posix(): hashlib.sha256(path.read_bytes()).hexdigest()
        for path in sorted(SAMPLES.rglob("*"))
        if path.is_file()
    }


def test_every_recorded_case_is_tried() -> None:
    """None is lost with a rename."""
    assert list(CASES) == list(RECORDED)


@pytest.mark.parametrize("name", RECORDED)
def test_stored_data_gives_what_is_recorded(name: str, tmp_path: Path) -> None:
    """What is read, refused and written."""
    before = digests()
    assert tried(name, tmp_path) == RECORDED[name]
    assert digests() == before, "a sample was changed"


def test_the_samples_are_not_written_over(capsys: pytest.CaptureFixture[str]) -> None:
    """They stand for what operators have on their disks."""
    before = digests()
    assert main() == 1
    assert digests() == before
    assert "never made again" in capsys.readouterr().err
