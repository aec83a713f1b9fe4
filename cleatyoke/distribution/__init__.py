"""Distribution of versioned configuration from one source, through relays, to a subscriber at each front.

``records``, ``store``, ``server``, ``relay_selection``, ``byte_budget``, ``known_lane``, ``subscriber``,
``relay``, ``contents`` and ``status`` do no I/O; time and random number generators are passed in. Disabled by
default, and not imported where it is disabled. See ``docs/distribution.md``.
"""
