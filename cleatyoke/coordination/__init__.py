"""State that fronts share: quota leases, operator holds, the staged start after a power loss. No I/O."""
