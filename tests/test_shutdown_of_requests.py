"""Requests that are in flight when the process shuts down."""

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
from tests.driven_front import settings as scheduler_settings


class RequestsInFlightTest(unittest.IsolatedAsyncioTestCase):
    async def test_shutdown_answers_requests_in_flight_before_the_process_exits(self) -> None:
        """Clients have a deadline of 8 s, and the process has 0.3 s left.

        Each request must be answered by then: those at a node that hangs fail, and the one that was never
        sent is rejected.
        """
        core = Core(scheduler_settings([class_spec(), class_spec(idempotency=Idempotency.NOT_IDEMPOTENT)]))
        nodes = [endpoint(1, 1), endpoint(2, 2, state=EndpointState.DRAINING)]
        core.notify(EndpointUpdate(UpdateKind.SNAPSHOT, nodes))
        sent: list[str] = []

        def serve(name: str, class_index: int, shard: int) -> asyncio.Task[object]:
            async def hang(_node: int, _may_begin: MayBegin) -> AttemptResult[None]:
                sent.append(name)
                await asyncio.sleep(60)
                return AttemptResult(AttemptOutcome.SERVED)

            arrival = RequestArrived(name, class_index, 0, 1, None, shard, 1.0, core.now() + 8.0, 1)
            return asyncio.create_task(core.serve(arrival, hang))

        calls = {"read": serve("read", 0, 1), "write": serve("write", 1, 1), "queued": serve("queued", 1, 2)}
        await asyncio.sleep(0.1)
        assert sent == ["read", "write"]
        core.begin_shutdown(core.now() + 0.3)
        async with asyncio.timeout(1.0):
            answers = {name: type(await call) for name, call in calls.items()}
        assert answers == {"read": Failed, "write": Failed, "queued": Rejected}
        assert sent == ["read", "write"]  # nothing is sent that could not be answered in time

    async def test_cancellation_at_a_timeout_does_not_affect_other_requests(self) -> None:
        """After a pause of the process, one request's timeout and its cancellation are due at once.

        Cancelling an attempt that has already timed out must not prevent the other decisions of the same
        step.
        """
        core = Core(scheduler_settings())
        core.pending |= {name: PendingRequest() for name in ("late", "other")}
        decisions = [CancelAttempt("late", 0), FailRequest("other")]
        with (
            mock.patch.object(core.scheduler, "step", return_value=decisions),
            contextlib.suppress(TimeoutError),
        ):
            async with asyncio.timeout(0) as core.pending["late"].attempt_timeout:
                try:
                    await asyncio.sleep(1)
                finally:  # the timeout has expired, and the attempt has not ended yet
                    core.pending["late"].attempts = 1
                    core.step()
        assert core.pending["other"].decisions.get_nowait() == FailRequest("other")
