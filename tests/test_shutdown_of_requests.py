"""What becomes of requests that are in flight as the process shuts down."""

from __future__ import annotations

import asyncio
import contextlib
import unittest
from unittest import mock

from cleatyoke.core import AttemptResult, Core, Failed, MayBegin, PendingRequest, Rejected
from cleatyoke.scheduling.actions import CancelAttempt, FailRequest
from cleatyoke.scheduling.events import (
    AttemptOutcome,
    EndpointState,
    EndpointUpdate,
    RequestArrived,
    UpdateKind,
)
from cleatyoke.scheduling.settings import Idempotency
from tests.driven_front import class_spec, endpoint
from tests.driven_front import settings as host_settings


class RequestsInFlight(unittest.IsolatedAsyncioTestCase):
    async def test_requests_in_flight_are_answered_before_the_process_exits(self) -> None:
        """Clients would wait for 8 s, and the process has 0.3 s left.

        Each request must be answered by then: those at a node that hangs have failed, and the one that
        was never sent is rejected.
        """
        core = Core(host_settings([class_spec(), class_spec(idempotency=Idempotency.NOT_IDEMPOTENT)]))
        nodes = [endpoint(1, 1), endpoint(2, 2, state=EndpointState.DRAINING)]
        core.notify(EndpointUpdate(UpdateKind.SNAPSHOT, nodes))
        sent: list[str] = []

        def ask(name: str, kind: int, cell: int) -> asyncio.Task[object]:
            async def hang(_node: int, _may: MayBegin) -> AttemptResult[None]:
                sent.append(name)
                await asyncio.sleep(60)
                return AttemptResult(AttemptOutcome.SERVED)

            arrival = RequestArrived(name, kind, 0, 1, None, cell, 1.0, core.now() + 8.0, 1)
            return asyncio.create_task(core.serve(arrival, hang))

        calls = {"read": ask("read", 0, 1), "write": ask("write", 1, 1), "held": ask("held", 1, 2)}
        await asyncio.sleep(0.1)
        assert sent == ["read", "write"]
        core.begin_shutdown(core.now() + 0.3)
        async with asyncio.timeout(1.0):
            answers = {name: type(await call) for name, call in calls.items()}
        assert answers == {"read": Failed, "write": Failed, "held": Rejected}
        assert sent == ["read", "write"]  # nothing is sent for which no answer could come

    async def test_an_attempt_cancelled_at_its_timeout_costs_no_other_request_its_decision(self) -> None:
        """After a pause of the process, one request's timeout and its cancellation are due at once.

        The cancellation of an attempt that no longer exists must not keep the decisions of the same step
        from the other requests.
        """
        core = Core(host_settings())
        core.pending |= {name: PendingRequest() for name in ("late", "other")}
        decisions = [CancelAttempt("late", 0), FailRequest("other")]
        with (
            mock.patch.object(core.scheduler, "step", return_value=decisions),
            contextlib.suppress(TimeoutError),
        ):
            async with asyncio.timeout(0) as core.pending["late"].attempt_timeout:
                try:
                    await asyncio.sleep(1)
                finally:  # its time is up, and it has not ended yet
                    core.pending["late"].attempts = 1
                    core.step()
        assert core.pending["other"].decisions.get_nowait() == FailRequest("other")
