"""A pool of memory that several owners share. No I/O, no clock."""

from __future__ import annotations

_GRANT_FRACTION = 4  # a grant takes at most this part of what is free, so that the next owner gets some too


class MemoryPool:
    """Accounts for up to ``total`` bytes; owners remember what they hold."""

    def __init__(self, total: int) -> None:
        self.total = total
        self.used = 0

    @property
    def is_exhausted(self) -> bool:
        """Whether nothing is free."""
        return self.used >= self.total

    @property
    def is_overdrawn(self) -> bool:
        """Whether more is reserved than the total, as after the total was reduced."""
        return self.used > self.total

    def reserve(self, size: int, headroom: int = 0) -> bool:
        """Reserve ``size`` bytes; False if fewer than these and ``headroom`` are free."""
        if self.used + size + headroom > self.total:
            return False
        self.used += size
        return True

    def grant(self, wanted: int) -> int:
        """Reserve up to ``wanted`` bytes, at most a fraction of what is free; return the reserved bytes."""
        size = max(0, min(wanted, (self.total - self.used) // _GRANT_FRACTION))
        self.used += size
        return size

    def charge(self, size: int) -> None:
        """Account for bytes that are held already, even beyond the total."""
        self.used += size

    def release(self, size: int) -> None:
        """Free bytes that were reserved, granted or charged."""
        self.used -= size
