"""Durable state: what a front keeps over a loss of power, where it has a disk that lasts.

``records`` says what is stored and what is trusted of it, ``store`` reads and writes the files, ``writer`` is
the thread that does so. See ``docs/recovery.md``. Off as shipped, and not imported while it is off.
"""
