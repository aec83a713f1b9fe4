"""The operators' control listener: one command a connection, all in one thread beside the event loop.

Client load on the event loop never delays an answer, as the thread needs the interpreter for microseconds.
A hold or a release in a fleet waits for the other fronts (``HOLD_REPORT_TIMEOUT``, 0.5 s at most), and all
other callers wait with it.
The module parses commands and words the answers; what a command does is done by the functions it is given.
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

MAX_LINE_BYTES = 512  # of a command
SESSION_TIMEOUT = 4.0  # seconds for a whole call, its answer included
POLL_INTERVAL = 0.1  # seconds between checks for callers that exceeded it
MAX_ACCEPTED_AT_ONCE = 16  # connections, before other callers are served
MAX_UNREAD_CHUNKS = 64  # of 4096 bytes, that are read and dropped before a rejected caller is closed
SUCCESS = "SUCCESS"
LAST_LINE = "EOT"  # of an answer of several lines
log = structlog.get_logger()


class FrontsHolding(NamedTuple):
    """How many of the fleet's fronts have applied a hold or a release."""

    confirmed: int
    front_count: int


@dataclass(slots=True)
class ControlCommands:
    """What each command does. Called in the listener's thread.

    ``disable`` and ``enable`` return whether the server id is known. ``show_`` functions return the lines of
    the answer; ``None``: the part that the command shows is off.
    """

    is_ready: Callable[[], bool]
    show_stat: Callable[[], list[str]]
    disable: Callable[[str], bool]
    enable: Callable[[str], bool]
    drain: Callable[[], None]
    resume: Callable[[], None]
    show_fleet: Callable[[], list[str]] | None = None  # the fleet view
    fronts_holding: Callable[[str, bool], FrontsHolding] | None = None  # waits for the other fronts
    show_replica: Callable[[], list[str]] | None = None  # the replicated holds
    show_recovery: Callable[[], list[str]] | None = None  # what the start waits for, or waited for
    show_config: Callable[[], list[str]] | None = None  # the distributed configuration in force


def answer_command(commands: ControlCommands, line: str) -> list[str]:
    """Carry out one command and return the lines of its answer, in the operations page's words."""
    word, _, rest = line.strip().partition(" ")
    argument = rest.strip()
    if word in ("disable-server", "enable-server"):
        return _answer_hold(commands, word, argument)
    if word in ("show-stat", "show-config", "show-fleet", "show-replica", "show-recovery") and not argument:
        return _answer_show(commands, word)
    if argument:
        return [f"FAILURE {word} takes nothing more"]
    if word == "ready":
        return [SUCCESS if commands.is_ready() else "FAILURE not taking clients"]
    if word in ("drain", "resume"):
        act = commands.drain if word == "drain" else commands.resume
        act()
        return [SUCCESS]
    return ["FAILURE unknown command"]


def _answer_show(commands: ControlCommands, word: str) -> list[str]:
    show = {
        "show-stat": commands.show_stat,
        "show-config": commands.show_config,
        "show-fleet": commands.show_fleet,
        "show-replica": commands.show_replica,
        "show-recovery": commands.show_recovery,
    }[word]
    if show:
        return [*show(), LAST_LINE]
    if word == "show-config":
        return ["FAILURE no distributed configuration is asked for"]
    return ["FAILURE no view of the fleet is kept"]


def _answer_hold(commands: ControlCommands, word: str, server_id: str) -> list[str]:
    if not server_id or " " in server_id:
        return [f"FAILURE {word} wants one server id"]
    is_hold = word == "disable-server"
    act = commands.disable if is_hold else commands.enable
    if not act(server_id):
        return [f"FAILURE no server {server_id}"]
    if commands.fronts_holding:
        confirmed, front_count = commands.fronts_holding(server_id, is_hold)
        return [f"{SUCCESS} at {confirmed} of {front_count} fronts"]
    return [SUCCESS]


class ControlSession:
    """One caller's connection."""

    __slots__ = ("opened_at", "received", "socket", "unsent")

    def __init__(self, connection: socket.socket, now: float) -> None:
        self.socket = connection
        self.opened_at = now
        self.received = b""
        self.unsent = b""


class ControlListener:
    """Serves callers with non-blocking sockets and a selector, in a daemon thread.

    Callers that stall or send garbage get ``FAILURE`` and never delay another one. A command that waits
    for the other fronts (``fronts_holding``) does: one thread serves all callers.
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
        """Serve from now on."""
        self._thread.start()

    def stop(self) -> None:
        """Close every connection; returns when the thread has ended, or after 1 s."""
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
                        self._handle(session, events)
                self._reject_overdue_sessions()
            for session in list(self._sessions.values()):
                self._close(session)
        self.socket.close()

    def _reject_overdue_sessions(self) -> None:
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

    def _handle(self, session: ControlSession, events: int) -> None:
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
            self._reject(session, "half", None)
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
        session.unsent = "".join(f"{one}\n" for one in lines).encode()
        self.selector.modify(session.socket, selectors.EVENT_WRITE)
        self._send(session)

    def _answer(self, text: str) -> list[str]:
        try:
            lines = answer_command(self.commands, text)
        except Exception:  # an exception in one command must not end the thread that serves the others
            log.exception("ops_fault", call=text[:64])
            lines = ["FAILURE internal fault"]
        if lines[0].startswith("FAILURE"):
            log.info("ops_refused", call=text[:64], answer=lines[0])
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
        log.info("ops_bad_call", why=reason)
        with contextlib.suppress(OSError):
            if answer:
                session.socket.send(f"{answer}\n".encode())
            session.socket.shutdown(socket.SHUT_WR)
            for _ in range(
                MAX_UNREAD_CHUNKS
            ):  # unread bytes would make the close a reset and lose the answer
                if not session.socket.recv(4096):
                    break
        self._close(session)

    def _close(self, session: ControlSession) -> None:
        self._sessions.pop(session.socket.fileno(), None)
        with contextlib.suppress(KeyError, ValueError):
            self.selector.unregister(session.socket)
        session.socket.close()
