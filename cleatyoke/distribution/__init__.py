"""Versioned configuration, distributed from one source through relays to the subscriber at every front.

``records``, ``store``, ``server``, ``relay_selection``, ``byte_budget``, ``known_lane``, ``subscriber``,
``relay``, ``contents`` and ``status`` use no socket, no clock and no randomness of their own. Off as shipped,
and not imported where it is off. See ``docs/distribution.md``.
"""
