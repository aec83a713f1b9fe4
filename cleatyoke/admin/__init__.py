"""Administration: the control listener, operator holds and the Prometheus exporter."""
