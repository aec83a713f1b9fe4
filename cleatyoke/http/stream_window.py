"""How many bytes of a streamed answer are read from its backend at once. No I/O, no clock."""

from __future__ import annotations

from cleatyoke.limits.memory_budget import MAX_PIECE_BYTES, MIN_PIECE_BYTES
from cleatyoke.limits.memory_pool import MemoryPool

SLOW_CLIENT_WAIT = 0.1  # seconds for a client to take a piece, beyond which large pieces gain nothing
# Forwarded without a wait, after which a client no longer counts as slow: more than the kernel's send buffer.
SLOW_CLIENT_RECOVERY_BYTES = 8 * 1024 * 1024


class StreamWindow:
    """The size of one answer's pieces: ``MIN_PIECE_BYTES``, and more as long as its client keeps up.

    Everything beyond the minimum is reserved in ``pool``, which all answers share. A piece is held until the
    client's kernel has taken it, so the answers of slow clients would otherwise fill the memory of the front,
    while they are forwarded no faster with large pieces.
    """

    def __init__(self, pool: MemoryPool) -> None:
        self.size = MIN_PIECE_BYTES
        self._pool = pool
        self._is_slow = False
        self._bytes_since_wait = 0

    def record_piece(self, size: int) -> None:
        """Note a forwarded piece; one that filled the window widens it."""
        self._bytes_since_wait += size
        if self._bytes_since_wait >= SLOW_CLIENT_RECOVERY_BYTES:
            self._is_slow = False
        if self._pool.is_overdrawn:
            self.close()
        elif size >= self.size and not self._is_slow:
            self.size += self._pool.grant(MAX_PIECE_BYTES - self.size)

    def record_wait(self, seconds: float) -> None:
        """Note how long the client took to accept a piece; a slow client narrows the window."""
        self._bytes_since_wait = 0
        self._is_slow = seconds > SLOW_CLIENT_WAIT
        if self._is_slow:
            self.close()

    def close(self) -> None:
        """Return to the minimum and free the rest."""
        self._pool.release(self.size - MIN_PIECE_BYTES)
        self.size = MIN_PIECE_BYTES
