"""Divides the memory of a front among everything that its clients can make it hold. No I/O.

The shares are disjoint, so their sum, and with it the memory of the process, is bounded whatever clients do
at the same time: idle and busy connections, request bodies, streamed answers and file sessions.
"""

from __future__ import annotations

from dataclasses import dataclass

KIBIBYTE = 1024
MEBIBYTE = 1024 * KIBIBYTE

MAX_UNSTREAMED_BYTES = 64 * KIBIBYTE  # longest body that is sent or read as a whole; longer ones are streamed
UNRESERVED_BYTES = MAX_UNSTREAMED_BYTES  # of each request body: not part of the share of long bodies
MAX_UPLOAD_BYTES = 32 * MEBIBYTE + UNRESERVED_BYTES  # longest accepted request body

CLIENT_READ_BYTES = 16 * KIBIBYTE  # most that is read from a client at once
# The answers of slow clients are forwarded in pieces of this size; each connection has the memory for one.
MIN_PIECE_BYTES = 16 * KIBIBYTE
MAX_PIECE_BYTES = 256 * KIBIBYTE  # of an answer whose client keeps up with its backend

_PROCESS_BYTES = 40 * MEBIBYTE  # the interpreter, the modules, the scheduler's and discovery's state
# Objects of a client's connection, its request and its backend connection (10 KiB), and two reads from its
# socket or one piece of its answer.
_CONNECTION_BYTES = 10 * KIBIBYTE + 2 * CLIENT_READ_BYTES
# Of a session of the file service: the command in hand and the next one (66 KiB each, and decoded), its
# reply, and what the client's and the backend's connections buffer.
_FILE_SESSION_BYTES = 512 * KIBIBYTE
_ANSWERS_FRACTION = 1 / 8  # of what clients may occupy beyond the connections themselves
_SHORT_BODIES_FRACTION = 1 / 8
_FILES_FRACTION = 1 / 5
_SHARES = 3  # with such a fraction
_MAX_LONG_BODIES_FRACTION = 0.45  # of the whole memory
_MIN_LONG_BODIES_BYTES = 4 * MEBIBYTE
_HEADROOM_DIVISOR = 4  # of their memory, long bodies leave this part to shorter ones
_MIN_SHARE_BYTES = 1 * MEBIBYTE
_UNLIMITED_SHARE_BYTES = 32 * MEBIBYTE  # of answers and file sessions, if no limit is configured


@dataclass(slots=True, frozen=True)
class MemoryBudget:
    """The bytes that each use may occupy, all clients together."""

    short_bodies: int  # the first ``UNRESERVED_BYTES`` of each request body
    long_bodies: int  # what request bodies hold beyond that
    max_upload: int  # longest accepted request body
    upload_headroom: int  # of ``long_bodies``: what long bodies leave to shorter ones
    answers: int  # streamed answers, beyond ``MIN_PIECE_BYTES`` for each connection, and undelivered answers
    files: int  # handles, uploads, listings and waiting commands of the file service; 0 if it is off

    @classmethod
    def divide(cls, memory_mb: float, clients: int, file_sessions: int) -> MemoryBudget:
        """Divide ``memory_mb``, the limit of the front, 0 if unknown.

        ``clients`` and ``file_sessions``: how many connections the servers accept; no sessions: no file
        service.

        Each share has a least size, without which the front could serve nothing. A limit below the sum of
        these and of the process itself cannot be kept.
        """
        if not memory_mb:
            return cls(
                short_bodies=clients * UNRESERVED_BYTES,
                long_bodies=_MIN_LONG_BODIES_BYTES + MAX_UPLOAD_BYTES,
                max_upload=MAX_UPLOAD_BYTES,
                upload_headroom=_MIN_SHARE_BYTES,
                answers=_UNLIMITED_SHARE_BYTES,
                files=_UNLIMITED_SHARE_BYTES if file_sessions else 0,
            )
        limit = int(memory_mb * MEBIBYTE)
        connections = clients * _CONNECTION_BYTES + file_sessions * _FILE_SESSION_BYTES
        available = max(0, limit - _PROCESS_BYTES - connections)
        answers = _share(available, _ANSWERS_FRACTION)
        short_bodies = _share(available, _SHORT_BODIES_FRACTION)
        files = _share(available, _FILES_FRACTION) if file_sessions else 0
        rest = available - answers - short_bodies - files
        long_bodies = max(_MIN_LONG_BODIES_BYTES, min(rest, int(limit * _MAX_LONG_BODIES_FRACTION)))
        max_upload = min(MAX_UPLOAD_BYTES, long_bodies - _MIN_SHARE_BYTES)
        return cls(
            short_bodies=min(short_bodies, clients * UNRESERVED_BYTES),
            long_bodies=long_bodies,
            max_upload=max_upload,
            upload_headroom=min(long_bodies // _HEADROOM_DIVISOR, long_bodies - max_upload),
            answers=answers,
            files=files,
        )


def _share(available: int, fraction: float) -> int:
    """Return a fraction of the available bytes, or less if the longest upload would not fit beside it."""
    beside_longest_upload = available - MAX_UPLOAD_BYTES - _MIN_SHARE_BYTES
    return max(_MIN_SHARE_BYTES, min(int(available * fraction), beside_longest_upload // _SHARES))
