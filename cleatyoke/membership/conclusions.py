"""What can be concluded from a membership view, and in which direction each conclusion may be wrong.

Missing messages prove nothing: a member that doesn't answer may be partitioned and still serve requests. A
process has certainly stopped only if it announced its leave, or if its front restarted at the address that
only one process of that name can own. The number of fronts is therefore never underestimated: an estimate
that is too high leaves capacity unused, one that is too low would overload a node or exceed a limit.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from cleatyoke.membership.wire import MemberId, MemberState, Update

DIRECT_CONTACT_SECONDS = 2.0  # for this long after its last own message a member counts as certainly up


@dataclass(slots=True, frozen=True)
class ObservedMember:
    """Another member's latest update, and when a message of its own was last received."""

    update: Update
    last_heard: float


@dataclass(slots=True, frozen=True)
class Conclusion:
    """Which members certainly run or have certainly stopped, and an upper bound of the number of fronts."""

    certainly_up: frozenset[MemberId]  # may lack some: a message was received a moment ago
    perhaps_up: frozenset[MemberId]  # may have too many: not proven stopped; includes those certainly up
    certainly_stopped: frozenset[MemberId]  # may lack some: announced its leave, or was restarted
    front_count: int  # fronts, by name, that may be running; never below the true number


def conclude(own: Update, members: Iterable[ObservedMember], front_count: int, now: float) -> Conclusion:
    """Return what can be concluded at ``now``.

    ``front_count`` is the number in the settings. The result is never below it, because a front that started
    on the other side of a partition is unknown here. No more fronts may be started than the settings state.
    """
    observed = list(members)
    latest_boots = _latest_boots([own, *(member.update for member in observed)])
    up = {own.id}
    perhaps_up = {own.id}
    stopped = set()
    for member in observed:
        update = member.update
        latest_boot = latest_boots.get((update.id.name, update.address), -1)
        was_restarted = update.owns_address and latest_boot > update.id.boot
        if update.state is MemberState.LEFT or was_restarted:
            stopped.add(update.id)
            continue
        perhaps_up.add(update.id)
        if update.state is MemberState.ALIVE and member.last_heard + DIRECT_CONTACT_SECONDS >= now:
            up.add(update.id)
    names = {id.name for id in perhaps_up}
    return Conclusion(frozenset(up), frozenset(perhaps_up), frozenset(stopped), max(front_count, len(names)))


def _latest_boots(updates: Iterable[Update]) -> dict[tuple[str, str], int]:
    """Return the highest boot number by name and address, among members that own their address."""
    latest: dict[tuple[str, str], int] = {}
    for update in updates:
        if update.owns_address:
            key = update.id.name, update.address
            latest[key] = max(latest.get(key, -1), update.id.boot)
    return latest
