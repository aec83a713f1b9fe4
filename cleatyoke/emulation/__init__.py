"""A fleet in virtual time: the program's own I/O-free parts by the hundred, message by message, from a
seed.

Nothing here models a front: ``cleatyoke.fleet``, and in ``traffic`` the whole core, run themselves, over a
network and a clock that this package stands in for. It has no part in serving and is never imported by
the daemon.
"""
