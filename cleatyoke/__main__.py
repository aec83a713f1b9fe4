"""Entry point of the daemon: ``python -m cleatyoke [--fronts FILE]``."""

from __future__ import annotations

import os
import signal
import sys
import time

from cleatyoke import PROCESS_STARTED_AT
from cleatyoke.process.start_wait import wait_for_room

process_started_at = PROCESS_STARTED_AT
if __name__ == "__main__":
    # The default action would end the process if SIGHUP came before the event loop handles it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if wait_for_room(os.environ):
        process_started_at = time.time()

# This import takes most of the memory that a process takes before it serves.
from cleatyoke.process.front_command import exit_immediately, main  # noqa: E402

if __name__ == "__main__":
    exit_immediately(main(sys.argv[1:], process_started_at))
