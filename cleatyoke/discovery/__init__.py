"""Endpoint discovery: watches the platform's discovery service and maintains the directory of nodes."""
