"""The testbed reserves a port on every address on which a run uses it."""

from __future__ import annotations

import contextlib
import socket
from unittest import mock

from cleatyoke.testbed import peer
from cleatyoke.testbed.fault_relay import FaultRelay

FRONT, RELAY = FaultRelay.host(0), FaultRelay.relay_host(0)


def port_in_time_wait(host: str) -> int:
    """Return a client port in TIME_WAIT, as connections that a front has closed to another leave it."""
    with socket.create_server((RELAY, 0)) as server, socket.socket() as client:
        client.bind((host, 0))
        port = int(client.getsockname()[1])
        client.connect(server.getsockname())
        accepted, _ = server.accept()
        client.shutdown(socket.SHUT_WR)
        accepted.recv(1)
        accepted.close()
        client.recv(1)
    return port


def test_port_in_time_wait_on_a_front_address_is_not_chosen() -> None:
    """Guards against fronts that exit at their start as their port was in use on their own address only."""
    port = port_in_time_wait(FRONT)
    hold_port = peer.hold_port
    candidates = iter([port])

    def offer_used_port_first(host: str = peer.LOCALHOST, wanted: int = 0) -> socket.socket:
        return hold_port(host, wanted or next(candidates, 0))

    with mock.patch.object(peer, "hold_port", offer_used_port_first), contextlib.ExitStack() as stack:
        reservations = peer.hold_port_on([peer.LOCALHOST, FRONT, RELAY])
        for reservation in reservations:
            stack.enter_context(reservation)
        [chosen] = {reservation.getsockname()[1] for reservation in reservations}
        assert chosen != port
        for host in (FRONT, RELAY):  # a front or relay can listen there
            stack.enter_context(socket.create_server((host, chosen)))
