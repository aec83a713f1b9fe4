"""Limits on the memory that clients can make a front hold, shared by all of its servers."""
