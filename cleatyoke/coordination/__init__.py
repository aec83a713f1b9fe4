"""State coordinated among fronts: quota leases, operator holds, staged start after a power loss. No I/O."""
