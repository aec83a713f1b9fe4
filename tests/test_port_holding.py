"""The testbed's ports: held on every address on which a run uses them."""

from __future__ import annotations

import contextlib
import socket
from unittest import mock

from cleatyoke.testbed import peer
from cleatyoke.testbed.fault_relay import FaultRelay

FRONT, RELAY = FaultRelay.host(0), FaultRelay.known_host(0)


def port_in_time_wait(host: str) -> int:
    """A port of a client's connection that it has closed, as fronts close theirs to one another."""
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


def test_a_port_that_a_closed_connection_of_a_front_still_has_is_not_chosen() -> None:
    """Guards against fronts that exit at their start, as their port was taken on their own address only."""
    port = port_in_time_wait(FRONT)
    hold_port = peer.hold_port
    offered = iter([port])

    def offers_it_first(host: str = peer.LOCALHOST, wanted: int = 0) -> socket.socket:
        return hold_port(host, wanted or next(offered, 0))

    with mock.patch.object(peer, "hold_port", offers_it_first), contextlib.ExitStack() as stack:
        held = peer.hold_port_on([peer.LOCALHOST, FRONT, RELAY])
        for one in held:
            stack.enter_context(one)
        [chosen] = {one.getsockname()[1] for one in held}
        assert chosen != port
        for host in (FRONT, RELAY):  # and whoever uses it may listen there
            stack.enter_context(socket.create_server((host, chosen)))
