"""Messages among fronts: validated as a whole, rejected by one reason, harmless where they are garbage."""

from __future__ import annotations

import random

import pytest

from cleatyoke.membership import wire
from cleatyoke.membership.actions import ReplyExchange, SendDatagram
from cleatyoke.membership.events import DatagramReceived, ExchangeRequested
from cleatyoke.membership.wire import Gossip, MemberId, MemberState, Ping
from cleatyoke.transport import encoding
from tests.membership_fleets import membership_of, single_member, started_fleet, update_of


def test_a_message_is_accepted_as_a_whole_or_rejected_by_one_reason() -> None:
    ping = Ping(1, MemberId("b", 1), 0)
    data, used = wire.encode_datagram("ours", update_of(), ping, [update_of("c" * 30)] * 60)
    assert 10 < used < 60
    assert len(data) <= wire.MAX_DATAGRAM_BYTES
    assert len(wire.decode_datagram("ours", data).updates) == used
    message = wire.Datagram("ours", 9, update_of(), Gossip(), [])
    other_version = encoding.append_checksum(wire.encoder.encode(message))
    for deployment, bad, reason in (
        ("theirs", data, "foreign"),
        ("ours", other_version, "version"),
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
    """A stranger sends random bytes, messages that are cut short, and one valid message a thousand times."""
    fleet = started_fleet(4)
    one, rng = membership_of(fleet, 0), random.Random(1)
    other = membership_of(fleet, 1).id
    good = wire.encode_datagram("test", one.records[other].update, Gossip(), [])[0]
    before = one.operator_view_checksum()
    bad = [rng.randbytes(rng.randrange(40)) for _ in range(1000)]
    bad += [good[: rng.randrange(len(good))] for _ in range(1000)]
    one.step(fleet.now, map(DatagramReceived, bad))
    assert one.operator_view_checksum() == before
    assert sum(one.counters.rejected.values()) == 2000
    one.step(fleet.now, [DatagramReceived(good)] * 1000)  # replayed
    assert one.operator_view_checksum() == before


def test_a_full_state_is_answered_by_one() -> None:
    one = single_member()
    state = wire.encode_full_state("test", update_of("b"), [update_of("c", state=MemberState.DEAD)])
    actions = one.step(0.0, [ExchangeRequested(7, state)])
    assert [action.token for action in actions if isinstance(action, ReplyExchange)] == [7]
    assert set(one.active_members) == {MemberId("b", 1)}
    assert not [action for action in actions if isinstance(action, SendDatagram)]
