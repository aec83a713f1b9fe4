"""Errors raised by the configuration reader."""

from __future__ import annotations


class ConfigError(ValueError):
    """An invalid or missing configuration value; the message begins with its key."""
