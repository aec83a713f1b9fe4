"""Sockets and timers that carry membership and coordination between fronts."""
