"""What the process itself takes in memory, as Linux accounts for it (proc(5), smaps_rollup)."""

from __future__ import annotations

import re
from pathlib import Path

_PROPORTIONAL_SET_SIZE = re.compile(rb"^Pss:\s+([0-9]+) kB", re.MULTILINE)


def own_memory() -> int | None:
    """Return the proportional set size of this process in bytes, None if it cannot be read.

    Pages that processes share, such as those of libraries, count for each of them in proportion.
    """
    try:
        match = _PROPORTIONAL_SET_SIZE.search(Path("/proc/self/smaps_rollup").read_bytes())
    except OSError:
        return None
    return int(match[1]) * 1024 if match else None
