"""The holds of one front as they are replicated among the fronts of a fleet.

No I/O and no clock. The membership carries ``dump`` along with every exchange of full states, compares
``digest`` with every probe, and starts an exchange where two fronts' digests differ.
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
    """What this front's operators hold and release, what peers report, and which peer knows how much.

    ``self_id``: this front's present process. ``on_change`` is called with the nodes that peers hold from
    now on and with those that they have released.
    """

    self_id: Callable[[], MemberId]
    on_change: Callable[[frozenset[str], frozenset[str]], None] = _ignore_change
    holds: HoldSet = field(default_factory=HoldSet)
    received: dict[MemberId, HoldSet] = field(default_factory=dict)  # by process run, its last copy
    merges: int = 0  # copies that differed from ours and changed it
    _cached_digest: tuple[HoldSet, int] | None = None  # the holds it was computed of, and the digest

    def hold(self, node: str) -> None:
        """Hold a node, as an operator of this front said."""
        self.holds = self.holds.hold(self.self_id(), node)

    def release(self, node: str) -> None:
        """Release a node, as an operator of this front said."""
        self.holds = self.holds.release(node)

    def digest(self) -> int:
        """CRC-32 that is the same for equal copies: the same dots, and as much known to be released.

        Every probe asks for it, so it is computed once for each change.
        """
        if self._cached_digest is None or self._cached_digest[0] is not self.holds:
            self._cached_digest = self.holds, self.compute_digest()
        return self._cached_digest[1]

    def compute_digest(self) -> int:
        """Compute ``digest`` anew. The text it sums up must be the same in all fronts."""
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
        """Merge a peer's copy; return whether it changed this one.

        Raises ``ValueError`` for a copy that can't be decoded, and takes nothing of it.
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
        """Take at a start what the previous process kept.

        ``data``: its copy, by which a release that it missed still counts; a copy that can't be decoded is
        ignored. ``held``: the nodes that this front's own record holds; those that the copy lacks are held
        anew, as a hold must not be lost.
        """
        with contextlib.suppress(ValueError):
            self.holds = merge("holds", self.holds, decode("holds", data))
        for node in held - self.holds.held_nodes():
            self.hold(node)

    def is_behind(self, member: MemberId) -> bool:
        """Whether this member is not known to have all that is known here."""
        copy = self.received.get(member)
        if copy is None or not copy.includes(self.holds):
            return True
        return copy.held_nodes() != self.holds.held_nodes()
