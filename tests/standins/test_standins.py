"""Stand-ins behave as the protocol describes: over real sockets on loopback, with nothing of the program."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dykeshift.standins.client import Crowd, Errand, Front
from dykeshift.standins.messages import Message, MessageError, Messages, render
from dykeshift.standins.registry import Instance, Registry
from dykeshift.standins.sender import Mood, Rack, Sender, Shape
from tests.node.stubs import run, wait_until

# ---- messages ----

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"


@given(st.lists(st.binary(min_size=1, max_size=40), max_size=5), st.integers(1, 9))
def test_chunks_are_put_together_however_they_are_torn(pieces: list[bytes], size: int) -> None:
    """A client took an answer in chunks, which had no length at its sender, for bytes that answer nothing."""
    chunks = b"".join(b"%x;a=b\r\n%s\r\n" % (len(p), p) for p in (*pieces, b""))
    stream = CHUNKED + b"\r\n" + chunks + render("x", {})
    reader, got = Messages(), list[Message]()
    for at in range(0, len(stream), size):
        got += reader.feed(stream[at : at + size])
    assert [m.body for m in got] == [b"".join(pieces), b""] and reader.idle()


@given(st.lists(st.binary(max_size=40), min_size=1, max_size=5), st.integers(1, 9))
def test_messages_are_cut_out_however_they_are_torn(bodies: list[bytes], size: int) -> None:
    stream = b"".join(render("HTTP/1.1 200 OK", {"X-N": str(n)}, body) for n, body in enumerate(bodies))
    reader, got = Messages(), list[Message]()
    for at in range(0, len(stream), size):
        got += reader.feed(stream[at : at + size])
    assert [m.body for m in got] == bodies and reader.idle()
    assert [m.headers["x-n"] for m in got] == [str(n) for n in range(len(bodies))]


@pytest.mark.parametrize(
    "bad",
    [
        b"\x00\xff\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n",
        b"GET / HTTP/1.1\r\nno colon\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        CHUNKED + b"\r\n-1\r\n",
        CHUNKED + b"\r\n2\r\nabcd\r\n",
        CHUNKED + b"\r\nffffffff\r\n",
        CHUNKED + b"\r\nContent-Length: 2\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\n",
    ],
)
def test_what_cannot_be_read_is_said(bad: bytes) -> None:
    with pytest.raises(MessageError):
        Messages().feed(bad)


# ---- senders ----


class Seen:
    """Witness and account in one."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def arrived(self, sender: Sender, request: Message) -> None:
        self.events.append(f"takes {request.headers['x-request-id']}")

    def ran(self, sender: Sender, request: Message, repeat: bool) -> None:
        self.events.append(f"{'repeats' if repeat else 'runs'} {request.headers['x-request-id']}")

    def turned_away(self, sender: Sender, request: Message) -> None:
        self.events.append(f"turns away {request.headers['x-request-id']}")

    def fell(self, sender: Sender) -> None:
        self.events.append("falls")

    def sent(self, errand: Errand, rid: str, to: Any) -> None:
        self.events.append(f"sent {rid}")

    def answered(self, errand: Errand, rid: str, to: Any, answer: Message) -> None:
        self.events.append(f"{rid} {answer.status}")

    def broken(self, errand: Errand, rid: str, to: Any, begun: bool) -> None:
        self.events.append(f"{rid} broken")

    def left(self, errand: Errand, rid: str, to: Any) -> None:
        self.events.append(f"{rid} left")

    def extra(self, to: Any, data: bytes) -> None:
        self.events.append(f"extra {data!r}")


@asynccontextmanager
async def serving(one: Any) -> AsyncIterator[tuple[str, int]]:
    task = asyncio.create_task(one.serve("127.0.0.1", 0))
    await wait_until(lambda: one.server is not None)
    try:
        yield one.server.sockets[0].getsockname()
    finally:
        one.server.close()
        task.cancel()


async def ask(to: tuple[str, int], rid: str, cost: int = 1, **headers: str) -> Callable[[], Any]:
    reader, writer = await asyncio.open_connection(*to)
    writer.write(
        render(
            f"POST /api?errand={rid}&kind=sms-send&cost={cost} HTTP/1.1",
            {"X-Request-Id": rid, **{k.replace("_", "-"): v for k, v in headers.items()}},
        )
    )

    async def answer() -> Message:
        got = Messages()
        while True:
            data = await reader.read(4096)
            if not data:
                raise ConnectionResetError
            if whole := got.feed(data):
                writer.close()
                return whole[0]

    return answer


def sender(seen: Seen, shape: Shape = Shape(), rack: Rack | None = None, **more: Any) -> Sender:  # noqa: B008
    return Sender("s0", 0, rack or Rack(), seen, Random(1), shape, **more)


def test_a_sender_runs_and_answers_with_its_load() -> None:
    async def main() -> None:
        seen = Seen()
        async with serving(sender(seen)) as to:
            got = await (await ask(to, "r1"))()
            assert got.status == 200 and got.body == b"s0 did r1\n"
            assert json.loads(got.headers["x-load"])["busy_reqs"] == 0
            assert seen.events == ["takes r1", "runs r1"]
            assert (await (await ask(to, ""))()).status in (200, 404)

    run(main())


def test_a_full_and_a_draining_sender_turn_away_with_the_proof() -> None:
    async def main() -> None:
        seen = Seen()
        one = sender(seen, Shape(slots=1, queue=1))
        async with serving(one) as to:
            waiting = [await ask(to, f"r{n}", cost=60_000) for n in range(2)]
            await wait_until(lambda: len(seen.events) >= 3)
            got = await (await ask(to, "r2"))()
            assert (got.status, got.headers["x-not-run"]) == (503, "1")
            one.drain()
            assert (await (await ask(to, "r3"))()).headers["x-not-run"] == "1"
            assert "runs r1" not in seen.events and len(waiting) == 2

    run(main())


def test_a_rack_drops_the_repeats_of_a_key() -> None:
    async def main() -> None:
        seen, rack = Seen(), Rack()
        one, other = sender(seen, rack=rack), sender(seen, rack=rack)
        async with serving(one) as first, serving(other) as second:
            await (await ask(first, "r1", Idempotency_Key="k"))()
            got = await (await ask(second, "r2", Idempotency_Key="k"))()
            assert got.status == 200 and "repeats r2" in seen.events

    run(main())


def test_a_cold_sender_that_is_sent_too_much_falls_and_resets() -> None:
    async def main() -> None:
        seen = Seen()
        shape = Shape(slots=1, cold_share=0.1, cold_time=60.0, fall_window=1.0, queue=100)
        one = sender(seen, shape, cold=True)
        async with serving(one) as to:
            first = await ask(to, "r0", cost=150)
            with pytest.raises(OSError):
                for n in range(1, 50):
                    await ask(to, f"r{n}", cost=150)
            assert seen.events.count("falls") == 1
            with pytest.raises(OSError):
                await first()

    run(main())


@pytest.mark.parametrize(
    ("mood", "outcome"),
    [
        (Mood(error_share=1.0), "500"),
        (Mood(reset_share=1.0), "reset"),
        (Mood(garble_share=1.0), "unreadable"),
    ],
)
def test_moods(mood: Mood, outcome: str) -> None:
    async def main() -> None:
        async with serving(sender(Seen(), mood=mood)) as to:
            answer = await ask(to, "r1")
            if outcome == "500":
                assert (await answer()).status == 500
                return
            with pytest.raises((ConnectionResetError, MessageError, TimeoutError)):
                await asyncio.wait_for(answer(), 0.5)

    run(main())


# ---- discovery ----


def test_a_watch_waits_and_tells_changes_and_an_unknown_version_gets_the_whole_list() -> None:
    async def main() -> None:
        registry = Registry(Random(1))
        registry.listed = {"a": Instance("a", ("10.0.0.1", 1), "z", 0)}
        async with serving(registry) as to:
            reader, writer = await asyncio.open_connection(*to)

            async def call(path: str) -> dict[str, Any]:
                writer.write(render(f"GET {path} HTTP/1.1", {}))
                got = Messages()
                while not (whole := got.feed(await reader.read(4096))):
                    pass
                rows: dict[str, Any] = json.loads(whole[0].body)
                return rows

            first = await call("/v1/endpoints")
            assert first["reset"] and [i["instanceId"] for i in first["instances"]] == ["a"]
            version = first["generation"]
            waiting = asyncio.create_task(call(f"/v1/endpoints?from={version}&hold_ms=30000"))
            await wait_until(lambda: bool(registry.waiting))
            registry.leave("a")
            told = await waiting
            assert not told["reset"] and told["instances"][0]["lifecycle"] == "leaving"
            assert (await call(f"/v1/endpoints?from={told['generation']}&hold_ms=1"))["instances"] == []
            assert (await call("/v1/endpoints?from=9999&hold_ms=1"))["reset"]
            registry.freeze()
            registry.leave("a", "left")
            assert (await call("/v1/endpoints"))["instances"][0]["lifecycle"] == "leaving"
            registry.thaw()
            assert (await call("/v1/endpoints"))["instances"] == []

    run(main())


# ---- clients ----


async def errand(kind: str, replies: list[bytes], retries: int = 2) -> list[str]:
    """What a client does when a balancer answers like this, one connection after another."""
    seen, ended = Seen(), list[str]()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        reply = replies.pop(0) if replies else b""
        if reply:
            writer.write(reply)
        else:
            writer.transport.abort()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    front = Front(Random(1), 1.0)
    front.taken_in[server.sockets[0].getsockname()] = 0.0
    crowd = Crowd(front, seen, Random(1), on_end=lambda e, how, answer: ended.append(how))
    crowd.begin(Errand("e", "k", kind, 5.0, retries=retries))
    await wait_until(lambda: bool(ended))
    crowd.hang_up()
    server.close()
    return [*seen.events, ended[0]]


OK, REFUSED, FAILED = (render(f"HTTP/1.1 {s} X", {"Connection": "close"}) for s in (200, 503, 500))


@pytest.mark.parametrize(
    ("kind", "replies", "tries"),
    [
        ("safe", [FAILED, REFUSED, OK], 3),
        ("unsafe", [REFUSED, OK], 2),
        ("unsafe", [FAILED, OK], 1),
        ("keyed", [FAILED, OK], 1),
        ("unsafe", [b"", OK], 1),
        ("safe", [b"", OK], 2),
    ],
)
def test_clients_retry_only_where_it_is_allowed(kind: str, replies: list[bytes], tries: int) -> None:
    async def main() -> None:
        events = await errand(kind, list(replies))
        assert len([e for e in events if e.startswith("sent")]) == tries

    run(main())
