"""Which of two updates of one member wins.

The order is total, so that updates merge in any order and any number of times to the same result.
"""

from __future__ import annotations

from cleatyoke.membership.wire import MemberState, Update


def precedence(update: Update) -> tuple[bool, int, int]:
    """Return a key: of two updates of one member the greater one wins.

    Leaving is said by the member itself and final. Otherwise the higher incarnation wins, which only the
    member itself raises, and at the same incarnation the graver state (SWIM, section 4.2).
    """
    return update.state is MemberState.LEFT, update.incarnation, int(update.state)
