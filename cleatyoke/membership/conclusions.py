"""What may be concluded from a view, and in which direction it errs.

Silence proves nothing: one that is not heard of may be cut off and at work. Only its own word that it
leaves, or its start anew at the address that its name alone may hold, proves that a life is over. So the
count here is never under the true one: too many fronts believed leave units unused, too few would let a
box fall over or a limit be passed (invariants 1 and 2 of the frame).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from cleatyoke.membership.wire import MemberId, MemberState, Update

FRESH_SECONDS = (
    2.0  # seconds for which one that was heard directly is certainly up, as far as anything is certain
)


@dataclass(slots=True, frozen=True)
class ObservedMember:
    """A life as a view holds it, and when it was last heard directly."""

    update: Update
    last_heard: float


@dataclass(slots=True, frozen=True)
class Conclusion:
    certainly_up: frozenset[MemberId]  # errs low: heard a moment ago
    perhaps_up: frozenset[MemberId]  # errs high: not proven to be over; those that are certainly up too
    certainly_stopped: frozenset[MemberId]  # errs low: by its own word, or by its start anew
    front_count: int  # fronts, by name, that may be at work: never under the true number

    def may_use(self, whole: float) -> float:
        """An even part of something that all fronts share: what all take by this is never over the whole."""
        return whole / self.front_count


def conclude(me: Update, known: Iterable[ObservedMember], hosts: int, now: float) -> Conclusion:
    """``hosts``: how many fronts the settings state. The count is never under it, as a front that started
    beyond a cut is in nobody's view here: so nobody may start more fronts than the settings state.
    """
    lives = list(known)
    by_address: dict[tuple[str, str], int] = {}
    for rumour in [me, *(one.update for one in lives)]:
        if rumour.owns_address:
            place = rumour.id.name, rumour.address
            by_address[place] = max(by_address.get(place, -1), rumour.id.boot)
    up, perhaps, stopped = {me.id}, {me.id}, set()
    for one in lives:
        rumour = one.update
        anew = rumour.owns_address and by_address[(rumour.id.name, rumour.address)] > rumour.id.boot
        if rumour.state is MemberState.LEFT or anew:
            stopped.add(rumour.id)
            continue
        perhaps.add(rumour.id)
        if rumour.state is MemberState.ALIVE and one.last_heard + FRESH_SECONDS >= now:
            up.add(rumour.id)
    names = {id.name for id in perhaps}
    return Conclusion(frozenset(up), frozenset(perhaps), frozenset(stopped), max(hosts, len(names)))
