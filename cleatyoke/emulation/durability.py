"""Fronts with disks in virtual time: losses of power, old disks put back, clocks that jump.

The real membership, replicated holds and stored records run against a model that sees everything. The model
knows which holds must stand (reported as stored, and not released by a front that knew of them) and which
may stand (not stored yet, or released by a front that may have forgotten that). Once the fleet has settled,
each front holds all of the first and nothing beyond both: a hold too many is safe, one too few is not.
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

WRITE_S = 0.02  # seconds until what is written is stored
SETTLE_S = 45.0  # seconds in which the fleet settles after the last fault
FAULTS = ("hold", "hold", "release", "kill", "start", "power", "cut", "heal", "old disk", "empty disk", "run")
Recalls = Callable[[Sequence[Row], str], FrontState]


def recall_state(rows: Sequence[Row], name: str) -> FrontState:
    """Return what a front's rows say, as the real front reads them."""
    return decode_state(rows, name, "disk")[0]


class DurableFleet(Fleet):
    """A fleet whose fronts store their holds, with the model of which holds must stand.

    ``share``: the replication of a front's holds; ``recall``: how a front reads its disk.
    """

    def __init__(
        self,
        size: int,
        seed: int,
        share: type[HoldReplication] = HoldReplication,
        recall: Recalls = recall_state,
        network: Network | None = None,
    ) -> None:
        super().__init__(size, seed, network=network, make=self.build)
        self.share, self.recall = share, recall
        self.rng = random.Random(f"keep:{seed}")
        self.disks: dict[str, list[Row]] = {}
        self.older_disks: dict[str, list[Row]] = {}  # what stood on a disk some time ago
        self.must: set[str] = set()  # nodes whose hold must stand
        self.may: set[str] = set()  # nodes whose hold may stand

    def build(self, deployment: str, name: str, _boot: int, *words: Any, **more: Any) -> Membership:
        """Make an incarnation from its disk, with a clock that may be an hour off."""
        memory = self.recall(self.disks.get(name, []), name)
        number = next_boot_number(
            memory.boot_number, 7200 + self.now + self.rng.choice((-3600.0, 0.0, 3600.0))
        )
        members = Membership(deployment, name, number, *words, **more)
        store = members.store = self.share(lambda: members.id, holds=memory.holds)
        store.on_change = lambda _held, _released: self.keep(members)
        self.disks[name] = encode_state(FrontState(memory.holds, number), name)
        return members

    def keep(self, members: Membership, then: Callable[[], None] = lambda: None) -> None:
        """Store what a front knows on its disk, then call ``then``, if the front still runs by then."""

        def store_now() -> None:
            if any(one.members is members for one in self.running.values()):
                store = self.store(members)
                self.disks[members.id.name] = encode_state(
                    FrontState(store.holds, members.id.boot), members.id.name
                )
                then()

        self.schedule(self.now + WRITE_S, store_now)

    @staticmethod
    def store(members: Membership) -> HoldReplication:
        """Return the replicated holds of a front."""
        assert isinstance(members.store, HoldReplication)
        return members.store

    # What operators do

    def command(self, front: int, node: str, *, hold: bool) -> None:
        """Place or release the hold of a node at a front, if that front runs."""
        process = self.running.get(self.address(front))
        if process is None:
            return
        members = process.members
        store = self.store(members)
        if hold:
            store.hold(node)
            self.may.add(node)
            self.keep(members, lambda: self.must.add(node))
        elif node in store.holds.held_nodes():
            store.release(node)
            self.may.add(node)
            self.must.discard(node)
            self.keep(members)
        members.push_local_change()
        self.step(self.address(front))

    def act(self, what: str, front: int, node: str) -> None:
        """Apply one of ``FAULTS`` to a front and, for a hold, to a node."""
        name = f"front-{front:04d}"
        match what:
            case "hold" | "release":
                self.command(front, node, hold=what == "hold")
            case "kill":
                self.older_disks[name] = self.disks.get(name, [])
                self.kill(front)
            case "start":
                self.start(front)
            case "power":
                self.older_disks |= self.disks
                for one in range(self.size):
                    self.kill(one)
            case "old disk" | "empty disk" if self._may_lose_disk(front, name):
                self.disks[name] = self.older_disks.get(name, []) if what == "old disk" else []
            case "cut":
                self.cut(range(front + 1))
            case "heal":
                self.end_cuts()

    def _may_lose_disk(self, front: int, name: str) -> bool:
        return self.address(front) not in self.running and self.is_kept_elsewhere(name)

    def is_kept_elsewhere(self, name: str) -> bool:
        """Return whether other disks too have all holds that must stand; the last copy is not to be lost."""
        others = [
            recall_state(rows, one).holds.held_nodes() for one, rows in self.disks.items() if one != name
        ]
        return all(any(node in held for held in others) for node in self.must)

    def broken_rules(self) -> list[str]:
        """Return a line for each hold that is missing or that nobody placed."""
        out = []
        for process in self.running.values():
            held = self.store(process.members).holds.held_nodes()
            if lost := self.must - held:
                out.append(f"hold: {process.members.id.name} lost {min(lost)}")
            if extra := held - self.must - self.may:
                out.append(f"invented: {process.members.id.name} holds {min(extra)}")
        return out


def run_script(seed: int, size: int = 6, steps: int = 14, **make: Any) -> list[str]:
    """Run the script of this number; return what is broken once all fronts are back and have settled."""
    rng = random.Random(f"kept:{seed}:{size}")
    loss = rng.choice((0.0, 0.2))
    fleet = DurableFleet(size, seed, network=Network(seed, loss=loss, duplication=0.05), **make)
    fleet.start_all()
    fleet.run(8.0)
    for _ in range(steps):
        fleet.act(rng.choice(FAULTS), rng.randrange(size), f"s-{rng.randrange(4)}")
        fleet.run(fleet.now + rng.choice((0.005, 0.1, 1.0, 6.0)))
    fleet.end_cuts()
    for front in range(size):
        if fleet.address(front) not in fleet.running:
            fleet.start(front)
    fleet.run(fleet.now + SETTLE_S)
    return fleet.broken_rules()
