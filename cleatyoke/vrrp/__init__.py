"""VRRP version 3: state machine and its transport over UDP."""
