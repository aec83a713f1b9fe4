"""Stream helpers shared by the servers: listeners, framing, orderly close."""
