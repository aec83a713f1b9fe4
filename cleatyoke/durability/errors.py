"""Exceptions raised by the durable state."""

from __future__ import annotations


class DurabilityError(Exception):
    """Durable state can't be used. The message gives a short reason and is shown to operators."""


class UnreadableStoreError(DurabilityError):
    """A file can't be used as a whole: it is missing, damaged, foreign or has a newer schema."""
