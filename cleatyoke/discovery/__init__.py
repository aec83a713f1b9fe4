"""Endpoint discovery: the watch on the platform's service, and the directory of nodes."""
