"""HTTP data plane: server, client and backend connections, and message encoding."""
