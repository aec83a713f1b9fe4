"""An operator's drain of a whole front. No I/O."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class FrontDrain:
    """Whether an operator is draining this front.

    A draining front reports itself as unavailable at ``GET /up``, and closes each client connection after
    the answer to its request.
    """

    draining: bool = False

    def start(self) -> None:
        """Begin the drain."""
        self.draining = True

    def resume(self) -> None:
        """End the drain: accept clients again."""
        self.draining = False

    def is_up(self, ready: bool) -> bool:
        """Return whether ``GET /up`` reports the front as available; ``ready``: its state without a drain."""
        return ready and not self.draining
