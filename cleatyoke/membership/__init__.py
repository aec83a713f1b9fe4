"""Fleet membership of the fronts, after SWIM and Lifeguard: a pure state machine without I/O or clock."""
