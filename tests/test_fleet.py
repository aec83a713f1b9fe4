"""The fleet's view: messages, merges, conclusions, and members by the dozen in virtual time under faults.
Each rule has a variant without it, which the checks must catch."""

from __future__ import annotations

import itertools
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cleatyoke.emulation.fault_script import FAULTS, draw, play, shrink
from cleatyoke.emulation.fleet import Fleet
from cleatyoke.emulation.network import Network
from cleatyoke.membership import wire
from cleatyoke.membership.actions import ChangeKind, MembershipChanged, ReplyExchange, SendDatagram
from cleatyoke.membership.conclusions import ObservedMember, conclude
from cleatyoke.membership.events import DatagramReceived, ExchangeRequested, LeaveRequested
from cleatyoke.membership.member_records import Probe
from cleatyoke.membership.members import Membership
from cleatyoke.membership.timing import MembershipTiming
from cleatyoke.membership.wire import Gossip, MemberId, MemberState, Ping, Update
from cleatyoke.transport import encoding

SIZE = 12
HEAL = 3.0  # seconds until there is one view again


class NeverRefutes(Membership):
    def refute(self, rumour: Update) -> None:
        pass


class LetsTheDeadRest(Membership):
    def probe_failed_member(self) -> None:
        pass


class AsksNobody(Membership):
    def request_indirect_probes(self, number: int, probe: Probe, address: str) -> None:
        probe.indirect_at = probe.deadline


class ForgetsBoot(Membership):
    def __init__(self, deployment: str, name: str, boot: int, *rest: object, **more: object) -> None:
        super().__init__(deployment, name, 1, *rest, **more)  # type: ignore[arg-type]

    def adopt_higher_boot(self, boot: int) -> None:
        pass


class WarnsAlways(Membership):
    def notify_suspect(self, life: object, sender: Update) -> None:
        life.notified_at = float("-inf")  # type: ignore[attr-defined]
        super().notify_suspect(life, sender)  # type: ignore[arg-type]


def started(size: int = SIZE, make: type[Membership] = Membership, seed: int = 1, **network: float) -> Fleet:
    fleet = Fleet(size, seed, network=Network(seed, **network), make=make)  # type: ignore[arg-type]
    fleet.start_all()
    fleet.run(12.0)
    return fleet


def members(fleet: Fleet, front: int) -> Membership:
    return fleet.running[fleet.address(front)].members


def false_deaths(fleet: Fleet) -> int:
    return sum(not true for _, _, _, true in fleet.journal.deaths)


# Messages


def rumour(
    name: str = "a", boot: int = 1, state: MemberState = MemberState.ALIVE, count: int = 0, by: str = ""
) -> Update:
    return Update(MemberId(name, boot), f"{name}:1", state, count, True, by)


def test_a_message_is_taken_whole_or_refused_by_one_reason() -> None:
    data, used = wire.encode_datagram("ours", rumour(), Ping(1, MemberId("b", 1), 0), [rumour("c" * 30)] * 60)
    assert 10 < used < 60
    assert len(data) <= wire.MAX_DATAGRAM_BYTES
    assert len(wire.decode_datagram("ours", data).updates) == used
    alien = encoding.append_checksum(wire.encoder.encode(wire.Datagram("ours", 9, rumour(), Gossip(), [])))
    for deployment, bad, reason in (
        ("theirs", data, "foreign"),
        ("ours", alien, "version"),
        ("ours", data[:-1], "corrupt"),
        ("ours", b"", "corrupt"),
        ("ours", data * 2, "too long"),
        ("ours", encoding.append_checksum(b"\x93"), "unreadable"),
        ("ours", encoding.append_checksum(b"\x91" * 900), "unreadable"),
    ):
        with pytest.raises(encoding.WireError, match=f"^{reason}$"):
            wire.decode_datagram(deployment, bad)
    with pytest.raises(encoding.WireError, match="too long"):
        wire.decode_full_state("ours", bytes(wire.MAX_STREAM_BYTES + 1))


def test_garbage_by_the_thousand_changes_nothing_and_is_counted() -> None:
    fleet = started(4)
    one, rng = members(fleet, 0), random.Random(1)
    good = wire.encode_datagram("test", one.records[members(fleet, 1).id].update, Gossip(), [])[0]
    before = one.digest()
    bad = [rng.randbytes(rng.randrange(40)) for _ in range(1000)]
    bad += [good[: rng.randrange(len(good))] for _ in range(1000)]
    one.step(fleet.now, map(DatagramReceived, bad))
    assert one.digest() == before
    assert sum(one.counters.rejected.values()) == 2000
    one.step(fleet.now, [DatagramReceived(good)] * 1000)  # replayed
    assert one.digest() == before


rumours = st.builds(
    rumour,
    st.sampled_from("bcd"),
    st.integers(1, 2),
    st.sampled_from(MemberState),
    st.integers(0, 3),
    st.just("x"),
)


@settings(deadline=None, derandomize=True, max_examples=60)
@given(st.lists(rumours, max_size=12), st.randoms(use_true_random=False))
def test_rumours_merge_to_one_view_in_any_order_any_number_of_times(
    told: list[Update], rng: random.Random
) -> None:
    digests = set()
    for again in (told, told * 2, rng.sample(told, len(told))):
        one = Membership("test", "a", 1, "a:1", (), random.Random(1))
        one.step(0.0)
        for each in again:
            one.merge_update(each)
        digests.add(one.digest())
    assert len(digests) == 1


# What may be concluded


def test_silence_frees_nothing_and_only_its_word_or_its_start_anew_does() -> None:
    lives = [
        ObservedMember(rumour("b", state=MemberState.DEAD), 0.0),
        ObservedMember(rumour("c", state=MemberState.LEFT), 9.9),
        ObservedMember(rumour("d", 1, MemberState.DEAD), 0.0),
        ObservedMember(rumour("d", 2), 9.9),
        ObservedMember(rumour("e"), 5.0),
    ]
    told = conclude(rumour(), lives, 2, 10.0)
    assert told.certainly_stopped == {MemberId("c", 1), MemberId("d", 1)}
    assert told.certainly_up == {MemberId("a", 1), MemberId("d", 2)}
    assert told.perhaps_up == {
        MemberId(name, boot) for name, boot in (("a", 1), ("b", 1), ("d", 2), ("e", 1))
    }
    assert told.front_count == 4
    assert conclude(rumour(), lives, 7, 10.0).front_count == 7  # somebody beyond a cut is in nobody's view
    shared = Update(
        MemberId("d", 2), "d:2", MemberState.ALIVE, 0, False
    )  # an upgrade: two processes of one name
    both = conclude(rumour(), [ObservedMember(rumour("d", 1), 9.9), ObservedMember(shared, 9.9)], 1, 10.0)
    assert both.perhaps_up >= {MemberId("d", 1), MemberId("d", 2)}


# The hard cases, in virtual time


@pytest.mark.parametrize("dead", [[5], [1, 4, 7, 10], [0, 1, 2]])
def test_the_killed_are_known_to_all_and_nobody_else_is_believed_dead(dead: list[int]) -> None:
    fleet = started()
    assert fleet.one_view()
    for front in dead:
        fleet.kill(front)
    assert fleet.settle(20.0) is not None
    assert false_deaths(fleet) == 0
    fleet.check_counts()
    assert not fleet.broken


@pytest.mark.parametrize(("make", "caught"), [(Membership, False), (NeverRefutes, True)])
def test_a_stopped_process_comes_back_and_knows_that_it_was_away(
    make: type[Membership], caught: bool
) -> None:
    fleet = started(make=make)
    id = members(fleet, 3).id
    fleet.stop(3, 16.0)
    fleet.run(fleet.now + 15.9)
    assert fleet.knows_dead(id) > 0.5
    fleet.check_counts()  # it is counted all the same
    fleet.run(fleet.now + 0.2)
    assert members(fleet, 3).incarnation > 0  # and went beyond what was said of it, unasked
    if caught:
        members(fleet, 3).incarnation = 0  # without its own word nothing brings it back
    assert (fleet.settle(HEAL) is None) == caught
    assert not fleet.broken


@pytest.mark.parametrize(("make", "most"), [(Membership, 0), (AsksNobody, 10**6)])
def test_a_cut_one_way_is_bridged_by_the_others(make: type[Membership], most: int) -> None:
    fleet = started(make=make)
    fleet.network.deaf.add((fleet.address(4), fleet.address(7)))
    fleet.run(fleet.now + 60.0)
    raised = members(fleet, 4).counters.suspicions + members(fleet, 7).counters.suspicions
    assert false_deaths(fleet) == 0
    assert (raised > 0) == (most > 0)


@pytest.mark.parametrize(("make", "caught"), [(Membership, False), (LetsTheDeadRest, True)])
def test_a_group_that_was_cut_off_is_one_fleet_again(make: type[Membership], caught: bool) -> None:
    fleet = started(make=make)
    for process in fleet.running.values():
        process.members.seeds.clear()  # nobody outside helps
    fleet.cut([0, 1, 2, 3, 4])
    for _ in range(30):
        fleet.run(fleet.now + 1.0)
        fleet.check_counts()
    assert len(members(fleet, 0).failed_members) == 7
    assert len(members(fleet, 11).failed_members) == 5
    fleet.heal()
    assert (fleet.settle(HEAL) is None) == caught
    assert not fleet.broken


def test_one_that_sees_both_sides_of_a_cut_holds_them_together() -> None:
    fleet = started()
    for here, there in itertools.product((1, 2, 3, 4, 5), (6, 7, 8, 9, 10, 11)):
        one, other = fleet.address(here), fleet.address(there)
        fleet.network.deaf |= {(one, other), (other, one)}
    fleet.run(fleet.now + 30.0)
    fleet.check_counts()
    assert members(fleet, 0).counters.deaths == 0
    fleet.heal()
    # What was suspected just before may still be told dead, and be taken back: 0.1 to 3.4 s over 8 seeds.
    assert fleet.settle(2 * HEAL) is not None
    assert not fleet.broken


def test_a_roll_leaves_in_order_and_frightens_nobody() -> None:
    fleet = started()
    for front in range(SIZE):
        fleet.leave(front)
        fleet.run(fleet.now + 1.0)
        assert fleet.address(front) not in fleet.running
        fleet.start(front)
        fleet.run(fleet.now + 1.0)
    assert fleet.settle(HEAL) is not None
    assert not fleet.journal.deaths
    assert not fleet.broken
    assert all(len(members(fleet, front).left_members) == SIZE for front in range(SIZE - 1))


def test_one_that_leaves_while_its_word_was_told_on_answers_still_ends() -> None:
    one = Membership("test", "a", 1, "a:1", (), random.Random(1))
    one.step(0.0, [LeaveRequested()])
    one.transmit_counts.clear()
    one.step(one.next_step_at())
    assert one.has_left


@pytest.mark.parametrize("loss", [0.3])
def test_heavy_loss_leaves_one_view(loss: float) -> None:
    fleet = started(loss=loss, doubles=0.02, garbles=0.02)
    fleet.run(fleet.now + 60.0)
    assert fleet.settle(20.0) is not None
    assert not fleet.broken


def test_seeds_that_are_down_part_nobody_for_good() -> None:
    fleet = Fleet(SIZE, 2)
    for front in range(2, SIZE):
        fleet.start(front)
    assert fleet.settle(20.0) is not None
    fleet.kill(2)
    fleet.run(fleet.now + 20.0)
    fleet.start(7)  # no seed is left; the others look for whom they believe dead
    assert fleet.settle(20.0) is not None
    fleet.start(0)
    assert fleet.settle(20.0) is not None
    for front in (0, 1, 5):
        fleet.leave(front)
    fleet.run(fleet.now + 5.0)
    fleet.start(5)  # it left in order, and is back where all the seeds have left
    assert fleet.settle(20.0) is not None


@pytest.mark.parametrize(("make", "caught"), [(Membership, False), (ForgetsBoot, True)])
def test_a_front_with_an_old_memory_gives_it_up_and_goes_beyond(make: type[Membership], caught: bool) -> None:
    fleet = started(make=make)
    fleet.leave(6)
    fleet.run(fleet.now + 2.0)
    fleet.start(6, boot=1)
    assert (fleet.settle(HEAL) is None) == caught
    if not caught:
        assert members(fleet, 6).id.boot == 2
    fleet.check_counts()
    assert not [broken for broken in fleet.broken if broken.startswith("count")]


def test_a_clock_that_jumps_back_costs_nothing() -> None:
    one = Membership("test", "a", 1, "a:1", ("b:1",), random.Random(1))
    one.step(100.0)
    due = one.next_step_at()
    one.step(40.0)
    assert one.next_step_at() - 40.0 == pytest.approx(due - 100.0)
    tries = [one.step(40.0 + tenth / 10) for tenth in range(40)]
    assert sum(map(len, tries)) >= 2  # it still asks its seed
    assert not [told for told in itertools.chain(*tries) if isinstance(told, MembershipChanged)]


@pytest.mark.parametrize(("make", "most"), [(Membership, 200), (WarnsAlways, 10**9)])
def test_two_that_believe_each_other_dead_don_t_answer_without_end(make: type[Membership], most: int) -> None:
    mute = type("Mute", (make,), {"refute": NeverRefutes.refute})
    fleet = started(2, make=mute)
    for front in (0, 1):
        other = members(fleet, 1 - front).own_update()
        members(fleet, front).merge_update(
            Update(other.id, other.address, MemberState.DEAD, other.incarnation, True)
        )
    before = fleet.traffic()[0]
    fleet.run(fleet.now + 10.0)
    sent = fleet.traffic()[0] - before
    assert (sent <= 200) == (most == 200)


def test_its_own_log_is_told_each_transition_once() -> None:
    one = Membership("test", "a", 1, "a:1", (), random.Random(1))
    told: list[MembershipChanged] = []
    for at, state, count in ((0.0, 0, 0), (0.1, 0, 0), (0.2, 1, 0), (0.3, 1, 0), (0.4, 0, 1), (0.5, 3, 1)):
        one.actions = []
        one.now = at
        one.merge_update(rumour("b", 1, MemberState(state), count, "x"))
        told += [action for action in one.actions if isinstance(action, MembershipChanged)]
    assert [each.change for each in told] == [
        ChangeKind.JOINED,
        ChangeKind.SUSPECTED,
        ChangeKind.RETURNED,
        ChangeKind.LEFT,
    ]


def test_views_that_differ_without_news_are_exchanged_and_others_are_not() -> None:
    fleet = started()
    one, lost = members(fleet, 2), members(fleet, 9).id
    one.timing = MembershipTiming(exchange_interval=3600.0)  # the clock does not help
    one.due_at["sync"] = one.due_at["join"] = 3600.0
    for process in fleet.running.values():
        process.members.due_at["sync"] = process.members.due_at["join"] = 3600.0
    before = [process.members.counters.bytes_out for process in fleet.running.values()]
    fleet.run(fleet.now + 10.0)
    spent = [process.members.counters.bytes_out for process in fleet.running.values()]
    assert max(after - was for was, after in zip(before, spent)) < 5000  # no whole view among them
    life = one.records.pop(lost)  # rumours have left one out
    one.active_checksum ^= life.checksum
    del one.active_members[lost]
    assert fleet.settle(20.0) is not None


def test_a_whole_view_is_answered_by_one() -> None:
    one = Membership("test", "a", 1, "a:1", (), random.Random(1))
    view = wire.encode_full_state("test", rumour("b"), [rumour("c", state=MemberState.DEAD)])
    actions = one.step(0.0, [ExchangeRequested(7, view)])
    assert [action.token for action in actions if isinstance(action, ReplyExchange)] == [7]
    assert set(one.active_members) == {MemberId("b", 1)}
    assert not [action for action in actions if isinstance(action, SendDatagram)]


# Drawn scripts


@pytest.mark.parametrize("ten", range(10))
def test_drawn_scripts_break_no_rule(ten: int) -> None:
    for seed in range(10 * ten + 1, 10 * ten + 11):
        script = draw(seed, SIZE)
        assert play(script) == [], script


fronts = st.lists(st.integers(0, SIZE - 1), min_size=1, max_size=4, unique=True)
steps = st.lists(
    st.tuples(st.floats(0, 25).map(lambda at: round(at, 2)), st.sampled_from(FAULTS), fronts), max_size=8
)


@settings(deadline=None, derandomize=True, max_examples=15)
@given(steps, st.sampled_from((0.0, 0.15, 0.3)), st.integers(0, 99))
def test_no_order_of_faults_breaks_a_rule(
    steps: list[tuple[float, str, list[int]]], loss: float, seed: int
) -> None:
    told = sorted(([at, what, of] for at, what, of in steps), key=lambda step: step[0])
    assert play({"size": SIZE, "seed": seed, "loss": loss, "steps": told}) == []


def test_a_script_that_breaks_a_rule_is_made_shorter() -> None:
    steps = [
        [1.0, "kill", [3]],
        [2.0, "leave", [1]],
        [3.0, "stop", [2]],
        [5.0, "start", [1]],
        [6.0, "heal", []],
    ]
    script = {"size": 4, "seed": 1, "loss": 0.0, "steps": steps}
    assert play(script) == []
    assert "one view" in {broken[:8] for broken in play(script, ForgetsBoot)}
    assert shrink(script, "one view", ForgetsBoot)["steps"] == [steps[1], steps[3]]
