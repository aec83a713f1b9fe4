"""Membership of the fleet of fronts after SWIM and Lifeguard. No I/O, no clock."""
