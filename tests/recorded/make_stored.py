"""Writes samples of stored data and the results of reading them: ``python -m tests.recorded.make_stored``.

Never overwrites existing samples.
"""

from __future__ import annotations

import json
import sys
import tempfile
from pathlib import Path

from tests.recorded.stored_cases import CASES, tried, write_samples
from tests.recorded.stored_files import EXPECTED, SAMPLES


def main() -> int:
    """Write the samples and the expected results; return 1 if there are samples already."""
    if SAMPLES.exists():
        print(f"{SAMPLES.name} already exists; recordings are never overwritten", file=sys.stderr)
        return 1
    SAMPLES.mkdir(parents=True)
    write_samples()
    results = {}
    for name in CASES:
        with tempfile.TemporaryDirectory() as folder:
            results[name] = tried(name, Path(folder))
    EXPECTED.write_text(json.dumps(results, indent=1, ensure_ascii=False) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
