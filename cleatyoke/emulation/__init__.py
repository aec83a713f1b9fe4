"""Emulation of fleets in virtual time: hundreds of fronts in one process, reproducible from a seed.

Fronts are not modelled: the production code of ``cleatyoke.fleet``, and in ``traffic`` of the whole core,
runs on a clock and a network that this package provides. The daemon never imports this package.
"""
