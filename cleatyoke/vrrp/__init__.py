"""VRRP version 3: state machine and carrier over UDP."""
