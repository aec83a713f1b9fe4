"""The life of the process: lifecycle, faults, logging, metrics and the handover between processes."""
