"""Writes the recording of message bytes: ``python -m tests.recorded.make_bytes``. Never overwrites one."""

from __future__ import annotations

import json
import sys
from pathlib import Path

from tests.recorded import bytes_adapter, bytes_samples
from tests.recorded.bytes_plain import BLANKED, Plain, pack, unpack

RECORDING = Path(__file__).parent / "data" / "bytes.json"


def record(sample: Plain) -> Plain:
    """Return the sample with the outputs of the current code."""
    kind = sample["kind"]
    if kind in bytes_adapter.CAPTURES:
        return sample | {"captured": bytes_adapter.capture(kind, sample["given"])}
    if "given" in sample:
        sample = sample | {"bytes": pack(bytes_adapter.encode(kind, sample["given"]))}
    if kind in bytes_adapter.DECODERS:
        sample = sample | {"decoded": bytes_adapter.decode(kind, unpack(sample["bytes"]))}
    return sample


def recorded_samples() -> dict[str, Plain]:
    """Return all samples; the samples of exchanges among fronts reuse the bytes of earlier samples."""
    out: dict[str, Plain] = {}

    def add(samples: dict[str, Plain]) -> None:
        for name, sample in samples.items():
            if name in out:
                raise ValueError(f"duplicate sample name: {name}")
            out[name] = record(sample)

    add(bytes_samples.fleet())
    names = ("ping", "all states, every field", "loan request", "foreign", "corrupt")
    datagrams = [out[f"fleet datagram: {name}"]["bytes"] for name in names]
    add(bytes_samples.replicas())
    add(bytes_samples.fleet_exchanges(datagrams, out["fleet view: every field"]["bytes"]))
    add(bytes_samples.distribution())
    polls = [out[f"distribution poll: {name}"]["bytes"] for name in ("every field", "least")]
    add(bytes_samples.poll_answers(*polls))
    add(bytes_samples.streams())
    add(bytes_samples.sftp_packets())
    add(bytes_samples.sftp_sessions())
    add(bytes_samples.client_requests())
    add(bytes_samples.node_messages())
    add(bytes_samples.http_exchanges())
    add(bytes_samples.discovery())
    add(bytes_samples.administration(datagrams))
    add(bytes_samples.simulator())
    return out


def main() -> int:
    """Write the recording; return 1 if it already exists."""
    if RECORDING.exists():
        print(f"{RECORDING.name} already exists; recordings are never overwritten", file=sys.stderr)
        return 1
    value = {"blanked": BLANKED, "samples": recorded_samples()}
    RECORDING.parent.mkdir(exist_ok=True)
    RECORDING.write_text(json.dumps(value, indent=1, ensure_ascii=True) + "\n")
    print(f"{len(value['samples'])} samples")
    return 0


if __name__ == "__main__":
    sys.exit(main())
