"""Configuration and nodes as versioned changes, from one source through relays to every front.

``records``, ``store``, ``server``, ``subscriber``, ``relay`` and ``status`` know no socket, no clock and no
randomness of their own. Off in `run`, and not imported there. See ``docs/distribution.md``.
"""
