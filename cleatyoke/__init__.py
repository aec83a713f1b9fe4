"""cleatyoke: the decisions of a gateway that orders and paces the I/O of many volumes."""

import time

BEGAN = time.time()  # before the other imports: no other process of this front sends anything from here on
