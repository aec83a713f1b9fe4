"""Precedence of updates about the same member.

The order is total, so merging is commutative and idempotent: updates give the same result in any order and
when they are merged repeatedly.
"""

from __future__ import annotations

from cleatyoke.membership.wire import MemberState, Update


def precedence(update: Update) -> tuple[bool, int, int]:
    """Return a sort key; of two updates about one member, the greater one wins.

    A leave is announced by the member itself and final. Otherwise the higher incarnation wins, which only the
    member itself raises, and at equal incarnations the more severe state (SWIM, section 4.2).
    """
    return update.state is MemberState.LEFT, update.incarnation, int(update.state)
