"""The process of a front: its start and shutdown, faults, logging, metrics, and upgrades."""
