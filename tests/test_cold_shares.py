"""Parts of what cold boxes bear, lent among fronts: what is lent, and what the policy makes of it."""

from __future__ import annotations

import random

from cleatyoke.coordination.quota_leases import KEPT, Came, Need, Peers, Rights
from cleatyoke.coordination.slow_start_leases import ColdShares, resource
from cleatyoke.membership.wire import HOME, Grant, Id, Want
from cleatyoke.scheduling import api
from tests.host import Host, entry, settings

BOX, LIVE, DRAINING = 7, api.NodeState.LIVE, api.NodeState.DRAINING


def asks(name: str, units: float, now: float = 100.0, cell: int = 0) -> api.Arrival:
    return api.Arrival(
        request=name,
        class_index=0,
        plan=0,
        volume=1,
        item=None,
        cell=cell,
        units=units,
        deadline=now + 3.0,
        hosts=1,
    )


def cold(rights: Rights, start: float = 100.0) -> ColdShares:
    shares = ColdShares(rights, lambda: settings(hosts=4, cold_units=8.0), lambda node: f"s-{node}")
    shares.heard(0.0, 101.0, [api.NodeList(api.ListKind.FULL, [entry(BOX, 3, up_since=start)])])
    return shares


def test_a_cold_box_is_lent_by_who_needs_it_least_and_the_policy_hears_before_it_decides() -> None:
    terms = Rights(-100.0, random.Random(1))
    shares, name = cold(terms), resource("s-7", 100.0)
    for step in range(1, 9):  # 20 units a second at a home of 2
        shares.heard(step * 0.25, 101.0, [asks(f"a{step}", 5.0, cell=3)])
        needs = shares.needs(step * 0.25)
    assert list(needs) == [name] and 8 * HOME < needs[name] <= 10 * HOME
    [post] = terms.step(2.0, [Need(needs), Peers((Id("b", 1),))])
    assert isinstance(post.message, Want) and post.message.parts == HOME - KEPT
    terms.step(2.01, [Came(Id("b", 1), Grant(name, post.message.number, HOME - KEPT, 0))])
    assert shares.changes(2.02) == [api.LentNode(BOX, (2 * HOME - KEPT) / HOME)]
    assert shares.changes(2.03) == []
    assert shares.changes(9.0) == [api.LentNode(BOX, 1.0)]  # its lease is over, with no step between


def test_one_asked_for_nothing_there_lends_and_has_less() -> None:
    rights = Rights(-100.0, random.Random(1))
    shares = cold(rights)
    rights.step(1.0, [Need(shares.needs(1.0))])
    [post] = rights.step(1.0, [Came(Id("b", 1), Want(resource("s-7", 100.0), 1, 600))])
    assert isinstance(post.message, Grant) and post.message.parts == 600
    assert shares.changes(1.0) == [api.LentNode(BOX, 0.4)]


def test_only_boxes_in_the_same_life_that_are_cold_and_serve_are_lent() -> None:
    rights = Rights(-100.0, random.Random(1))
    for news in (entry(BOX, 3, DRAINING, 100.0), entry(BOX, 3, up_since=0.0), entry(BOX, 3, up_since=80.0)):
        shares = cold(rights)
        shares.heard(0.5, 101.0, [api.NodeList(api.ListKind.CHANGES, [news])])
        assert shares.needs(1.0) == {}
    shares = cold(rights)
    shares.heard(9.0, 110.5, [])  # warm by now
    assert shares.needs(9.0) == {}
    shares = cold(rights)
    shares.heard(1.0, 101.0, [api.NodeList(api.ListKind.CHANGES, [entry(BOX, 3, up_since=100.9)])])
    assert list(shares.needs(1.0)) == [resource("s-7", 100.9)] != [resource("s-7", 100.0)]
    fresh = cold(Rights(0.0, random.Random(1)))  # a new life, whose last may have lent: before any step of it
    assert fresh.changes(0.1) == [api.LentNode(BOX, KEPT / HOME)]


def sent_in(host: Host, seconds: float, part: float | None = None) -> float:
    """Units sent to the one cold box, asked for all it could ever take; the part changes half way."""
    units, began, halfway = 0.0, host.now, part
    while host.now < began + seconds:
        if halfway is not None and host.now >= began + seconds / 2:
            host.step(api.LentNode(BOX, halfway))
            halfway = None
        name = f"{host.now:.3f}"
        actions = host.step(asks(name, 1.0, host.now), at=host.now + 0.02)
        for action in actions:
            if isinstance(action, api.Send):
                units += 1.0
                host.step(api.Ended(action.request, 0, BOX, api.Outcome.SERVED, 0.001, True, busy=1.0))
    return units


def test_the_policy_sends_by_its_part_from_the_moment_it_changes() -> None:
    figures = {"hosts": 4, "cold_units": 40.0, "safety": {"ramp": 100.0, "cold_from": 0.2}}

    def host() -> Host:
        return Host(settings(**figures), [entry(BOX, 0, up_since=100.0)], now=100.0)  # type: ignore[arg-type]

    whole, more, none = sent_in(host(), 4.0), sent_in(host(), 4.0, 3.0), sent_in(host(), 4.0, 0.0)
    assert 38 <= whole <= 46  # 10 a second, as it warms a little
    assert 1.6 * whole <= more <= 2.1 * whole  # for half of the time three times as much
    assert 0.45 * whole <= none <= 0.6 * whole


def test_what_is_paid_off_before_a_change_counts_by_the_part_before() -> None:
    config = settings(hosts=4, cold_units=40.0, safety={"ramp": 100.0})
    host = Host(config, [entry(BOX, 0, up_since=100.0)], now=100.0)
    host.step(api.LentNode(BOX, 0.0), asks("first", 6.0))  # goes, and leaves a debt that nothing pays off
    host.step(api.LentNode(BOX, 6.0), asks("next", 1.0), at=100.8)
    assert host.log[-1:] != [api.Send("next", BOX)]
    host.step(api.Woken(0), at=100.95)
    assert api.Send("next", BOX) in host.log
