"""The copies that one front keeps and shares: what its operators do here, what comes from others, who has it.

No input, output or clock. ``members`` carries a dump along with every exchange of views, and exchanges where
the digests of two fronts differ.
"""

from __future__ import annotations

import contextlib
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from cleatyoke.coordination.replicated_holds import MOST_ACTORS, HoldSet, decode, merge
from cleatyoke.membership.wire import MemberId


@dataclass(slots=True)
class HoldReplication:
    """``changed`` hears of boxes that others hold from now on, and of those that they have released."""

    me: Callable[[], MemberId]
    changed: Callable[[frozenset[str], frozenset[str]], None] = lambda held, released: None
    holds: HoldSet = field(default_factory=HoldSet)
    told: dict[MemberId, HoldSet] = field(default_factory=dict)  # what each life had when it was last heard
    merged: int = 0  # copies that differed, and were settled by the rule
    digested: tuple[HoldSet, int] | None = None  # the holds that were last summed up, and their sum

    def hold(self, box: str) -> None:
        self.holds = self.holds.hold(self.me(), box)

    def release(self, box: str) -> None:
        self.holds = self.holds.release(box)

    def digest(self) -> int:
        """The same where the same is held by the same dots, and as much is known to be released. Every probe
        asks for it, so that it is summed up once for each change.
        """
        if self.digested is None or self.digested[0] is not self.holds:
            self.digested = self.holds, self.sum_up()
        return self.digested[1]

    def sum_up(self) -> int:
        clock = sorted((life.name, life.boot, number) for life, number in self.holds.clock.items())
        held = sorted(
            (box, sorted((life.name, life.boot, number) for life, number in dots))
            for box, dots in self.holds.held.items()
        )
        return zlib.crc32(repr((clock, held)).encode())

    def dump(self) -> bytes:
        return msgspec.msgpack.encode(self.holds)

    def load(self, sender: MemberId, data: bytes) -> bool:
        """Merge a dump; whether anything here is new by it. Raises ``ValueError``, and takes nothing of one
        that cannot be.
        """
        copy = decode("holds", data)
        if len(self.told) >= MOST_ACTORS and sender not in self.told:
            del self.told[next(iter(self.told))]
        self.told[sender] = copy
        before = self.holds
        self.holds = merge("holds", before, copy)
        if self.holds == before:
            return False
        self.merged += 1
        had, has = before.boxes(), self.holds.boxes()
        if had != has:
            self.changed(has - had, had - has)
        return True

    def restore(self, data: bytes, held: frozenset[str]) -> None:
        """At a start: the copy that the life before kept, so that a release that it missed still counts, and
        what is held by hand beside it. Where the copy cannot be read, all that is held is held anew.
        """
        with contextlib.suppress(ValueError):
            self.holds = merge("holds", self.holds, decode("holds", data))
        for box in held - self.holds.boxes():
            self.hold(box)

    def lacks(self, life: MemberId) -> bool:
        """Whether this life is not known to have all that is known here."""
        copy = self.told.get(life)
        return copy is None or not copy.has(self.holds) or copy.boxes() != self.holds.boxes()
