"""Errors of endpoint discovery."""

from __future__ import annotations


class DiscoveryError(ValueError):
    """Base class of the errors of endpoint discovery."""


class ListTooLongError(DiscoveryError):
    """A list longer than ``max_bytes`` bytes; the rest of it is not read."""

    def __init__(self, max_bytes: int) -> None:
        super().__init__(f"endpoint list exceeds {max_bytes} bytes")


class InvalidListError(DiscoveryError):
    """A malformed list or list entry; the message begins with the invalid key."""
