"""Capacity planning: the resource use of each duty of a front at the planned size, compared with its budget.

Costs are measured on the real state machines at several sizes, and power laws fitted to them extrapolate to
the planned size. ``python -m cleatyoke.emulation capacity`` generates the tables of ``docs/CAPACITY.md``, the
CSV file and the plots.
"""
