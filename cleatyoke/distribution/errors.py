"""The errors of the distribution."""

from __future__ import annotations


class DistributionError(ValueError):
    """Base of the errors of the distribution."""


class NoRelayError(DistributionError):
    """A subscriber without a relay to poll."""


class InvalidChangeError(DistributionError):
    """A change that the source does not accept; the text begins with its key."""


class InvalidValueError(DistributionError):
    """A value that can't be read; the text begins with its key."""


class EpochError(DistributionError):
    """An epoch file that can't be used."""
