"""The operators' control listener: one command per connection, served by a thread beside the event loop.

Client load on the event loop never delays an answer, as the thread needs the interpreter for microseconds.
In a fleet, a hold or a release waits for the other fronts (``HOLD_REPORT_TIMEOUT``, 0.5 s at most), and
blocks all other callers meanwhile.
This module parses commands and formats the answers; the functions in ``ControlCommands`` carry them out.
"""

from __future__ import annotations

import contextlib
import selectors
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

import structlog

from cleatyoke.config.addresses import Address

MAX_LINE_BYTES = 512  # of a command, without its newline
SESSION_TIMEOUT = 4.0  # seconds for a whole connection, the answer included
POLL_INTERVAL = 0.1  # seconds between checks for connections that exceeded SESSION_TIMEOUT
MAX_ACCEPTED_AT_ONCE = 16  # connections accepted before existing ones are served again
MAX_DISCARDED_CHUNKS = 64  # chunks of 4096 bytes that are discarded before a rejected connection is closed
SUCCESS = "SUCCESS"
END_OF_ANSWER = "EOT"  # ends an answer of several lines
log = structlog.get_logger()


class FrontConfirmations(NamedTuple):
    """How many of the fleet's fronts have confirmed a hold or a release."""

    confirmed: int
    front_count: int


@dataclass(slots=True)
class ControlCommands:
    """The functions that carry out the commands; called in the listener's thread.

    ``disable`` and ``enable`` return whether the server id is known. ``show_*`` functions return the lines of
    the answer, and are ``None`` where the component that they report on is disabled.
    """

    is_ready: Callable[[], bool]
    show_stat: Callable[[], list[str]]
    disable: Callable[[str], bool]
    enable: Callable[[str], bool]
    drain: Callable[[], None]
    resume: Callable[[], None]
    show_fleet: Callable[[], list[str]] | None = None  # the fleet view
    wait_for_fronts: Callable[[str, bool], FrontConfirmations] | None = None  # waits for the other fronts
    show_replica: Callable[[], list[str]] | None = None  # the replicated holds
    show_recovery: Callable[[], list[str]] | None = None  # the start-up stages, waited for and passed
    show_config: Callable[[], list[str]] | None = None  # the distributed configuration in force


def answer_command(commands: ControlCommands, line: str) -> list[str]:
    """Carry out one command and return the lines of its answer."""
    name, _, rest = line.strip().partition(" ")
    argument = rest.strip()
    if name in ("disable-server", "enable-server"):
        return _answer_hold(commands, name, argument)
    if name in ("show-stat", "show-config", "show-fleet", "show-replica", "show-recovery") and not argument:
        return _answer_show(commands, name)
    if argument:
        return [f"FAILURE {name} takes nothing more"]
    if name == "ready":
        return [SUCCESS if commands.is_ready() else "FAILURE not taking clients"]
    if name in ("drain", "resume"):
        action = commands.drain if name == "drain" else commands.resume
        action()
        return [SUCCESS]
    return ["FAILURE unknown command"]


def _answer_show(commands: ControlCommands, name: str) -> list[str]:
    status_lines = {
        "show-stat": commands.show_stat,
        "show-config": commands.show_config,
        "show-fleet": commands.show_fleet,
        "show-replica": commands.show_replica,
        "show-recovery": commands.show_recovery,
    }[name]
    if status_lines:
        return [*status_lines(), END_OF_ANSWER]
    if name == "show-config":
        return ["FAILURE no distributed configuration is asked for"]
    return ["FAILURE no view of the fleet is kept"]


def _answer_hold(commands: ControlCommands, name: str, server_id: str) -> list[str]:
    if not server_id or " " in server_id:
        return [f"FAILURE {name} wants one server id"]
    is_hold = name == "disable-server"
    action = commands.disable if is_hold else commands.enable
    if not action(server_id):
        return [f"FAILURE no server {server_id}"]
    if commands.wait_for_fronts:
        confirmed, front_count = commands.wait_for_fronts(server_id, is_hold)
        return [f"{SUCCESS} at {confirmed} of {front_count} fronts"]
    return [SUCCESS]


class ControlSession:
    """One operator's connection."""

    __slots__ = ("opened_at", "received", "socket", "unsent")

    def __init__(self, connection: socket.socket, now: float) -> None:
        self.socket = connection
        self.opened_at = now
        self.received = b""
        self.unsent = b""


class ControlListener:
    """Serves operators' connections with non-blocking sockets and a selector, in a daemon thread.

    Connections that stall or send garbage get ``FAILURE`` and never delay another one. A command that waits
    for the other fronts (``wait_for_fronts``) does delay them, since one thread serves all connections.
    """

    def __init__(self, address: Address, commands: ControlCommands) -> None:
        """Bind the address; raises ``OSError``."""
        self.commands = commands
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        self.socket = socket.create_server((address.host, address.port), family=family, backlog=64)
        self.socket.setblocking(False)
        self.address = Address(*self.socket.getsockname()[:2])
        self._sessions: dict[int, ControlSession] = {}  # by file descriptor
        self._stopped = False
        self._thread = threading.Thread(target=self._serve, name="ops", daemon=True)

    def start(self) -> None:
        """Start the thread that serves connections."""
        self._thread.start()

    def stop(self) -> None:
        """Close every connection; return once the thread has ended, or after 1 s."""
        self._stopped = True
        self._thread.join(1.0)

    def _serve(self) -> None:
        with selectors.DefaultSelector() as selector:
            self.selector = selector
            selector.register(self.socket, selectors.EVENT_READ)
            while not self._stopped:
                for key, events in selector.select(POLL_INTERVAL):
                    if key.fileobj is self.socket:
                        self._accept()
                    elif session := self._sessions.get(key.fd):
                        self._on_ready(session, events)
                self._reject_expired_sessions()
            for session in list(self._sessions.values()):
                self._close(session)
        self.socket.close()

    def _reject_expired_sessions(self) -> None:
        now = time.monotonic()
        for session in list(self._sessions.values()):
            if now - session.opened_at > SESSION_TIMEOUT:
                self._reject(session, "silent", "FAILURE no whole line in time")

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTED_AT_ONCE):
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            connection.setblocking(False)
            session = ControlSession(connection, time.monotonic())
            self._sessions[connection.fileno()] = session
            self.selector.register(connection, selectors.EVENT_READ)

    def _on_ready(self, session: ControlSession, events: int) -> None:
        if events & selectors.EVENT_WRITE:
            self._send(session)
        else:
            self._receive(session)

    def _receive(self, session: ControlSession) -> None:
        try:
            data = session.socket.recv(MAX_LINE_BYTES + 1)
        except OSError:
            self._close(session)
            return
        if not data:
            self._reject(session, "closed_early", None)
            return
        session.received += data
        line, newline, _ = session.received.partition(b"\n")
        if newline:
            self._receive_line(session, line)
        elif len(session.received) > MAX_LINE_BYTES:
            self._reject(session, "too_long", "FAILURE line too long")

    def _receive_line(self, session: ControlSession, line: bytes) -> None:
        try:
            text = line.decode("ascii").rstrip("\r")
        except UnicodeDecodeError:
            self._reject(session, "unreadable", "FAILURE unreadable line")
            return
        lines = self._answer(text)
        session.unsent = "".join(f"{text_line}\n" for text_line in lines).encode()
        self.selector.modify(session.socket, selectors.EVENT_WRITE)
        self._send(session)

    def _answer(self, text: str) -> list[str]:
        try:
            lines = answer_command(self.commands, text)
        except Exception:  # a faulty command must not end the thread that serves all connections
            log.exception("ops_fault", command=text[:64])
            lines = ["FAILURE internal fault"]
        if lines[0].startswith("FAILURE"):
            log.info("ops_command_failed", command=text[:64], answer=lines[0])
        return lines

    def _send(self, session: ControlSession) -> None:
        try:
            sent = session.socket.send(session.unsent)
        except BlockingIOError:
            return
        except OSError:
            self._close(session)
            return
        session.unsent = session.unsent[sent:]
        if not session.unsent:
            self._close(session)

    def _reject(self, session: ControlSession, reason: str, answer: str | None) -> None:
        log.info("ops_connection_rejected", reason=reason)
        with contextlib.suppress(OSError):
            if answer:
                session.socket.send(f"{answer}\n".encode())
            session.socket.shutdown(socket.SHUT_WR)
            # Closing a socket with unread bytes sends a reset, and the peer may then lose the answer.
            for _ in range(MAX_DISCARDED_CHUNKS):
                if not session.socket.recv(4096):
                    break
        self._close(session)

    def _close(self, session: ControlSession) -> None:
        self._sessions.pop(session.socket.fileno(), None)
        with contextlib.suppress(KeyError, ValueError):
            self.selector.unregister(session.socket)
        session.socket.close()
