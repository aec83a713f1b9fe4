"""Messages are encoded to the recorded bytes, and recorded bytes are decoded as before."""

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
def test_message_is_encoded_to_recorded_bytes(name: str) -> None:
    sample = SAMPLES[name]
    assert pack(bytes_adapter.encode(sample["kind"], sample["given"])) == sample["bytes"]


@pytest.mark.parametrize("name", DECODED)
def test_recorded_bytes_are_decoded_as_recorded(name: str) -> None:
    sample = SAMPLES[name]
    assert as_json(bytes_adapter.decode(sample["kind"], unpack(sample["bytes"]))) == sample["decoded"]


@pytest.mark.parametrize("name", CAPTURED)
def test_captured_exchange_is_as_recorded(name: str) -> None:
    sample = SAMPLES[name]
    assert as_json(bytes_adapter.capture(sample["kind"], sample["given"])) == sample["captured"]


def test_every_sample_is_compared_and_every_kind_has_a_sample() -> None:
    assert set(ENCODED) | set(DECODED) | set(CAPTURED) == set(SAMPLES)
    kinds = bytes_adapter.ENCODERS.keys() | bytes_adapter.DECODERS.keys() | bytes_adapter.CAPTURES.keys()
    assert {one["kind"] for one in SAMPLES.values()} == kinds


def test_blanked_parts_are_those_of_the_recording() -> None:
    assert RECORDING["blanked"] == BLANKED


def test_recording_is_not_overwritten(capsys: pytest.CaptureFixture[str]) -> None:
    before = make_bytes.RECORDING.read_bytes()
    assert make_bytes.main() == 1
    assert "never overwritten" in capsys.readouterr().err
    assert make_bytes.RECORDING.read_bytes() == before


def as_json(value: Plain) -> Plain:
    """Return the value after a round trip through JSON."""
    return json.loads(json.dumps(value))
