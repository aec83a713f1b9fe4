"""The program sends the bytes that it sent when they were recorded, and understands them as it did then."""

from __future__ import annotations

import json

import pytest

from tests.recorded import bytes_adapter, make_bytes
from tests.recorded.bytes_plain import BLANKED, Plain, pack, unpack

RECORDING = json.loads(make_bytes.RECORDING.read_text())
SAMPLES: dict[str, Plain] = RECORDING["samples"]
ENCODED = [name for name, one in SAMPLES.items() if "bytes" in one and "given" in one]
DECODED = [name for name, one in SAMPLES.items() if "decoded" in one]
CAPTURED = [name for name, one in SAMPLES.items() if "captured" in one]


@pytest.mark.parametrize("name", ENCODED)
def test_the_same_bytes_are_sent(name: str) -> None:
    sample = SAMPLES[name]
    assert pack(bytes_adapter.encode(sample["kind"], sample["given"])) == sample["bytes"]


@pytest.mark.parametrize("name", DECODED)
def test_recorded_bytes_are_understood_as_before(name: str) -> None:
    sample = SAMPLES[name]
    assert as_json(bytes_adapter.decode(sample["kind"], unpack(sample["bytes"]))) == sample["decoded"]


@pytest.mark.parametrize("name", CAPTURED)
def test_running_code_sends_and_understands_the_same(name: str) -> None:
    sample = SAMPLES[name]
    assert as_json(bytes_adapter.capture(sample["kind"], sample["given"])) == sample["captured"]


def test_every_sample_is_compared_and_every_kind_has_one() -> None:
    assert set(ENCODED) | set(DECODED) | set(CAPTURED) == set(SAMPLES)
    kinds = bytes_adapter.ENCODERS.keys() | bytes_adapter.DECODERS.keys() | bytes_adapter.CAPTURES.keys()
    assert {one["kind"] for one in SAMPLES.values()} == kinds


def test_the_same_parts_are_blanked_out_as_in_the_recording() -> None:
    assert RECORDING["blanked"] == BLANKED


def test_a_recording_is_never_made_again(capsys: pytest.CaptureFixture[str]) -> None:
    before = make_bytes.RECORDING.read_bytes()
    assert make_bytes.main() == 1
    assert "never made again" in capsys.readouterr().err
    assert make_bytes.RECORDING.read_bytes() == before


def as_json(value: Plain) -> Plain:
    """As it comes back from a file."""
    return json.loads(json.dumps(value))
