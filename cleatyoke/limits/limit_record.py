"""What one process of a front tells the others about its use of their common limits. No I/O, no clock.

An upgrade runs two processes of a front under one limit on memory and one on sockets. A new process reads
these records before it imports anything else, so this module imports nothing.
"""

from __future__ import annotations


class LimitRecord:
    """The use of one process. Sizes are in bytes; ``started`` is in ticks of the system's clock since boot.

    A record of zeros is that of a process that tells nothing: an older release, or one that starts alone.
    """

    def __init__(self, pid: int, started: int = 0) -> None:
        self.pid = pid
        self.started = started  # tells a process from a later one with the same id; 0 if unknown
        self.waiting = 0  # 1: it has imported nothing yet, and waits until the others leave room for it
        self.memory_limit = 0  # of all processes together; 0 if there is none
        self.memory = 0  # that it may take
        self.process = 0  # that is its own and taken before it serves, as by the next process
        self.sockets = 0  # that it may hold
        self.is_marked = False  # it is past its imports; not part of the encoded record

    def encode(self) -> str:
        """Return the record as one line."""
        return (
            f"started={self.started} waiting={self.waiting} memory_limit={self.memory_limit} "
            f"memory={self.memory} process={self.process} sockets={self.sockets}\n"
        )

    @classmethod
    def decode(cls, pid: int, text: str) -> LimitRecord:
        """Read a line; fields that are unknown or malformed are skipped."""
        record = cls(pid)
        for field in text.split():
            name, _, value = field.partition("=")
            if name in _FIELDS and value.isascii() and value.isdecimal():
                setattr(record, name, int(value))
        return record


_FIELDS = ("started", "waiting", "memory_limit", "memory", "process", "sockets")
