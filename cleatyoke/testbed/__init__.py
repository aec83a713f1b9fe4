"""A fleet on loopback to try fronts against: test doubles around them, faults by script, a rule checker.

``scenario``, ``backend_model`` and ``checker`` use no socket and no clock. Written from the protocol page
alone; it has no part in serving and is never imported by the daemon.
"""
