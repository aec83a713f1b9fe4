"""Fronts with disks in virtual time: power losses, disks replaced by older copies, clocks that jump.

The real membership, replicated holds and stored records are checked against a model with global knowledge.
The model tracks which holds must be in force (reported as stored, and not released by a front that knew of
them) and which may be (not stored yet, or released by a front that may have lost the record of the release).
Once the fleet has settled, each front has every hold that must be in force and none outside the two sets: an
extra hold is safe, a missing one is not.
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

WRITE_S = 0.02  # seconds until a write is durable
SETTLE_S = 45.0  # seconds the fleet is given to settle after the last fault
FAULTS = ("hold", "hold", "release", "kill", "start", "power", "cut", "heal", "old disk", "empty disk", "run")
Recalls = Callable[[Sequence[Row], str], FrontState]


def recall_state(rows: Sequence[Row], name: str) -> FrontState:
    """Decode a front's stored rows as the real front does."""
    return decode_state(rows, name, "disk")[0]


class DurableFleet(Fleet):
    """A fleet whose fronts store their holds, with the model of which holds must be in force.

    ``share``: class that replicates a front's holds; ``recall``: decodes a front's stored rows.
    """

    def __init__(
        self,
        size: int,
        seed: int,
        share: type[HoldReplication] = HoldReplication,
        recall: Recalls = recall_state,
        network: Network | None = None,
    ) -> None:
        super().__init__(size, seed, network=network, make=self.make_membership)
        self.share, self.recall = share, recall
        self.rng = random.Random(f"keep:{seed}")
        self.disks: dict[str, list[Row]] = {}
        self.older_disks: dict[str, list[Row]] = {}  # earlier contents of the disks
        self.required_holds: set[str] = set()  # nodes whose hold must be in force
        self.possible_holds: set[str] = set()  # nodes whose hold may be in force

    def make_membership(self, deployment: str, name: str, _boot: int, *words: Any, **more: Any) -> Membership:
        """Make an incarnation from the state on its disk, with a clock that may be off by an hour."""
        state = self.recall(self.disks.get(name, []), name)
        number = next_boot_number(
            state.boot_number, 7200 + self.now + self.rng.choice((-3600.0, 0.0, 3600.0))
        )
        members = Membership(deployment, name, number, *words, **more)
        store = members.store = self.share(lambda: members.id, holds=state.holds)
        store.on_change = lambda _held, _released: self.store_state(members)
        self.disks[name] = encode_state(FrontState(state.holds, number), name)
        return members

    def store_state(self, members: Membership, then: Callable[[], None] = lambda: None) -> None:
        """Write a front's state to its disk after ``WRITE_S``, then call ``then``.

        Neither happens if the front has stopped meanwhile.
        """

        def store_now() -> None:
            if any(one.members is members for one in self.running.values()):
                store = self.replication_of(members)
                self.disks[members.id.name] = encode_state(
                    FrontState(store.holds, members.id.boot), members.id.name
                )
                then()

        self.schedule(self.now + WRITE_S, store_now)

    @staticmethod
    def replication_of(members: Membership) -> HoldReplication:
        """Return the hold replication of a front."""
        assert isinstance(members.store, HoldReplication)
        return members.store

    # Operator commands and faults

    def command(self, front: int, node: str, *, hold: bool) -> None:
        """Place or release a node's hold at a front, if that front runs."""
        process = self.running.get(self.address(front))
        if process is None:
            return
        members = process.members
        store = self.replication_of(members)
        if hold:
            store.hold(node)
            self.possible_holds.add(node)
            self.store_state(members, lambda: self.required_holds.add(node))
        elif node in store.holds.held_nodes():
            store.release(node)
            self.possible_holds.add(node)
            self.required_holds.discard(node)
            self.store_state(members)
        members.push_local_change()
        self.step(self.address(front))

    def apply_fault(self, what: str, front: int, node: str) -> None:
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
        return self.address(front) not in self.running and self.has_other_copies(name)

    def has_other_copies(self, name: str) -> bool:
        """Return whether other disks have every required hold; the last copy must not be destroyed."""
        others = [
            recall_state(rows, one).holds.held_nodes() for one, rows in self.disks.items() if one != name
        ]
        return all(any(node in held for held in others) for node in self.required_holds)

    def broken_rules(self) -> list[str]:
        """Return a line per front that lacks a required hold or has one that nobody placed."""
        out = []
        for process in self.running.values():
            held = self.replication_of(process.members).holds.held_nodes()
            if lost := self.required_holds - held:
                out.append(f"hold: {process.members.id.name} lost {min(lost)}")
            if extra := held - self.required_holds - self.possible_holds:
                out.append(f"invented: {process.members.id.name} holds {min(extra)}")
        return out


def run_script(seed: int, size: int = 6, steps: int = 14, **make: Any) -> list[str]:
    """Run the fault script drawn from this seed; return the violations once all fronts have settled."""
    rng = random.Random(f"kept:{seed}:{size}")
    loss = rng.choice((0.0, 0.2))
    fleet = DurableFleet(size, seed, network=Network(seed, loss=loss, duplication=0.05), **make)
    fleet.start_all()
    fleet.run(8.0)
    for _ in range(steps):
        fleet.apply_fault(rng.choice(FAULTS), rng.randrange(size), f"s-{rng.randrange(4)}")
        fleet.run(fleet.now + rng.choice((0.005, 0.1, 1.0, 6.0)))
    fleet.end_cuts()
    for front in range(size):
        if fleet.address(front) not in fleet.running:
            fleet.start(front)
    fleet.run(fleet.now + SETTLE_S)
    return fleet.broken_rules()
