"""The errors of durable state, in one tree."""

from __future__ import annotations


class DurabilityError(Exception):
    """Durable state can't be used. The text says why in a few words and is shown to operators."""


class UnreadableStoreError(DurabilityError):
    """A file as a whole can't be used: it is missing, damaged, foreign or of a newer schema."""
