"""Imported first by the daemon: what makes its start dear is left out.

As it is imported, aiohttp makes a TLS context and reads the system's certificates into it: 0.1 s of processor
time and 2 MB, of a start of 0.4 s (docs/fleet.md). The daemon speaks no TLS, and in a fleet that is killed as
one, or beside an old process on the same core, every tenth of a second of a start is paid by clients. So the
certificates are an empty file while it is imported. The library part of the project does not do this.

"""

import gc
import os

WHERE = {"SSL_CERT_FILE": os.devnull, "SSL_CERT_DIR": os.devnull}

before = {name: os.environ.get(name) for name in WHERE}
gc.disable()  # nothing of what the imports make is garbage; the daemon enables it once it serves
os.environ.update(WHERE)
import aiohttp  # noqa: E402, F401

for name, value in before.items():
    if value is None:
        del os.environ[name]
    else:
        os.environ[name] = value
