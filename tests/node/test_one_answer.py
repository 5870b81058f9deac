"""A client receives the bytes of exactly one answer: nothing is written into an answer in progress."""

from __future__ import annotations

import asyncio


from tests.node.messages import Message, answer, request
from tests.node.stubs import Stub, node, run, settings, silent, wait_until
from tests.node.test_bodies import CHUNKED, chunks, read_any, read_chunks

BEGINNING = chunks(b"a" * 20_000, 4096)  # enough that the balancer starts streaming the answer


def uncancellable() -> dict[str, object]:
    """Settings that do not allow cancelling attempts."""
    given = settings()
    given["bounds"]["cancelling"] = False
    return given


def test_the_answer_to_a_copy_is_not_written_into_a_streamed_answer() -> None:
    """Without cancelling, a copy stays in flight while the client receives the other attempt's answer."""

    async def main() -> None:
        first, second = await Stub(silent).start(), await Stub(silent).start()
        async with node(first, second, settings=uncancellable()) as balancer:
            caller = await balancer.open()
            caller.writer.write(request("check"))
            await wait_until(lambda: bool(first.seen and second.seen))  # a copy has been sent
            first.writers[0].write(CHUNKED + BEGINNING)
            assert b"chunked" in await caller.reader.readuntil(b"\r\n\r\n")
            second.writers[0].write(answer(b"whole"))
            counts = balancer.front.driver.ledger.counts_of("check")
            pool = balancer.front.driver.pool
            await wait_until(
                lambda: any(u.idle for u in pool.upstreams.values())
            )  # the copy's answer was read
            first.writers[0].write(b"3\r\nend\r\n0\r\n\r\n")
            assert await read_chunks(caller.reader) == b"a" * 20_000 + b"end"
            await wait_until(lambda: not balancer.front.driver.jobs)
            assert (counts.taken, counts.success, counts.inflight) == (1, 1, 0)
            caller.writer.write(request("check", rid="next"))
            await wait_until(lambda: len(first.seen) + len(second.seen) > 2)
            for stub in (first, second):
                if len(stub.seen) > 1:
                    stub.writers[0].write(answer(b"next"))
            assert (await read_any(caller.reader)).body == b"next"

    run(main())


def test_a_rejection_is_not_written_into_a_streamed_answer() -> None:
    """After a pipelined request during a streamed answer, the answer is visibly truncated."""

    async def main() -> None:
        async def begins(_: Stub, __: Message, writer: asyncio.StreamWriter) -> None:
            writer.write(CHUNKED + BEGINNING)

        stub = await Stub(begins).start()
        async with node(stub) as balancer:
            caller = await balancer.open()
            caller.writer.write(request("check"))
            head = await caller.reader.readuntil(b"\r\n\r\n")
            assert b"chunked" in head
            caller.writer.write(request("check", rid="second"))
            rest = await caller.reader.read()
            assert b"HTTP/1.1" not in rest and not rest.endswith(b"0\r\n\r\n")
            await wait_until(lambda: not balancer.front.driver.jobs)

    run(main())
