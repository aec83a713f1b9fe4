"""Exceptions of the distribution of configuration."""

from __future__ import annotations


class DistributionError(ValueError):
    """Base class of the exceptions of the distribution."""


class NoRelayError(DistributionError):
    """A subscriber was configured without a relay."""


class InvalidChangeError(DistributionError):
    """The source does not accept a change; the text begins with the key."""


class InvalidValueError(DistributionError):
    """A value can't be decoded; the text begins with the key."""


class EpochError(DistributionError):
    """An epoch file does not hold a valid epoch."""
