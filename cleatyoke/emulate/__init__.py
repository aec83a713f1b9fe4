"""A fleet in virtual time: the program's own I/O-free parts by the hundred, message by message, from a
seed.

The beginning of the emulator. Nothing here models a member: ``cleatyoke.fleet`` itself runs, over a
network and a clock that this package stands in for. It has no part in serving and is never imported by
the daemon.
"""
