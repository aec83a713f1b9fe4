"""What the process itself takes in memory, as Linux accounts for it (proc(5), smaps_rollup)."""

from __future__ import annotations

import re
from pathlib import Path

from cleatyoke.limits.limit_shares import ProcessSize

_FIELDS = re.compile(rb"^(Pss|Anonymous):\s+([0-9]+) kB", re.MULTILINE)


def own_memory() -> ProcessSize | None:
    """Return what this process takes at the moment (its proportional set size), None if it cannot be read."""
    try:
        text = Path("/proc/self/smaps_rollup").read_bytes()
    except OSError:
        return None
    sizes = {name: int(size) * 1024 for name, size in _FIELDS.findall(text)}
    if b"Pss" not in sizes:
        return None
    anonymous = min(sizes.get(b"Anonymous", 0), sizes[b"Pss"])
    return ProcessSize(anonymous, sizes[b"Pss"] - anonymous)


def release_free_memory() -> None:
    """Return memory to the system that the C library keeps for later use (malloc_trim(3)), where it can."""
    import ctypes  # takes memory, and most processes never come here

    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim:
        trim(0)
