"""The platform's HTTP protocol: server, backend connections and messages."""
