"""Messages between fronts: complete validation, rejection with one reason, no effect of garbage."""

from __future__ import annotations

import random

import pytest

from cleatyoke.membership import wire
from cleatyoke.membership.actions import ReplyExchange, SendDatagram
from cleatyoke.membership.events import DatagramReceived, ExchangeRequested
from cleatyoke.membership.wire import Gossip, MemberId, MemberState, Ping
from cleatyoke.transport import encoding
from tests.membership_fleets import membership_of, single_member, started_fleet, update_of


def test_decode_datagram_rejects_invalid_messages_with_one_reason() -> None:
    ping = Ping(1, MemberId("b", 1), 0)
    data, used = wire.encode_datagram("ours", update_of(), ping, [update_of("c" * 30)] * 60)
    assert 10 < used < 60
    assert len(data) <= wire.MAX_DATAGRAM_BYTES
    assert len(wire.decode_datagram("ours", data).updates) == used
    message = wire.Datagram("ours", 9, update_of(), Gossip(), [])
    other_version = encoding.append_checksum(wire.encoder.encode(message))
    for deployment, datagram, reason in (
        ("theirs", data, "foreign"),
        ("ours", other_version, "version"),
        ("ours", data[:-1], "corrupt"),
        ("ours", b"", "corrupt"),
        ("ours", data * 2, "too long"),
        ("ours", encoding.append_checksum(b"\x93"), "unreadable"),
        ("ours", encoding.append_checksum(b"\x91" * 900), "unreadable"),
    ):
        with pytest.raises(encoding.WireError, match=f"^{reason}$"):
            wire.decode_datagram(deployment, datagram)
    with pytest.raises(encoding.WireError, match="too long"):
        wire.decode_full_state("ours", bytes(wire.MAX_STREAM_BYTES + 1))


def test_step_with_garbage_and_replayed_datagrams_changes_nothing() -> None:
    """An unknown sender sends random bytes, truncated messages, and one valid message a thousand times."""
    fleet = started_fleet(4)
    membership, rng = membership_of(fleet, 0), random.Random(1)
    peer = membership_of(fleet, 1).id
    valid = wire.encode_datagram("test", membership.records[peer].update, Gossip(), [])[0]
    before = membership.operator_view_checksum()
    invalid = [rng.randbytes(rng.randrange(40)) for _ in range(1000)]
    invalid += [valid[: rng.randrange(len(valid))] for _ in range(1000)]
    membership.step(fleet.now, map(DatagramReceived, invalid))
    assert membership.operator_view_checksum() == before
    assert sum(membership.counters.rejected.values()) == 2000
    membership.step(fleet.now, [DatagramReceived(valid)] * 1000)  # replayed
    assert membership.operator_view_checksum() == before


def test_exchange_request_is_answered_with_a_full_state() -> None:
    membership = single_member()
    state = wire.encode_full_state("test", update_of("b"), [update_of("c", state=MemberState.DEAD)])
    actions = membership.step(0.0, [ExchangeRequested(7, state)])
    assert [action.token for action in actions if isinstance(action, ReplyExchange)] == [7]
    assert set(membership.active_members) == {MemberId("b", 1)}
    assert not [action for action in actions if isinstance(action, SendDatagram)]
