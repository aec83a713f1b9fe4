"""Request scheduling: which request goes to which node, when, and which is rejected. No I/O, no clock."""
