"""What a process has taken is answered before the platform kills it, however late it was taken."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from tests.faults.daemon import daemon
from tests.faults.ending import exchange, status
from tests.node.messages import request
from tests.node.stubs import Stub, run, service, settings, silent

LATE_ASKS = (0.05, 0.3, 0.6, 0.75, 0.85, 0.95, 1.05)  # seconds after SIGTERM


def deadlines(*seconds: float) -> dict[str, Any]:
    """Settings whose classes have these deadlines, the last one's as often as there are more classes."""
    kinds = (("check", "pure"), ("set", "token"), ("send", "side_effect"))
    each = [*seconds, *[seconds[-1]] * len(kinds)]
    return settings(
        services=[
            service(name, kind, deadlineNs=int(each[n] * 1e9), goalTimeNs=int(each[n] * 0.8e9))
            for n, (name, kind) in enumerate(kinds)
        ]
    )


@pytest.mark.parametrize("longest", [0.7, 4.0])
def test_connections_that_ask_late_get_their_answers_before_the_kill(longest: float, tmp_path: Path) -> None:
    """They had come before SIGTERM or right after it and asked nothing until then; the upstreams hang."""

    async def main() -> None:
        upstreams = [await Stub(silent).start() for _ in range(2)]
        async with daemon(tmp_path, *upstreams, settings=deadlines(longest)) as balancer:
            ending = balancer.ending(longest)
            before = [await balancer.open() for _ in LATE_ASKS]
            ending.terminate()
            after = [await balancer.open() for _ in LATE_ASKS]
            asks = [
                (f"{n}", client, LATE_ASKS[n % len(LATE_ASKS)]) for n, client in enumerate(before + after)
            ]

            async def ask(rid: str, client: Any, offset: float) -> tuple[str, str]:
                await ending.reach(offset)
                klass = ("check", "set", "send")[int(rid) % 3]
                return rid, status(
                    await exchange(client, request(klass, rid=rid, deadline=int(longest * 1000)))
                )

            answering = asyncio.gather(*(ask(*one) for one in asks))
            killed = await ending.kill()
            answers = dict(await answering)
            forwarded = {message.headers["x-request-id"] for one in upstreams for message in one.seen}
            assert forwarded
            assert not {rid for rid in forwarded if not answers[rid]}
            assert not killed

    run(main())
