"""Transport utilities shared by the servers: listener, graceful close, message framing and encoding."""
