"""A proxy of aiohttp's server and client: `proxy_aiohttp.py PORT UPSTREAM-PORT`. What a shop would write."""

from __future__ import annotations

import asyncio
import sys

import aiohttp
import uvloop
from aiohttp import web


async def main() -> None:
    """Serve until the process is ended."""
    async with aiohttp.ClientSession() as session:

        async def handle(request: web.Request) -> web.Response:
            body = await request.read()
            headers = {"X-Request-Id": request.headers["X-Request-Id"]}
            async with session.request(
                request.method, f"http://127.0.0.1:{sys.argv[2]}{request.path_qs}", data=body, headers=headers
            ) as answer:
                return web.Response(status=answer.status, body=await answer.read())

        app = web.Application()
        app.router.add_route("*", "/{tail:.*}", handle)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", int(sys.argv[1])).start()
        await asyncio.Event().wait()


uvloop.run(main())
