"""The control listener: commands, answers, and connections that stall or send garbage."""

from __future__ import annotations

import socket
import time

from cleatyoke.admin.control import ControlCommands, ControlListener, answer_command
from cleatyoke.config.addresses import Address


def control_commands(**changes: object) -> ControlCommands:
    held: set[str] = set()
    base = {
        "is_ready": lambda: True,
        "show_stat": lambda: ["front.inflight=0"],
        "disable": lambda name: name == "s-a" and not held.add(name),
        "enable": lambda name: name == "s-a",
        "drain": lambda: None,
        "resume": lambda: None,
    }
    return ControlCommands(**{**base, **changes})  # type: ignore[arg-type]


def test_each_command_gets_its_answer() -> None:
    commands = control_commands()
    assert answer_command(commands, "ready") == ["SUCCESS"]
    assert answer_command(commands, "show-stat\r") == ["front.inflight=0", "EOT"]
    assert answer_command(commands, "disable-server s-a") == ["SUCCESS"]
    assert answer_command(commands, "disable-server s-zz")[0].startswith("FAILURE")
    assert answer_command(commands, "disable-server")[0].startswith("FAILURE")
    assert answer_command(commands, "ready now")[0].startswith("FAILURE")
    assert answer_command(commands, "reboot")[0].startswith("FAILURE")
    assert answer_command(control_commands(is_ready=lambda: False), "ready")[0][:7] == "FAILURE"


def send_command(port: int, data: bytes, timeout: float = 6.0) -> bytes:
    with socket.create_connection(("127.0.0.1", port), timeout=timeout) as connection:
        connection.sendall(data)
        answer = b""
        while chunk := connection.recv(4096):
            answer += chunk
        return answer


def test_connections_that_stall_or_send_garbage_do_not_delay_others() -> None:
    """20 connections send no complete line, one sends garbage, another an overlong line.

    Other connections must be answered within 1 s meanwhile; the stalled ones get ``FAILURE`` after 4 s.
    """
    listener = ControlListener(Address("127.0.0.1", 0), control_commands())
    listener.start()
    port = listener.address.port
    try:
        stalled = [socket.create_connection(("127.0.0.1", port)) for _ in range(20)]
        stalled[0].sendall(b"read")  # half a command
        started_at = time.monotonic()
        assert send_command(port, b"ready\n") == b"SUCCESS\n"
        assert send_command(port, b"show-stat\n") == b"front.inflight=0\nEOT\n"
        assert send_command(port, b"x" * 600).startswith(b"FAILURE")
        assert send_command(port, b"\xff\xfe\n").startswith(b"FAILURE")
        assert time.monotonic() - started_at < 1.0
        stalled[1].settimeout(6.0)
        assert stalled[1].recv(100).startswith(b"FAILURE")  # after 4 s without a line
        assert time.monotonic() - started_at > 3.9
        for connection in stalled:
            connection.close()
    finally:
        listener.stop()
