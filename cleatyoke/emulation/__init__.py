"""A fleet in virtual time: the program's own parts without I/O, by the hundred, repeatable from a seed.

Nothing here models a front: ``cleatyoke.fleet``, and in ``traffic`` the whole core, run themselves, over a
network and a clock that this package provides. It has no part in serving, and the daemon never imports it.
"""
