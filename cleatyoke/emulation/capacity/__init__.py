"""What the design costs at the planned size.

Slopes measured on the real state machines, their fits, and the need of each duty against its budget.
``python -m cleatyoke.emulation capacity`` makes ``docs/CAPACITY.md``, its table and its plots.
"""
