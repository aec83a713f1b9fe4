"""Test support for fleets: the checker of membership views, and simulated link faults."""

from __future__ import annotations

import pytest

from cleatyoke.config.errors import ConfigError
from cleatyoke.emulation.network import Fault, Network
from cleatyoke.testbed.search import rules
from cleatyoke.testbed.view_checks import MembershipChecker, MembershipView, read_view


def view_of(
    *fronts: int, certainty: str = "certainly-up", digest: str = "d", count: int = 2
) -> MembershipView:
    """Return the view of the first of these fronts, with the others alive."""
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
def test_view_that_breaks_a_rule_is_reported(rule: str, views: list[MembershipView | None]) -> None:
    checker = MembershipChecker(fault_ends=[(1.0, "kill")])
    checker.on_poll(2.0, dict(enumerate(views)))
    assert rules(checker.find_violations(9.0)) == {rule} - {""}


def test_decreasing_incarnation_is_reported() -> None:
    checker = MembershipChecker()
    checker.on_poll(1.0, {0: MembershipView("n0", 5, 2, 1)})
    checker.on_poll(2.0, {0: MembershipView("n0", 5, 1, 1)})
    assert rules(checker.find_violations(9.0)) == {"back"}


def test_truncated_view_line_is_rejected() -> None:
    with pytest.raises(ConfigError):
        read_view(["fleet.life n0"])


def test_datagram_faults_depend_only_on_the_datagram_and_its_link() -> None:
    """Two runs send the same datagrams, and one run sends others as well: equal datagrams meet equal faults.

    Otherwise a failed run could not be reproduced.
    """
    fault = Fault(frozenset("a"), frozenset("b"), loss=0.5, duplication=0.5, corruption=0.2, jitter=1.0)
    messages = [bytes([number]) * 9 for number in range(200)]
    one, other = Network(3, faults=[fault]), Network(3, faults=[fault])
    for number in range(50):
        other.datagram("b", "a", bytes([number]))  # on another link
    first_run = [one.datagram("a", "b", data) for data in messages]
    assert first_run == [other.datagram("a", "b", data) for data in messages]
    assert {len(copies) for copies in first_run} == {0, 1, 2}
    assert first_run != [one.datagram("a", "b", data) for data in messages]  # sent again
    assert all(len(one.datagram("b", "a", data)) == 1 for data in messages)
