"""The error that reading the configuration raises."""

from __future__ import annotations


class ConfigError(ValueError):
    """A configuration value that cannot be used; the text begins with the key of the value."""
