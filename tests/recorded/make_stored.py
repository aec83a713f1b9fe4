"""``python -m tests.recorded.make_stored``: write samples of stored data, once for all, and what they say."""

from __future__ import annotations

import json
import sys
import tempfile
from pathlib import Path

from tests.recorded.stored_cases import CASES, tried, write_samples
from tests.recorded.stored_files import EXPECTED, SAMPLES


def main() -> int:
    """Write the recording, unless there is one."""
    if SAMPLES.exists():
        print(f"{SAMPLES.name}: recorded before; old samples are never made again", file=sys.stderr)
        return 1
    SAMPLES.mkdir(parents=True)
    write_samples()
    found = {}
    for name in CASES:
        with tempfile.TemporaryDirectory() as folder:
            found[name] = tried(name, Path(folder))
    EXPECTED.write_text(json.dumps(found, indent=1, ensure_ascii=False) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
