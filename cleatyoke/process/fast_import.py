"""Imports aiohttp at a lower cost: the daemon imports this module before any other that imports asyncio.

The daemon does not use TLS. Without it, OpenSSL is not loaded and no TLS context is created: that saves 3 MB
of memory in each process, and 0.1 s of processor time of a start of 0.4 s (docs/fleet.md). Each tenth of a
second delays the clients of a restarted front. asyncio and aiohttp support Python without the module ``ssl``,
which they find missing here; ``hashlib`` then uses its own implementations in place of OpenSSL's.

The garbage collector is disabled from here until the daemon serves, as the imports leave nothing to collect.
Modules that are used as a library do not import this one.
"""

import gc
import sys
from typing import Any

OPENSSL_MODULES = ("ssl", "_hashlib")

modules: dict[str, Any] = sys.modules
hidden = [name for name in OPENSSL_MODULES if name not in modules]
gc.disable()
modules.update(dict.fromkeys(hidden))
import aiohttp  # noqa: E402, F401

for name in hidden:
    del modules[name]
