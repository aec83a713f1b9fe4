"""Administration: the control listener and the Prometheus exporter."""
