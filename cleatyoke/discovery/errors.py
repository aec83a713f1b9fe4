"""The errors of endpoint discovery."""

from __future__ import annotations


class DiscoveryError(ValueError):
    """Base of the errors of endpoint discovery."""


class ListTooLongError(DiscoveryError):
    """A list of more than ``max_bytes`` bytes, which is not read to its end."""

    def __init__(self, max_bytes: int) -> None:
        super().__init__(f"a list of more than {max_bytes} bytes")


class InvalidListError(DiscoveryError):
    """A list, or a node in it, that can't be read; the text begins with the invalid key."""
