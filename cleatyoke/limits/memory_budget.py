"""Divides the memory of a front among everything that its clients can make it hold. No I/O.

The shares are disjoint, so their sum, and with it the memory of the process, is bounded whatever clients do
at the same time: connections, the requests that are served at once, their heads and bodies, streamed answers
and file sessions. Where descriptors allow more connections than there is memory for, memory decides.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

KIBIBYTE = 1024
MEBIBYTE = 1024 * KIBIBYTE

MAX_UNSTREAMED_BYTES = 64 * KIBIBYTE  # longest body that is sent or read as a whole; longer ones are streamed
UNRESERVED_BYTES = MAX_UNSTREAMED_BYTES  # of each request body: not part of the share of long bodies
MAX_UPLOAD_BYTES = 32 * MEBIBYTE + UNRESERVED_BYTES  # longest accepted request body

HEAD_READ_BYTES = 4 * KIBIBYTE  # most that is read at once from a client without an open request
CLIENT_READ_BYTES = 16 * KIBIBYTE  # most that is read of a body at once
VOLUME_BYTES = 2 * KIBIBYTE  # a volume's record in the scheduler, with buckets for a dozen nodes
FREE_HEAD_BYTES = 1 * KIBIBYTE  # of each head: not part of ``MemoryBudget.heads``
# The answers of slow clients are forwarded in pieces of this size; each open request has the memory for one.
MIN_PIECE_BYTES = 4 * KIBIBYTE
MAX_PIECE_BYTES = 256 * KIBIBYTE  # of an answer whose client keeps up with its backend

DEFAULT_PROCESS_BYTES = 30 * MEBIBYTE  # the interpreter and the modules, if they cannot be measured
STATE_BYTES = 1 * MEBIBYTE  # the scheduler's and discovery's state
# A client's connection that is silent or whose head is arriving (6 KiB), and the last request's objects of
# those that are idle.
CONNECTION_BYTES = 7 * KIBIBYTE
# An open request's objects (10 KiB) and its backend connection with the parser of its answer (6 KiB).
OPEN_REQUEST_BYTES = 16 * KIBIBYTE
OPEN_SHORT_BODY_BYTES = CLIENT_READ_BYTES  # beyond that: what has been read and has no memory reserved yet
# The same of a long body, which may be chunked: aiohttp decodes up to 512 chunks ahead, at least of one byte
# each (45 KiB), and keeps the rest of the last read.
OPEN_LONG_BODY_BYTES = 64 * KIBIBYTE
_IDLE_CLIENTS_FRACTION = 0.4  # of the connections
_STREAMS_FRACTION = 0.75  # of the open requests: the others are left to short answers
_SHORT_BODIES_DIVISOR = 3  # this part of the open requests may have short bodies
# Of a session of the file service: the command in hand and the next one (66 KiB each, and decoded), its
# reply, and what the client's and the backend's connections buffer.
FILE_SESSION_BYTES = 512 * KIBIBYTE

# Of what the limit leaves beside the process:
_CONNECTIONS_FRACTION = 0.23
_OPEN_REQUESTS_FRACTION = 0.3
_LONG_BODY_READS_FRACTION = 0.08
_RESPONSE_READS_FRACTION = 0.08
_VOLUMES_FRACTION = 0.05
_MAX_VOLUMES = 16 * 1024
_TRACE_IDS_FRACTION = 0.015
_MIN_TRACE_IDS_BYTES = 16 * KIBIBYTE  # 1,024 ids
_MAX_TRACE_IDS_BYTES = 512 * KIBIBYTE
_FILE_SESSIONS_FRACTION = 0.15
# Of the rest, but less where the longest upload would not fit beside them:
_HEADS_FRACTION = 1 / 12
_ANSWERS_FRACTION = 1 / 6
_SHORT_BODIES_FRACTION = 1 / 6
_FILES_FRACTION = 1 / 5
_SHARES = 4  # with such a fraction
_MAX_LONG_BODIES_FRACTION = 0.45  # of the whole memory
_HEADROOM_DIVISOR = 4  # of their memory, long bodies leave this part to shorter ones
_MIN_UPLOAD_HEADROOM = 1 * MEBIBYTE  # beside the longest upload, if the memory suffices for it

# Least sizes, without which a front could serve nothing.
_MIN_CONNECTIONS = 64
_MIN_OPEN_REQUESTS = 16
_MIN_OPEN_BODIES = 2
_MIN_VOLUMES = 64
_MIN_SHARE_BYTES = 72 * KIBIBYTE
_MIN_LONG_BODIES_BYTES = 224 * KIBIBYTE
_UNLIMITED_SHARE_BYTES = 32 * MEBIBYTE  # if no limit is configured


@dataclass(slots=True, frozen=True)
class MemoryBudget:
    """The connections and requests that may be open, and the bytes that each use may occupy, all together."""

    process: int  # the interpreter, the modules and the state
    clients: int  # connections of clients
    idle_clients: int  # those of them that are kept after an answer
    open_requests: int  # requests whose head has been read and whose answer has not been delivered
    open_short_bodies: int  # those of them with a short body
    open_long_bodies: int  # those of them with a long body, or one of unknown length
    file_sessions: int
    response_read_bytes: int  # most that is read at once of an answer that is not streamed yet
    volumes: int  # records of volumes that the scheduler keeps
    trace_ids: int  # bytes of the table of sent requests' ids, and of the file that two processes share
    heads: int  # request heads beyond ``FREE_HEAD_BYTES`` each, and what has been read behind them
    short_bodies: int  # the first ``UNRESERVED_BYTES`` of each request body
    long_bodies: int  # what request bodies hold beyond that
    max_upload: int  # longest accepted request body
    upload_headroom: int  # of ``long_bodies``: what long bodies leave to shorter ones
    answers: int  # streamed answers beyond ``MIN_PIECE_BYTES`` for each request, and undelivered answers
    files: int  # handles, uploads, listings and waiting commands of the file service; 0 if it is off

    def max_streams(self) -> int:
        """Return how many of the open requests may have an answer that is forwarded as it arrives.

        All of them, if each connection may have an open request: then none is kept from another client.
        """
        if self.open_requests >= self.clients:
            return self.open_requests
        return max(1, int(self.open_requests * _STREAMS_FRACTION))

    def counted_bytes(self) -> int:
        """Return what the process, the connections, the open requests and the file sessions take."""
        return (
            self.process
            + self.clients * CONNECTION_BYTES
            + self.open_requests * (OPEN_REQUEST_BYTES + self.response_read_bytes)
            + self.open_short_bodies * OPEN_SHORT_BODY_BYTES
            + self.open_long_bodies * OPEN_LONG_BODY_BYTES
            + self.file_sessions * FILE_SESSION_BYTES
            + self.volumes * VOLUME_BYTES
            + 2 * self.trace_ids
        )

    def total_bytes(self) -> int:
        """Return what the process holds at most, itself included."""
        pools = self.heads + self.short_bodies + self.long_bodies + self.answers + self.files
        return self.counted_bytes() + pools

    @classmethod
    def divide(
        cls,
        memory_mb: float,
        clients: int,
        file_sessions: int,
        process_bytes: int = DEFAULT_PROCESS_BYTES,
    ) -> MemoryBudget:
        """Divide ``memory_mb``, the limit of the front, 0 if unknown.

        ``clients`` and ``file_sessions``: how many connections of each kind the descriptors allow; no
        sessions: no file service. ``process_bytes``: what the process takes before it serves. Each share has
        a least size, without which the front could serve nothing: a limit below the sum of these,
        ``total_bytes``, cannot be kept.
        """
        if not memory_mb:
            return cls._unlimited(clients, file_sessions)
        limit = int(memory_mb * MEBIBYTE)
        counted = cls._count_objects(limit, process_bytes + STATE_BYTES, clients, file_sessions)
        rest = max(0, limit - counted.counted_bytes())
        heads = _share(rest, _HEADS_FRACTION)
        answers = _share(rest, _ANSWERS_FRACTION)
        short_bodies = min(_share(rest, _SHORT_BODIES_FRACTION), counted.clients * UNRESERVED_BYTES)
        files = _share(rest, _FILES_FRACTION) if counted.file_sessions else 0
        left = rest - heads - answers - short_bodies - files
        long_bodies = max(_MIN_LONG_BODIES_BYTES, min(left, int(limit * _MAX_LONG_BODIES_FRACTION)))
        headroom = min(_MIN_UPLOAD_HEADROOM, long_bodies // _HEADROOM_DIVISOR)
        max_upload = min(MAX_UPLOAD_BYTES, long_bodies - headroom)
        return replace(
            counted,
            heads=heads,
            short_bodies=short_bodies,
            long_bodies=long_bodies,
            max_upload=max_upload,
            upload_headroom=min(long_bodies // _HEADROOM_DIVISOR, long_bodies - max_upload),
            answers=answers,
            files=files,
        )

    @classmethod
    def _count_objects(cls, limit: int, process: int, clients: int, file_sessions: int) -> MemoryBudget:
        """Return how many connections and requests may be open beside the process, with empty pools."""
        room = max(0, limit - process)
        clients = min(clients, _count(room * _CONNECTIONS_FRACTION, CONNECTION_BYTES, _MIN_CONNECTIONS))
        request_bytes = OPEN_REQUEST_BYTES + OPEN_SHORT_BODY_BYTES // _SHORT_BODIES_DIVISOR
        most_requests = _count(room * _OPEN_REQUESTS_FRACTION, request_bytes, _MIN_OPEN_REQUESTS)
        open_requests = min(clients, most_requests)
        short_bodies = open_requests // _SHORT_BODIES_DIVISOR
        most_bodies = _count(room * _LONG_BODY_READS_FRACTION, OPEN_LONG_BODY_BYTES, _MIN_OPEN_BODIES)
        reads = int(room * _RESPONSE_READS_FRACTION) // open_requests
        most_sessions = _count(room * _FILE_SESSIONS_FRACTION, FILE_SESSION_BYTES, 1)
        return cls(
            process=process,
            clients=clients,
            idle_clients=int(clients * _IDLE_CLIENTS_FRACTION),
            open_requests=open_requests,
            open_short_bodies=short_bodies,
            open_long_bodies=min(short_bodies, most_bodies),
            file_sessions=min(file_sessions, most_sessions),
            response_read_bytes=max(MIN_PIECE_BYTES, min(MAX_UNSTREAMED_BYTES, reads)),
            volumes=min(_MAX_VOLUMES, _count(room * _VOLUMES_FRACTION, VOLUME_BYTES, _MIN_VOLUMES)),
            trace_ids=min(_MAX_TRACE_IDS_BYTES, max(_MIN_TRACE_IDS_BYTES, int(room * _TRACE_IDS_FRACTION))),
            heads=0,
            short_bodies=0,
            long_bodies=0,
            max_upload=0,
            upload_headroom=0,
            answers=0,
            files=0,
        )

    @classmethod
    def _unlimited(cls, clients: int, file_sessions: int) -> MemoryBudget:
        return cls(
            process=DEFAULT_PROCESS_BYTES,
            clients=clients,
            idle_clients=clients,
            open_requests=clients,
            open_short_bodies=clients,
            open_long_bodies=clients,
            file_sessions=file_sessions,
            response_read_bytes=MAX_UNSTREAMED_BYTES,
            volumes=_MAX_VOLUMES,
            trace_ids=_MAX_TRACE_IDS_BYTES,
            heads=_UNLIMITED_SHARE_BYTES,
            short_bodies=clients * UNRESERVED_BYTES,
            long_bodies=MAX_UPLOAD_BYTES + 4 * _MIN_UPLOAD_HEADROOM,
            max_upload=MAX_UPLOAD_BYTES,
            upload_headroom=_MIN_UPLOAD_HEADROOM,
            answers=_UNLIMITED_SHARE_BYTES,
            files=_UNLIMITED_SHARE_BYTES if file_sessions else 0,
        )


def _count(available: float, size: int, least: int) -> int:
    """Return how many objects of ``size`` bytes fit, at least ``least``."""
    return max(least, int(available) // size)


def _share(available: int, fraction: float) -> int:
    """Return a fraction of the available bytes, or less if the longest upload would not fit beside it."""
    beside_longest_upload = available - MAX_UPLOAD_BYTES - _MIN_UPLOAD_HEADROOM
    size = int(available * fraction)
    if beside_longest_upload >= _SHARES * _MIN_SHARE_BYTES:
        size = min(size, beside_longest_upload // _SHARES)
    return max(_MIN_SHARE_BYTES, size)
