"""A fleet on loopback to try fronts against: stand-in boxes, discovery, clients, scripted troubles, a judge.

``scenario``, ``model`` and ``judge`` know no socket and no clock. Written from the protocol page alone; it
has no part in serving and is never imported by the daemon.
"""
