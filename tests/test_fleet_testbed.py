"""What the tests of a fleet rest on: the checker of its views, and the faults of its links."""

from __future__ import annotations

import pytest

from cleatyoke.config.errors import ConfigError
from cleatyoke.emulation.network import Fault, Network
from cleatyoke.testbed.search import rules
from cleatyoke.testbed.view_checks import MembershipChecker, MembershipView, read_view


def view_of(
    *fronts: int, certainty: str = "certainly-up", digest: str = "d", count: int = 2
) -> MembershipView:
    """Return what the first of these fronts shows, in which the others are alive."""
    first, *others = [(f"n{front}", 1) for front in fronts]
    return MembershipView(first[0], 1, 0, count, digest, dict.fromkeys(others, ("alive", certainty)))


@pytest.mark.parametrize(
    ("rule", "views"),
    [
        ("", [view_of(0, 1), view_of(1, 0)]),
        ("view", [view_of(0, 1), None]),
        ("view", [view_of(0, 1), view_of(1, 0, digest="e")]),
        ("view", [view_of(0, 1), view_of(1)]),
        ("count", [view_of(0, 1), view_of(1, 0, count=1)]),
        ("stopped", [view_of(0, 1), view_of(1, 0, certainty="certainly-stopped")]),
    ],
)
def test_each_rule_of_views_can_be_broken(rule: str, views: list[MembershipView | None]) -> None:
    checker = MembershipChecker(ends=[(1.0, "kill")])
    checker.seen(2.0, dict(enumerate(views)))
    assert rules(checker.broken(9.0)) == {rule} - {""}


def test_an_incarnation_that_goes_back_breaks_a_rule() -> None:
    checker = MembershipChecker()
    checker.seen(1.0, {0: MembershipView("n0", 5, 2, 1)})
    checker.seen(2.0, {0: MembershipView("n0", 5, 1, 1)})
    assert rules(checker.broken(9.0)) == {"back"}


def test_a_line_that_is_cut_short_is_no_view() -> None:
    with pytest.raises(ConfigError):
        read_view(["fleet.life n0"])


def test_the_faults_of_a_datagram_are_drawn_from_itself_and_from_nothing_else() -> None:
    """Two runs send the same datagrams, one of them others besides: the same datagrams meet the same faults.

    Otherwise a run that fails could not be repeated.
    """
    fault = Fault(frozenset("a"), frozenset("b"), loss=0.5, duplication=0.5, corruption=0.2, jitter=1.0)
    messages = [bytes([number]) * 9 for number in range(200)]
    one, other = Network(3, faults=[fault]), Network(3, faults=[fault])
    for number in range(50):
        other.datagram("b", "a", bytes([number]))  # elsewhere
    met = [one.datagram("a", "b", data) for data in messages]
    assert met == [other.datagram("a", "b", data) for data in messages]
    assert {len(came) for came in met} == {0, 1, 2}
    assert met != [one.datagram("a", "b", data) for data in messages]  # a second time
    assert all(len(one.datagram("b", "a", data)) == 1 for data in messages)
