"""What fronts know of one another, for installations where they may talk. Off in `run`, and not imported
there.

``wire``, ``members`` and ``conclude`` know no socket, no clock and no randomness of their own. See
``docs/fleet-view.md``.
"""
