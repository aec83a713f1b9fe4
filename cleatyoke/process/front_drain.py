"""The drain of a whole front by an operator. No I/O."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class FrontDrain:
    """Whether operators drain this front.

    A draining front answers no to ``GET /up`` and closes client connections with their answers.
    """

    draining: bool = False

    def start(self) -> None:
        """Begin to drain."""
        self.draining = True

    def resume(self) -> None:
        """Accept clients again."""
        self.draining = False

    def is_up(self, ready: bool) -> bool:
        """Return what ``GET /up`` says of a front that is ready otherwise."""
        return ready and not self.draining
