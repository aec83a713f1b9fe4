"""Imports aiohttp at a lower cost: the daemon imports this module before any other that imports aiohttp.

On import, aiohttp creates a TLS context and loads the system's certificates into it. That takes 0.1 s of
processor time, of a start of 0.4 s, and 2 MB (docs/fleet.md), and the daemon does not use TLS. Each tenth of
a second delays the clients of a restarted front. The certificate store is therefore empty during the import.

The garbage collector is disabled from here until the daemon serves, as the imports leave nothing to collect.
Modules that are used as a library do not import this one.
"""

import gc
import os

EMPTY_CERTIFICATES = {"SSL_CERT_FILE": os.devnull, "SSL_CERT_DIR": os.devnull}

previous = {name: os.environ.get(name) for name in EMPTY_CERTIFICATES}
gc.disable()
os.environ.update(EMPTY_CERTIFICATES)
import aiohttp  # noqa: E402, F401

for name, value in previous.items():
    if value is None:
        del os.environ[name]
    else:
        os.environ[name] = value
