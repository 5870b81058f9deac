"""Connections to an address after the process there may have ended, and what is not sent on them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from dykeshift.clock import SYSTEM
from dykeshift.engine.continuity import CONFIRMATION_DELAY_NS, SIGN_DELAY_NS, ProcessContinuity
from dykeshift.engine.driver import Driver, Job
from dykeshift.engine.invariants import WithheldReason
from dykeshift.engine.upstream import Attempt, AttemptResult, Pool, SendTerms
from dykeshift.interface import Outcome
from tests.node.messages import answer, instance, listing, request
from tests.node.stubs import Stub, answers_with, node, run, silent, wait_until
from tests.node.test_upstream import REQUEST, SECOND, RecordedAttempt, make_pool


class Continuity(ProcessContinuity[str]):
    """Connections by name, all of which the peer has open unless they are in `hung_up`."""

    def __init__(self) -> None:
        super().__init__()
        self.hung_up: set[str] = set()
        self.listed(1, 100)

    def connect(self, name: str, now: int) -> bool:
        """Open a connection; whether it is proven."""
        self.opened(name, now, lambda known: known not in self.hung_up)
        return self.is_proven(name)


def test_connections_are_proven_until_one_is_closed_by_the_peer() -> None:
    continuity = Continuity()
    assert continuity.connect("a", 200) and continuity.connect("b", 201)
    continuity.lost("a", 202, by_peer=False)
    continuity.lost("b", 203, by_peer=False)
    assert continuity.connect("c", 204)
    continuity.lost("c", 205, by_peer=True)
    assert not continuity.connect("d", 206) and not continuity.connect("e", 207)


def test_a_proven_connection_that_is_still_open_shows_that_the_process_has_not_ended() -> None:
    continuity = Continuity()
    assert continuity.connect("a", 200) and continuity.connect("b", 201)
    later = 201 + SIGN_DELAY_NS
    continuity.lost("a", later, by_peer=True)
    assert continuity.connect("c", later + 1) and not continuity.interrupted
    continuity.hung_up |= {"b", "c"}  # closed by the peer, and not processed yet
    assert not continuity.connect("d", later + 2)


def test_a_connection_is_not_proven_if_a_sign_comes_soon_after_it_was_opened() -> None:
    continuity = Continuity()
    assert continuity.connect("a", 200) and continuity.connect("b", 200 + SIGN_DELAY_NS)
    continuity.lost("a", 201 + SIGN_DELAY_NS, by_peer=True)
    assert not continuity.is_proven("b") and not continuity.connect("c", 202 + SIGN_DELAY_NS)


def test_a_refused_connection_is_a_sign_as_well() -> None:
    continuity = Continuity()
    continuity.refused(200)
    assert not continuity.connect("a", 201)


def test_an_answer_of_discovery_proves_connections_only_long_after_the_last_sign() -> None:
    continuity = Continuity()
    continuity.refused(200)
    assert not continuity.connect("a", 201)
    continuity.listed_again(200 + CONFIRMATION_DELAY_NS - 1)
    assert not continuity.is_proven("a")
    continuity.listed_again(200 + CONFIRMATION_DELAY_NS)
    assert continuity.is_proven("a") and continuity.connect("b", 202 + CONFIRMATION_DELAY_NS)


def test_a_newly_listed_process_that_began_after_the_last_sign_is_not_doubted() -> None:
    continuity = Continuity()
    assert continuity.connect("a", 200)
    continuity.lost("a", 201, by_peer=True)
    continuity.listed(2, 300)
    assert continuity.connect("b", 400)


def test_a_newly_listed_process_is_doubted_if_it_may_have_ended_before_it_was_listed() -> None:
    began_before_the_sign, unproven_broke, outlived_the_listed_one = Continuity(), Continuity(), Continuity()
    began_before_the_sign.refused(301)
    began_before_the_sign.listed(2, 300)
    assert not began_before_the_sign.connect("b", 400)
    unproven_broke.refused(201)
    assert not unproven_broke.connect("a", 202)
    unproven_broke.lost("a", 203, by_peer=True)
    unproven_broke.listed(2, 300)  # as late as this by a wall clock that was ahead
    assert not unproven_broke.connect("b", 400)
    assert outlived_the_listed_one.connect("a", 200)
    assert outlived_the_listed_one.unlisted(201) == ["a"]
    outlived_the_listed_one.lost("a", 203, by_peer=True)
    outlived_the_listed_one.listed(2, 300)
    assert not outlived_the_listed_one.connect("b", 400)


def test_connections_that_are_doubted_after_they_were_opened_are_told() -> None:
    continuity = Continuity()
    assert continuity.connect("a", 200) and continuity.connect("b", 200 + SIGN_DELAY_NS)
    assert continuity.lost("a", 201 + SIGN_DELAY_NS, by_peer=True) == ["b"]
    assert continuity.refused(202 + SIGN_DELAY_NS) == []  # already doubted


def test_connections_opened_shortly_before_their_process_leaves_the_list_are_told() -> None:
    continuity = Continuity()
    assert continuity.connect("a", 200) and continuity.connect("b", 201)
    assert continuity.unlisted(200 + CONFIRMATION_DELAY_NS) == ["b"]
    assert not continuity.is_proven("a") and not continuity.is_proven("b")
    assert continuity.unlisted(200 + CONFIRMATION_DELAY_NS) == []


def start(pool: Pool, ends: list[AttemptResult], uncertain: list[bool], scope_bound: bool) -> Attempt:
    terms = SendTerms(
        time.monotonic_ns() + 20 * SECOND,
        scope_bound=scope_bound,
        on_uncertain=lambda: uncertain.append(True),
    )
    return pool.start(1, lambda _: REQUEST, ends.append, terms)


# Guards against a key that takes effect in two scopes after its server was replaced at its address.
def test_after_a_replacement_at_an_address_attempts_are_uncertain_and_repeats_of_keys_withheld() -> None:
    async def main() -> None:
        old = await Stub(answers_with(answer(b"old"))).start()
        pool = make_pool(old.address)
        end = await RecordedAttempt(pool).end()
        assert end.answer is not None and end.answer.body == b"old"
        await old.stop()
        new = await Stub(answers_with(answer(b"new"))).start(old.address[1])
        for _ in range(2):  # on a new connection, and on the same one again
            uncertain, ends = list[bool](), list[AttemptResult]()
            start(pool, ends, uncertain, scope_bound=False)
            await wait_until(lambda ends=ends: bool(ends))  # type: ignore[misc]
            assert ends[0].answer.body == b"new" and uncertain == [True]
        repeat = list[AttemptResult]()
        start(pool, repeat, [], scope_bound=True)
        await wait_until(lambda: bool(repeat))
        assert repeat[0].outcome is Outcome.NOT_SENT and len(new.seen) == 2
        pool.put(1, new.address, SYSTEM.monotonic_ns(), True)  # discovery lists the new process
        uncertain, ends = list[bool](), list[AttemptResult]()
        start(pool, ends, uncertain, scope_bound=True)
        await wait_until(lambda: bool(ends))
        assert ends[0].outcome is Outcome.OK and not uncertain

    run(main())


# Guards against a key that takes effect in two scopes though the first sign of a replacement comes only while
# its first attempt is under way.
def test_an_attempt_under_way_is_uncertain_if_a_sign_comes_soon_after_its_connection_was_opened() -> None:
    async def main() -> None:
        stub = await Stub(silent).start()
        pool = make_pool(stub.address)
        broken, ends, uncertain = RecordedAttempt(pool), list[AttemptResult](), list[bool]()
        start(pool, ends, uncertain, scope_bound=False)
        await wait_until(lambda: len(stub.seen) == 2)
        assert not uncertain
        stub.writers[0].transport.abort()
        assert (await broken.end()).outcome is Outcome.RESET
        assert uncertain == [True] and not ends
        await stub.stop()

    run(main())


def test_an_attempt_under_way_is_uncertain_if_discovery_lists_another_process_at_its_address() -> None:
    async def main() -> None:
        stub = await Stub(silent).start()
        pool = make_pool(stub.address)
        ends, uncertain = list[AttemptResult](), list[bool]()
        start(pool, ends, uncertain, scope_bound=False)
        await wait_until(lambda: len(stub.seen) == 1)
        pool.put(1, stub.address, SYSTEM.monotonic_ns(), True)
        assert uncertain == [True] and not ends
        await stub.stop()

    run(main())


# ---- an attempt and a repeat of its key, one of which waits for its connection ----


class HeldConnects:
    """Lets the connects of a pool wait from the n-th on, until `release` is called."""

    def __init__(self, pool: Pool, first_held: int, last_held: int) -> None:
        self.connects, self.held = 0, range(first_held, last_held + 1)
        self.released = asyncio.Event()
        self.connect, self.pool = pool._connect, pool
        pool._connect = self._connect  # type: ignore[method-assign]

    async def _connect(self, attempt: Attempt) -> None:
        self.connects += 1
        if self.connects in self.held:
            await self.released.wait()
        await self.connect(attempt)

    async def release(self) -> None:
        """Let them go on, until all have ended."""
        self.released.set()
        await wait_until(lambda: not self.pool.connecting)


@dataclass(frozen=True)
class Crossing:
    """A keyed request under way, some of whose attempts wait for their connections."""

    driver: Driver
    connects: HeldConnects
    stubs: list[Stub]

    def job(self) -> Job:
        (job,) = self.driver.jobs.values()
        return job

    def received(self) -> int:
        """How many attempts have reached the upstreams."""
        return sum(len(stub.seen) for stub in self.stubs)


@asynccontextmanager
async def asked_with_held_connects(first_held: int, last_held: int) -> AsyncIterator[Crossing]:
    """A balancer before two upstreams of one scope that never answer; it has been sent one keyed request."""
    stubs = [await Stub(silent).start() for _ in range(2)]
    async with node(*stubs) as balancer:
        rows = [instance(f"s{number}", stub.address) for number, stub in enumerate(stubs)]
        balancer.registry.put(listing(2, True, *rows))
        await wait_until(lambda: balancer.front.driver.discovery_has_answered)  # no key is repeated before
        connects = HeldConnects(balancer.front.driver.pool, first_held, last_held)
        caller = await balancer.open()
        caller.writer.write(request("set"))
        yield Crossing(balancer.front.driver, connects, stubs)


# Guards against a key that takes effect in two scopes as a repeat decided on before the first sign is written
# after it.
def test_a_repeat_that_is_not_written_yet_is_withdrawn_once_the_first_attempt_is_uncertain() -> None:
    async def main() -> None:
        async with asked_with_held_connects(2, 3) as crossing:
            await wait_until(lambda: crossing.connects.connects == 2)
            job = crossing.job()
            assert job.attempts[0] is not None
            job.attempts[0].terms.on_uncertain()
            await crossing.connects.release()
            assert crossing.received() == 1 and crossing.connects.connects == 2
            assert job.attempts[1:] == [None]

    run(main())


# Guards against a key that takes effect in two scopes as its first attempt is written after its repeat.
def test_a_first_attempt_that_waits_for_its_connection_is_bound_to_its_scope_like_the_repeat() -> None:
    async def main() -> None:
        async with asked_with_held_connects(1, 1) as crossing:
            await wait_until(lambda: crossing.received() == 1)  # the repeat
            first = crossing.job().attempts[0]
            assert first is not None
            first.upstream.continuity.refused(SYSTEM.monotonic_ns())
            await crossing.connects.release()
            withheld = crossing.driver.ledger.occurrences.withheld
            assert withheld[WithheldReason.PROCESS_UNCERTAIN] == 1
            assert crossing.received() == 1

    run(main())
