"""The answer of every rule that can delay a request: from when it may go, and which rule says so."""

from __future__ import annotations

import math
from enum import Enum
from typing import Final, NamedTuple

NEVER: Final = math.inf  # no time allows it: only an event can, such as an answer or a new endpoint list


class Rule(Enum):
    """The rules that delay or reject a request, each with the modules that name it."""

    NO_NODE = "no_node"  # placement, shedding: no live node holds the shard
    CONCURRENCY_LIMIT = "concurrency_limit"  # placement.explain: all slots of the node are in use
    NODE_PAUSED = "node_paused"  # outlier_detection: the node is paused after failures
    SURPLUS_RATE = "surplus_rate"  # admission: beyond the reserve, at the node's surplus rate only
    DEADLINE = "deadline"  # rules, shedding: too late for the client's deadline
    LATENCY_OBJECTIVE = "latency_objective"  # shedding, scheduler: the answer would be late
    IDEMPOTENCY = "idempotency"  # rules, shedding, scheduler: a repeat might execute twice
    KEY_ORDER = "key_order"  # ordering: an older request with its key is open, or the key is paused
    RETRY_BUDGET = "retry_budget"  # retries: too many retries within the window
    MAX_ATTEMPTS = "max_attempts"  # scheduler: it has had all its attempts
    RATE_LIMIT = "rate_limit"  # admission: the volume's rate limit
    SLOW_START = "slow_start"  # slow_start: the node is warming up
    FAULT = "fault"  # fault_containment: an unforeseen exception while the request was handled


class Verdict(NamedTuple):
    """When a request is allowed, in seconds on the caller's clock, and the rule that delays it until then."""

    allowed_at: float
    rule: Rule | None


ALLOWED: Final = Verdict(-math.inf, None)
