"""The verdict of a rule on a request: when it may be sent, and which rule delays it until then."""

from __future__ import annotations

import math
from enum import Enum
from typing import Final, NamedTuple

NEVER: Final = math.inf  # until an event, such as an answer or an endpoint update, not until a point in time


class Rule(Enum):
    """The rules that delay or reject a request; each comment begins with the modules that use the rule."""

    NO_NODE = "no_node"  # placement, shedding: no live node holds the shard
    CONCURRENCY_LIMIT = "concurrency_limit"  # placement.explain: all slots of the node are in use
    NODE_PAUSED = "node_paused"  # outlier_detection: the node is paused after failures
    SURPLUS_RATE = "surplus_rate"  # admission: beyond the reserve, only the node's surplus rate is available
    DEADLINE = "deadline"  # rules, shedding: too late for the client's deadline
    LATENCY_OBJECTIVE = "latency_objective"  # shedding, scheduler: the answer would be late
    IDEMPOTENCY = "idempotency"  # rules, shedding, scheduler: a retry might execute it twice
    KEY_ORDER = "key_order"  # ordering: an older request with the same key is open, or the key is paused
    RETRY_BUDGET = "retry_budget"  # retries: too many retries within the window
    MAX_ATTEMPTS = "max_attempts"  # scheduler: all its attempts are used up
    RATE_LIMIT = "rate_limit"  # admission: the volume's rate limit
    SLOW_START = "slow_start"  # slow_start: the node is warming up
    FAULT = "fault"  # fault_containment: an unforeseen exception in its handling


class Verdict(NamedTuple):
    """When a request is allowed (seconds on the caller's clock), and the rule that delays it until then."""

    allowed_at: float
    rule: Rule | None


ALLOWED: Final = Verdict(-math.inf, None)
