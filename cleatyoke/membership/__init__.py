"""Membership of the fleet of fronts after SWIM and Lifeguard: decisions only, no I/O and no clock."""
