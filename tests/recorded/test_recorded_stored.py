"""Data stored by the code before its reorganisation is read and written as recorded."""

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
    """Return the digest of each sample file by its path."""
    return {
        path.relative_to(SAMPLES).as_posix(): hashlib.sha256(path.read_bytes()).hexdigest()
        for path in sorted(SAMPLES.rglob("*"))
        if path.is_file()
    }


def test_all_cases_are_recorded() -> None:
    """No recorded case is lost by a rename."""
    assert list(CASES) == list(RECORDED)


@pytest.mark.parametrize("name", RECORDED)
def test_stored_data_case_is_as_recorded(name: str, tmp_path: Path) -> None:
    """The data that is read, rejected and written is as recorded, and the samples stay unchanged."""
    before = digests()
    assert tried(name, tmp_path) == RECORDED[name]
    assert digests() == before, "the case changed a sample file"


def test_samples_are_not_overwritten(capsys: pytest.CaptureFixture[str]) -> None:
    """The samples represent data on the disks of existing installations."""
    before = digests()
    assert main() == 1
    assert digests() == before
    assert "never overwritten" in capsys.readouterr().err
