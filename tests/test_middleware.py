"""The middleware in an aiohttp.web application, with handlers in the place of backends."""

from __future__ import annotations

import unittest

from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from cleatyoke.core import Core
from cleatyoke.discovery.directory import Directory
from cleatyoke.middleware import NODE, NeverExecutedError, scheduled
from cleatyoke.scheduling.events import RequestArrived
from tests.driven_front import plan_spec
from tests.scripted_peers import instance, listed, two_classes


class MiddlewareTest(unittest.IsolatedAsyncioTestCase):
    async def ask(self, method: str, script: list[object], node: bool = True) -> tuple[int, list[int | None]]:
        """The status, and the node of each run of the handler, which does as scripted."""
        core = Core(two_classes(plans=[plan_spec(base_rate=80.0, reserved_rate=80.0)]))
        if node:
            core.notify(listed(Directory({}), instance("s-0", 1), whole=True))
        runs: list[int | None] = []

        async def handler(request: web.Request) -> web.Response:
            runs.append(request.get(NODE))
            match script.pop(0):
                case Exception() as error:
                    raise error
                case status:
                    return web.Response(status=int(str(status)))

        async def describe(request: web.Request) -> RequestArrived | None:
            if request.path == "/free":
                return None
            kind = int(request.method == "PUT")
            return RequestArrived(core.new_id(), kind, 0, 1, 1, 0, 1.0, core.now() + 1.0, 1)

        app = web.Application(middlewares=[scheduled(core, describe)])
        app.router.add_route("*", "/{path:.*}", handler)
        async with TestClient(TestServer(app)) as client:
            response = await client.request(method.split()[0], method.split()[1])
            return response.status, runs

    async def test_a_handler_runs_at_the_node_that_the_core_names(self) -> None:
        assert await self.ask("GET /tile", [200]) == (200, [1])
        assert await self.ask("GET /free", [200]) == (200, [None])

    async def test_a_write_runs_again_only_if_it_was_never_executed(self) -> None:
        assert await self.ask("PUT /tile", [NeverExecutedError(), 201]) == (201, [1, 1])
        assert await self.ask("PUT /tile", [500, 201]) == (500, [1])
        assert await self.ask("PUT /tile", [RuntimeError("half done"), 201]) == (502, [1])

    async def test_an_http_exception_is_the_answer_of_the_handler(self) -> None:
        assert await self.ask("GET /tile", [web.HTTPNotFound()]) == (404, [1])

    async def test_without_a_node_a_request_is_rejected(self) -> None:
        assert await self.ask("GET /tile", [200], node=False) == (503, [])
