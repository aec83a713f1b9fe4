"""The interface to replicated data, which the membership carries along with every exchange of full states."""

from __future__ import annotations

from typing import Protocol

from cleatyoke.membership.wire import MemberId


class ReplicatedStore(Protocol):
    """Data that all fronts replicate, merged in any order to the same result."""

    def digest(self) -> int:
        """Return a checksum, equal where the data are equal."""
        ...

    def dump(self) -> bytes:
        """Return all data, encoded."""
        ...

    def load(self, sender: MemberId, data: bytes) -> bool:
        """Merge a peer's dump; whether anything was new. Raises ``ValueError`` and changes nothing then."""
        ...

    def is_behind(self, member: MemberId) -> bool:
        """Whether this member is not known to have all that is known here."""
        ...
