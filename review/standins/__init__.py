"""Stand-ins for clients, chunk servers, discovery and the platform, written from the operators' pages."""
