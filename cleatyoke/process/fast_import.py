"""A cheaper import of aiohttp: the daemon imports this module before anything else that imports aiohttp.

On import, aiohttp makes a TLS context and reads the system's certificates into it. That takes 0.1 s of
processor time and 2 MB, of a start of 0.4 s (docs/fleet.md), and the daemon speaks no TLS. The clients of a
restarted front pay for each tenth of a second. So the certificates are an empty file during that import.

The garbage collector is off from here until the daemon serves, as the imports leave nothing to collect. The
library part of the project does not import this module.
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
