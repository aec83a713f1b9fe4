"""Durable state: what a front keeps across a power loss, where it has a persistent disk.

``records`` defines the stored rows and which of them are trusted, ``store`` reads and writes the files,
``writer`` is the background thread that does so. See ``docs/recovery.md``. Disabled by default, and not
imported while it is disabled.
"""
