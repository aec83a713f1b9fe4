"""A test fleet on loopback: fronts as processes, test doubles around them, scripted faults, a rule checker.

``scenario``, ``backend_model`` and ``checker`` use no socket and no clock. The package is written from the
protocol page alone, independently of the daemon, which never imports it.
"""
