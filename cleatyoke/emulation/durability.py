"""Fronts with disks in virtual time: real ``members``, ``sharing`` and ``durable.records`` through losses
of power, old disks put back and clocks that jump, against a model that sees everything.

The model knows which holds must stand (told as kept on a disk, and not released by one that knew of it) and
which may (not kept yet, or released by one that may have lost its memory of that). A front that has settled
holds all of the first and nothing beyond both: a hold too many is the safe side, one too few is not.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Any

from cleatyoke.coordination.hold_replication import HoldReplication
from cleatyoke.durability.records import FrontState, Row, decode_state, encode_state, next_boot_number
from cleatyoke.emulation.fleet import Fleet
from cleatyoke.emulation.network import Network
from cleatyoke.membership.members import Membership

DISK = 0.02  # seconds until what is written is kept
SETTLES = 45.0
FAULTS = ("hold", "hold", "release", "kill", "start", "power", "cut", "heal", "old disk", "empty disk", "run")
Recalls = Callable[[Sequence[Row], str], FrontState]


def recalls(rows: Sequence[Row], name: str) -> FrontState:
    return decode_state(rows, name, "disk")[0]


class Keeping(Fleet):
    """``share``: what a life keeps its copies by; ``recall``: what it makes of its disk."""

    def __init__(
        self,
        size: int,
        seed: int,
        share: type[HoldReplication] = HoldReplication,
        recall: Recalls = recalls,
        network: Network | None = None,
    ) -> None:
        super().__init__(size, seed, network=network, make=self.build)
        self.share, self.recall = share, recall
        self.rng = random.Random(f"keep:{seed}")
        self.disks: dict[str, list[Row]] = {}
        self.before: dict[str, list[Row]] = {}  # what stood on a disk some time ago
        self.must: set[str] = set()
        self.may: set[str] = set()
        self.lives: dict[str, int] = {}  # the highest boot number that a name has had

    def build(self, deployment: str, name: str, boot: int, *words: Any, **more: Any) -> Membership:
        """A life that begins by its disk, with a clock that may be an hour off."""
        memory = self.recall(self.disks.get(name, []), name)
        number = next_boot_number(
            memory.boot_number, 7200 + self.now + self.rng.choice((-3600.0, 0.0, 3600.0))
        )
        members = Membership(deployment, name, number, *words, **more)
        store = members.store = self.share(lambda: members.id, holds=memory.holds)
        store.on_change = lambda held, released: self.keep(members)
        self.disks[name] = encode_state(FrontState(memory.holds, number), name)
        return members

    def keep(self, members: Membership, then: Callable[[], None] = lambda: None) -> None:
        """What it knows now is on its disk a little later, if it lives so long."""

        def kept() -> None:
            if any(one.members is members for one in self.running.values()):
                store = self.store(members)
                self.disks[members.id.name] = encode_state(
                    FrontState(store.holds, members.id.boot), members.id.name
                )
                then()

        self.schedule(self.now + DISK, kept)

    @staticmethod
    def store(members: Membership) -> HoldReplication:
        assert isinstance(members.store, HoldReplication)
        return members.store

    # What staff do

    def call(self, front: int, box: str, hold: bool) -> None:
        process = self.running.get(self.address(front))
        if process is None:
            return
        members = process.members
        store = self.store(members)
        if hold:
            store.hold(box)
            self.may.add(box)
            self.keep(members, lambda: self.must.add(box))
        elif box in store.holds.held_nodes():
            store.release(box)
            self.may.add(box)
            self.must.discard(box)
            self.keep(members)
        members.push_local_change()
        self.step(self.address(front))

    def act(self, what: str, front: int, box: str) -> None:
        name = f"front-{front:04d}"
        match what:
            case "hold" | "release":
                self.call(front, box, what == "hold")
            case "kill":
                self.before[name] = self.disks.get(name, [])
                self.kill(front)
            case "start":
                self.start(front)
            case "power":
                self.before |= self.disks
                for one in range(self.size):
                    self.kill(one)
            case "old disk" | "empty disk" if self.address(front) not in self.running and self.elsewhere(
                name
            ):
                self.disks[name] = self.before.get(name, []) if what == "old disk" else []
            case "cut":
                self.cut(range(front + 1))
            case "heal":
                self.end_cuts()

    def elsewhere(self, name: str) -> bool:
        """Whether all that must stand is on other disks too: of one copy alone the loss is for good."""
        others = [recalls(rows, one).holds.held_nodes() for one, rows in self.disks.items() if one != name]
        return all(any(box in held for held in others) for box in self.must)

    def wrong(self) -> list[str]:
        out = []
        for process in self.running.values():
            held = self.store(process.members).holds.held_nodes()
            if lost := self.must - held:
                out.append(f"hold: {process.members.id.name} lost {min(lost)}")
            if extra := held - self.must - self.may:
                out.append(f"invented: {process.members.id.name} holds {min(extra)}")
        return out


def play(seed: int, size: int = 6, steps: int = 14, **make: Any) -> list[str]:
    """A script of this number; what broke once all are back and the fleet has settled."""
    rng = random.Random(f"kept:{seed}:{size}")
    loss = rng.choice((0.0, 0.2))
    fleet = Keeping(size, seed, network=Network(seed, loss=loss, duplication=0.05), **make)
    fleet.start_all()
    fleet.run(8.0)
    for _ in range(steps):
        fleet.act(rng.choice(FAULTS), rng.randrange(size), f"s-{rng.randrange(4)}")
        fleet.run(fleet.now + rng.choice((0.005, 0.1, 1.0, 6.0)))
    fleet.end_cuts()
    for front in range(size):
        if fleet.address(front) not in fleet.running:
            fleet.start(front)
    fleet.run(fleet.now + SETTLES)
    return fleet.wrong()
