"""What may be concluded from a membership view, and in which direction it errs.

Silence proves nothing: a member that is not heard may be cut off and at work. Only its own message that it
leaves, or its restart at the address that only its name may own, proves that a process is over. So the number
of fronts here is never under the true one: too many fronts believed leave capacity unused, too few would
overload a node or exceed a limit.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from cleatyoke.membership.wire import MemberId, MemberState, Update

FRESH_SECONDS = 2.0  # for which a member that was heard directly is certainly up, as far as that can be known


@dataclass(slots=True, frozen=True)
class ObservedMember:
    """Another member as a view has it, and when it was last heard directly."""

    update: Update
    last_heard: float


@dataclass(slots=True, frozen=True)
class Conclusion:
    """What is certain of each member, and how many fronts there may be."""

    certainly_up: frozenset[MemberId]  # errs low: heard a moment ago
    perhaps_up: frozenset[MemberId]  # errs high: not proven to be over; includes those that are certainly up
    certainly_stopped: frozenset[MemberId]  # errs low: by its own message, or by its restart
    front_count: int  # fronts, by name, that may be at work: never under the true number


def conclude(own: Update, members: Iterable[ObservedMember], front_count: int, now: float) -> Conclusion:
    """Conclude from what is known at ``now``.

    ``front_count``: of the settings. The result is never under it, as a front that started beyond a partition
    is in nobody's view here: so nobody may start more fronts than the settings state.
    """
    known = list(members)
    latest_boots = _latest_boots([own, *(member.update for member in known)])
    up = {own.id}
    perhaps_up = {own.id}
    stopped = set()
    for member in known:
        update = member.update
        successor = latest_boots.get((update.id.name, update.address), -1)
        was_restarted = update.owns_address and successor > update.id.boot
        if update.state is MemberState.LEFT or was_restarted:
            stopped.add(update.id)
            continue
        perhaps_up.add(update.id)
        if update.state is MemberState.ALIVE and member.last_heard + FRESH_SECONDS >= now:
            up.add(update.id)
    names = {id.name for id in perhaps_up}
    return Conclusion(frozenset(up), frozenset(perhaps_up), frozenset(stopped), max(front_count, len(names)))


def _latest_boots(updates: Iterable[Update]) -> dict[tuple[str, str], int]:
    """Highest boot number by name and address, of members that own their address."""
    latest: dict[tuple[str, str], int] = {}
    for update in updates:
        if update.owns_address:
            place = update.id.name, update.address
            latest[place] = max(latest.get(place, -1), update.id.boot)
    return latest
