"""The operators' control address: one line a connection, answered in a thread of its own.

Client load on the event loop never delays an answer: the thread needs the interpreter for microseconds.
It parses, answers and counts; what a call decides is done by the objects that it is given.
"""

from __future__ import annotations

import contextlib
import selectors
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from cleatyoke.config.addresses import Address

MOST_LINE = 512  # bytes of a call
PATIENCE = 4.0  # seconds for the whole line
TICK = 0.1  # seconds between looks for callers that ran out of time
SHOWS = ("show-fleet", "show-replica", "show-recovery")
log = structlog.get_logger()


@dataclass(slots=True)
class ControlCommands:
    """What each call does; each returns whether it is owed a yes, or the lines of its answer."""

    ready: Callable[[], bool]
    figures: Callable[[], list[str]]
    disable: Callable[[str], bool]
    enable: Callable[[str], bool]
    drain: Callable[[], None]
    resume: Callable[[], None]
    fleet: Callable[[], list[str]] | None = None  # the view, where it is on
    shared: Callable[[str, bool], tuple[int, int]] | None = None  # fronts that have it
    replica: Callable[[], list[str]] | None = None  # the copies that fronts keep, where they do
    recovery: Callable[[], list[str]] | None = None  # what the start waits for, or waited for
    config: Callable[[], list[str]] | None = None  # what is in force of distributed configuration


def answer(commands: ControlCommands, line: str) -> list[str]:
    """The answer to one call, line by line."""
    word, _, rest = line.strip().partition(" ")
    argument = rest.strip()
    if word == "show-stat" and not argument:
        return [*commands.figures(), "EOT"]
    if word == "show-config" and not argument:
        show = commands.config
        return [*show(), "EOT"] if show else ["FAILURE no distributed configuration is asked for"]
    shows = dict(zip(SHOWS, (commands.fleet, commands.replica, commands.recovery)))
    if word in SHOWS and not argument:
        show = shows[word]
        return [*show(), "EOT"] if show else ["FAILURE no view of the fleet is kept"]
    if word in ("disable-server", "enable-server"):
        if not argument or " " in argument:
            return [f"FAILURE {word} wants one server id"]
        done = (commands.disable if word == "disable-server" else commands.enable)(argument)
        if not done:
            return [f"FAILURE no server {argument}"]
        if commands.shared:
            having, fronts = commands.shared(argument, word == "disable-server")
            return [f"SUCCESS at {having} of {fronts} fronts"]
        return ["SUCCESS"]
    if argument:
        return [f"FAILURE {word} takes nothing more"]
    if word == "ready":
        return ["SUCCESS" if commands.ready() else "FAILURE not taking clients"]
    if word == "drain":
        commands.drain()
        return ["SUCCESS"]
    if word == "resume":
        commands.resume()
        return ["SUCCESS"]
    return ["FAILURE unknown command"]


class ControlSession:
    __slots__ = ("came", "got", "out", "socket")

    def __init__(self, connection: socket.socket, now: float) -> None:
        self.socket, self.came, self.got, self.out = connection, now, b"", b""


class ControlListener:
    """A listener with blocking sockets and a selector, in a daemon thread."""

    def __init__(self, address: Address, commands: ControlCommands) -> None:
        self.commands = commands
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        self.socket = socket.create_server((address.host, address.port), family=family, backlog=64)
        self.socket.setblocking(False)
        self.address = Address(*self.socket.getsockname()[:2])
        self.callers: dict[int, ControlSession] = {}
        self.stopped = False
        self.faults = 0
        self.thread = threading.Thread(target=self.serve, name="ops", daemon=True)

    def start(self) -> None:
        self.thread.start()

    def stop(self) -> None:
        self.stopped = True
        self.thread.join(1.0)

    def serve(self) -> None:
        with selectors.DefaultSelector() as selector:
            self.selector = selector
            selector.register(self.socket, selectors.EVENT_READ)
            while not self.stopped:
                for key, events in selector.select(TICK):
                    if key.fileobj is self.socket:
                        self.accept()
                    elif caller := self.callers.get(key.fd):
                        self.turn(caller, events)
                now = time.monotonic()
                for caller in [one for one in self.callers.values() if now - one.came > PATIENCE]:
                    self.fault(caller, "silent", "FAILURE no whole line in time")
            for caller in list(self.callers.values()):
                self.close(caller)
        self.socket.close()

    def accept(self) -> None:
        for _ in range(16):
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            connection.setblocking(False)
            caller = ControlSession(connection, time.monotonic())
            self.callers[connection.fileno()] = caller
            self.selector.register(connection, selectors.EVENT_READ)

    def turn(self, caller: ControlSession, events: int) -> None:
        if events & selectors.EVENT_WRITE:
            return self.send(caller)
        try:
            data = caller.socket.recv(MOST_LINE + 1)
        except OSError:
            return self.close(caller)
        if not data:
            return self.fault(caller, "half", None)
        caller.got += data
        line, newline, _ = caller.got.partition(b"\n")
        if not newline:
            if len(caller.got) > MOST_LINE:
                self.fault(caller, "too_long", "FAILURE line too long")
            return None
        try:
            text = line.decode("ascii").rstrip("\r")
        except UnicodeDecodeError:
            return self.fault(caller, "unreadable", "FAILURE unreadable line")
        try:
            lines = answer(self.commands, text)
        except Exception:  # guards the other callers
            log.exception("ops_fault", call=text[:64])
            lines = ["FAILURE internal fault"]
        if lines[0].startswith("FAILURE"):
            log.info("ops_refused", call=text[:64], answer=lines[0])
        caller.out = "".join(f"{one}\n" for one in lines).encode()
        self.selector.modify(caller.socket, selectors.EVENT_WRITE)
        self.send(caller)
        return None

    def send(self, caller: ControlSession) -> None:
        try:
            sent = caller.socket.send(caller.out)
        except BlockingIOError:
            return None
        except OSError:
            return self.close(caller)
        caller.out = caller.out[sent:]
        if not caller.out:
            self.close(caller)

    def fault(self, caller: ControlSession, why: str, word: str | None) -> None:
        self.faults += 1
        log.info("ops_bad_call", why=why)
        with contextlib.suppress(OSError):
            if word:
                caller.socket.send(f"{word}\n".encode())
            caller.socket.shutdown(socket.SHUT_WR)
            for _ in range(64):  # what is left unread would make the close a reset, and lose the answer
                if not caller.socket.recv(4096):
                    break
        self.close(caller)

    def close(self, caller: ControlSession) -> None:
        self.callers.pop(caller.socket.fileno(), None)
        with contextlib.suppress(KeyError, ValueError):
            self.selector.unregister(caller.socket)
        caller.socket.close()
