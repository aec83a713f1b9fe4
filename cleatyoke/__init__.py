"""cleatyoke: a front (load balancer) before storage nodes.

The "protocol page", "settings page" and "operations page" that docstrings name are documents of the platform;
docs/glossary.md maps their words to this repository's.
"""

import time

PROCESS_STARTED_AT = time.time()  # Unix time, before the slow imports
