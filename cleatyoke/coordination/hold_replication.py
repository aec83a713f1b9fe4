"""Replication of one front's holds to the other fronts of a fleet.

No I/O and no clock. The membership includes ``dump`` in every exchange of full states, compares ``digest``
in every probe, and starts an exchange if the digests of two fronts differ.
"""

from __future__ import annotations

import contextlib
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from cleatyoke.coordination.replicated_holds import MAX_ACTORS, HoldSet, decode, merge
from cleatyoke.membership.wire import MemberId


def _ignore_change(held: frozenset[str], released: frozenset[str]) -> None:
    del held, released


@dataclass(slots=True)
class HoldReplication:
    """The holds set by this front's operators, merged with those of peers, and what each peer knows of them.

    ``self_id``: returns the id of this front's current process. ``on_change`` is called with the nodes that
    a merge has added to the held ones, and with those that it has released.
    """

    self_id: Callable[[], MemberId]
    on_change: Callable[[frozenset[str], frozenset[str]], None] = _ignore_change
    holds: HoldSet = field(default_factory=HoldSet)
    received: dict[MemberId, HoldSet] = field(default_factory=dict)  # the last copy from each process run
    merges: int = 0  # received copies that changed this front's copy
    _cached_digest: tuple[HoldSet, int] | None = None  # the holds that were digested, and their digest

    def hold(self, node: str) -> None:
        """Hold a node, on the command of an operator of this front."""
        self.holds = self.holds.hold(self.self_id(), node)

    def release(self, node: str) -> None:
        """Release a node, on the command of an operator of this front."""
        self.holds = self.holds.release(node)

    def digest(self) -> int:
        """Return the CRC-32 of this front's copy; equal copies have equal digests.

        It covers the dots and the version vector, so copies that differ only in the releases that they know
        of have different digests. It is computed once per change, because every probe uses it.
        """
        if self._cached_digest is None or self._cached_digest[0] is not self.holds:
            self._cached_digest = self.holds, self.compute_digest()
        return self._cached_digest[1]

    def compute_digest(self) -> int:
        """Compute ``digest`` without the cache. All fronts must derive the same text from equal copies."""
        clock = sorted((actor.name, actor.boot, number) for actor, number in self.holds.clock.items())
        held = sorted(
            (node, sorted((actor.name, actor.boot, number) for actor, number in dots))
            for node, dots in self.holds.dots_by_node.items()
        )
        return zlib.crc32(repr((clock, held)).encode())

    def dump(self) -> bytes:
        """Encode this front's copy, for a peer or a file."""
        return msgspec.msgpack.encode(self.holds)

    def load(self, sender: MemberId, data: bytes) -> bool:
        """Merge a peer's copy; return whether it changed this front's copy.

        Raises ``ValueError`` for a copy that cannot be decoded; nothing is changed then.
        """
        copy = decode("holds", data)
        if len(self.received) >= MAX_ACTORS and sender not in self.received:
            del self.received[next(iter(self.received))]
        self.received[sender] = copy
        before = self.holds
        self.holds = merge("holds", before, copy)
        if self.holds == before:
            return False
        self.merges += 1
        held_before = before.held_nodes()
        held_now = self.holds.held_nodes()
        if held_before != held_now:
            self.on_change(held_now - held_before, held_before - held_now)
        return True

    def restore(self, data: bytes, held: frozenset[str]) -> None:
        """Restore at start-up what the previous process stored.

        ``data``: the copy of the previous process. Its version vector lets releases that this front missed
        take effect. A copy that cannot be decoded is ignored. ``held``: the nodes held by this front's own
        record. Those that the copy lacks are held again, because a hold must not be lost.
        """
        with contextlib.suppress(ValueError):
            self.holds = merge("holds", self.holds, decode("holds", data))
        for node in held - self.holds.held_nodes():
            self.hold(node)

    def is_behind(self, member: MemberId) -> bool:
        """Return whether this member is not known to have everything that this front's copy has."""
        copy = self.received.get(member)
        if copy is None or not copy.includes(self.holds):
            return True
        return copy.held_nodes() != self.holds.held_nodes()
