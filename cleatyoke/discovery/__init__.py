"""Endpoint discovery: watching the platform's service and keeping the directory of nodes."""
