"""`lifttrail console`: what is printed for a yes, a no and no answer."""

from __future__ import annotations

import asyncio
import json
import socket

import pytest

from dykeshift.cli import main
from tests.node.messages import answer, request
from tests.node.stubs import Stub, answers_with, node, run

Capture = pytest.CaptureFixture[str]


def test_calls_reach_a_balancer_and_a_no_is_exit_1(capsys: Capture) -> None:
    async def play() -> None:
        stub = await Stub(answers_with(answer())).start()
        async with node(stub, console="127.0.0.1:0") as balancer:
            at = "%s:%d" % balancer.services[-1].server.address

            async def said(*arguments: str) -> tuple[int, str, str]:
                code = await asyncio.to_thread(main, ["console", *arguments, "--at", at])
                return code, *capsys.readouterr()

            assert await said("status") == (0, "serving\n", "")
            await balancer.ask(request("check"))
            code, out, _ = await said("metrics")
            assert code == 0 and "check" in out.splitlines()[1] and "backend_calls" in out
            code, out, _ = await said("metrics", "--json")
            assert json.loads(out)["said"]["calls"]["check"]["success"] == 1
            assert (await said("enter", "s0"))[0] == (await said("exit", "s0"))[0] == 0
            code, out, err = await said("enter", "s9")
            assert code == 1 and out == "" and "404" in err and err.count("\n") == 1
            code, out, _ = await said("enter", "s9", "--json")
            assert code == 1 and json.loads(out)["yes"] is False
            assert (await said("standby"))[0] == 0 and not balancer.front.is_ready()
            assert (await said("active"))[0] == 0 and balancer.front.is_ready()

    run(play())


@pytest.mark.parametrize(
    "arguments",
    [
        ("status", "--at", "nowhere"),
        ("status",),
        ("enter", "--at", "127.0.0.1:1"),
        ("jump", "--at", "127.0.0.1:1"),
    ],
)
def test_bad_use_is_one_line_and_exit_2(arguments: tuple[str, ...], capsys: Capture) -> None:
    assert main(["console", *arguments]) == 2
    _, err = capsys.readouterr()
    assert err.count("\n") == 1


def test_no_answer_is_exit_2(capsys: Capture) -> None:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))  # bound, and nobody listens
        assert main(["console", "status", "--at", "127.0.0.1:%d" % taken.getsockname()[1]]) == 2
    assert "no answer from" in capsys.readouterr().err
