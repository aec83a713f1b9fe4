"""cleatyoke: the decisions of a gateway that orders and paces the I/O of many volumes."""
