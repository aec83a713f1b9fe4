"""The middleware in an aiohttp.web application, with handlers in place of backends."""

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
    async def send(
        self, method: str, script: list[object], has_node: bool = True
    ) -> tuple[int, list[int | None]]:
        """Return the status, and the node of each run of the handler, which follows ``script``."""
        core = Core(two_classes(plans=[plan_spec(base_rate=80.0, reserved_rate=80.0)]))
        if has_node:
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
            class_index = int(request.method == "PUT")
            return RequestArrived(core.new_id(), class_index, 0, 1, 1, 0, 1.0, core.now() + 1.0, 1)

        app = web.Application(middlewares=[scheduled(core, describe)])
        app.router.add_route("*", "/{path:.*}", handler)
        async with TestClient(TestServer(app)) as client:
            response = await client.request(method.split()[0], method.split()[1])
            return response.status, runs

    async def test_handler_runs_with_the_node_chosen_by_the_core(self) -> None:
        assert await self.send("GET /tile", [200]) == (200, [1])
        assert await self.send("GET /free", [200]) == (200, [None])

    async def test_handler_of_a_write_runs_again_only_if_it_never_executed(self) -> None:
        assert await self.send("PUT /tile", [NeverExecutedError(), 201]) == (201, [1, 1])
        assert await self.send("PUT /tile", [500, 201]) == (500, [1])
        assert await self.send("PUT /tile", [RuntimeError("half done"), 201]) == (502, [1])

    async def test_handler_http_exception_is_its_response(self) -> None:
        assert await self.send("GET /tile", [web.HTTPNotFound()]) == (404, [1])

    async def test_request_without_a_node_is_rejected(self) -> None:
        assert await self.send("GET /tile", [200], has_node=False) == (503, [])
