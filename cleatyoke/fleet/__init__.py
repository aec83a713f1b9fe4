"""Sockets and timers that run membership and coordination among fronts."""
