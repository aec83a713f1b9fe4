"""The body of a long answer, delivered piece by piece to a receiver that sets the pace."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

import structlog

from cleatyoke.http.answers import BackendResponse
from cleatyoke.http.messages import MalformedResponseError
from cleatyoke.http.response_wait import ResponseWait, StreamReason
from cleatyoke.limits.memory_budget import MAX_UNSTREAMED_BYTES
from cleatyoke.transport.sockets import limit_read_size

STREAM_IDLE_TIMEOUT = 10.0  # seconds without a byte from the backend after which a streamed body fails
log = structlog.get_logger()


class BodyReceiver(Protocol):
    """Receives a streamed body; the calls are made from the event loop and must not block."""

    def receive_piece(self, piece: bytes) -> None:
        """Take the next bytes; the receiver pauses the body if it cannot take more."""

    def receive_end(self, error: MalformedResponseError | None) -> None:
        """Note the end of the body, or why it is truncated; called once."""


class StreamedBody:
    """The body of a long response, read from ``transport`` as its receiver permits.

    Nothing is read before ``start``, and while the body is paused. Beyond the first piece, which came with
    the head, nothing is buffered here: each piece is passed on as it is received. The owner must close the
    body. One of up to ``MAX_UNSTREAMED_BYTES`` so far that is not complete at ``wait.answer_due_at`` fails,
    unless ``wait`` judges that it may be long; a long one fails if the backend sends nothing for
    ``STREAM_IDLE_TIMEOUT`` seconds. A body that is not started in that time fails and closes itself, so that
    its connection is not leaked. ``reason``: why it is streamed, for the log.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        response: BackendResponse,
        wait: ResponseWait,
        reason: StreamReason,
        on_detach: Callable[[], None],
    ) -> None:
        self.length = response.length  # bytes; None if unknown until the end
        self.on_close: Callable[[bool], None] | None = None  # called with whether the connection is reusable
        self._transport = transport
        self._first_piece = response.body
        self._received = len(response.body)  # bytes
        self._is_long = False  # known to be
        self._outlasts_deadline = False  # it may end after ``answer_due_at``
        self._wait = wait
        self._reason = reason
        self._on_detach = on_detach  # makes the connection forget this body
        self._loop = asyncio.get_running_loop()
        self._receiver: BodyReceiver | None = None
        self._is_complete = False
        self._connection_reusable = False
        self._error: MalformedResponseError | None = None
        self._has_ended = False  # the receiver knows of the end
        self._timer = self._loop.call_at(self._check_at(), self._check)
        transport.pause_reading()

    @property
    def is_short(self) -> bool:
        """Whether the whole body is known to be a short one, which is streamed for lack of memory."""
        return self.length is not None and self.length <= MAX_UNSTREAMED_BYTES

    def start(self, receiver: BodyReceiver) -> None:
        """Deliver what has been received, and read on."""
        self._receiver = receiver
        self._restart_timer()
        self._transport.resume_reading()
        piece = self._first_piece
        self._first_piece = b""
        if piece:
            receiver.receive_piece(piece)
        self._report_end()

    def pause(self) -> None:
        """Stop reading from the backend, whose silence then does not count."""
        self._timer.cancel()
        self._transport.pause_reading()

    def resume(self, piece_bytes: int) -> None:
        """Read on, at most ``piece_bytes`` at once."""
        limit_read_size(self._transport, piece_bytes)
        if self._loop.time() >= self._wait.answer_due_at:  # its client is late, not its backend
            self._outlasts_deadline = True
        self._restart_timer()
        self._transport.resume_reading()

    def limit_pieces(self, piece_bytes: int) -> None:
        """Read at most ``piece_bytes`` at once."""
        limit_read_size(self._transport, piece_bytes)

    def append(self, piece: bytes) -> None:
        """Deliver bytes that the connection has received."""
        self._received += len(piece)
        self._wait.receive(self._loop.time())
        self._restart_timer()
        if piece and self._receiver:
            self._receiver.receive_piece(piece)

    def finish(self, *, connection_reusable: bool) -> None:
        """Mark the body as complete."""
        if not (self._is_complete or self._is_long):
            self._wait.request.sizes.record(self._received)
        self._is_complete = True
        self._connection_reusable = connection_reusable
        self._report_end()

    def fail(self, error: MalformedResponseError) -> None:
        """Mark the body as failed, unless it is complete; the first error is kept."""
        if not self._is_complete and self._error is None:
            self._error = error
            log.info("streamed_response_failed", reason=str(error), **self._log_fields())
        self._report_end()

    def close(self) -> None:
        """Release the connection; ``on_close`` pools it if the body is complete, and aborts it otherwise."""
        self._timer.cancel()
        self._has_ended = True
        self._receiver = None
        self._on_detach()
        self._transport.resume_reading()
        on_close = self.on_close
        self.on_close = None
        if on_close:
            on_close(self._is_complete and self._connection_reusable)

    def _report_end(self) -> None:
        has_end = self._is_complete or self._error is not None
        if has_end and self._receiver and not self._has_ended:
            self._has_ended = True
            self._timer.cancel()
            self._receiver.receive_end(self._error)

    def _restart_timer(self) -> None:
        self._timer.cancel()
        if not (self._is_complete or self._has_ended):
            self._timer = self._loop.call_at(self._check_at(), self._check)

    def _check_at(self) -> float:
        """Return the loop time at which ``_check`` has to decide about the incomplete body."""
        self._note_long()
        now = self._loop.time()
        if self._outlasts_deadline:
            return now + STREAM_IDLE_TIMEOUT
        return max(now, self._wait.answer_due_at)

    def _note_long(self) -> None:
        """Count the answer as a long one of its class as soon as it is known to be long."""
        if not self._is_long and max(self._received, self.length or 0) > MAX_UNSTREAMED_BYTES:
            self._is_long = self._outlasts_deadline = True
            self._wait.request.sizes.record(MAX_UNSTREAMED_BYTES + 1)

    def _check(self) -> None:
        if self._outlasts_deadline:
            self._time_out("streamed response body idle for too long")
            return
        verdict = self._wait.judge_overdue(self.length, self._received, self._loop.time())
        log.info("response_overdue", verdict=verdict.name, awaited=verdict.is_awaited, **self._log_fields())
        if verdict.is_awaited:
            self._outlasts_deadline = True
            self._restart_timer()
        else:
            self._time_out("short response body not complete in time")

    def _time_out(self, reason: str) -> None:
        is_started = self._receiver is not None
        self.fail(MalformedResponseError(reason))
        if not is_started:
            self.close()

    def _log_fields(self) -> dict[str, Any]:
        now = self._loop.time()
        return {
            "trace": self._wait.request.trace,
            "streamed_for": self._reason.name,
            "length": self.length,
            "body_bytes": self._received,
            "silent_seconds": round(self._wait.silence(now), 3),
            "seconds_overdue": round(now - self._wait.not_after, 3),
        }
