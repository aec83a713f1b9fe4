"""The front's process: start, shutdown, fault handling, logging, metrics and upgrades."""
