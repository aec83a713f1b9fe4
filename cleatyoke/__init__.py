"""cleatyoke: a front (load balancer) for storage nodes.

The "protocol page", "settings page" and "operations page" in docstrings are documents of the platform;
docs/glossary.md maps their terms to those of this repository.
"""

import time

PROCESS_STARTED_AT = time.time()  # Unix time; taken before the slow imports
