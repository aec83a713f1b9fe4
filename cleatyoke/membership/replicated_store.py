"""Interface to the replicated data that every full-state exchange includes."""

from __future__ import annotations

from typing import Protocol

from cleatyoke.membership.wire import MemberId


class ReplicatedStore(Protocol):
    """Data replicated on all fronts. Merging gives the same result in any order."""

    def digest(self) -> int:
        """Return a checksum that is equal for equal data."""
        ...

    def dump(self) -> bytes:
        """Return all data, encoded."""
        ...

    def load(self, sender: MemberId, data: bytes) -> bool:
        """Merge a peer's dump; return whether anything was new.

        Raises ``ValueError`` for an invalid dump, and then changes nothing.
        """
        ...

    def is_behind(self, member: MemberId) -> bool:
        """Return whether ``member`` may lack data that are known here."""
        ...
