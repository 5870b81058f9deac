"""A request whose id comes again: what may have run is not sent a second time."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dykeshift.engine import driver as driver_module
from dykeshift.engine import request_ids
from dykeshift.engine.request_ids import RETENTION_NS, TABLE_BYTES, RequestIds
from dykeshift.handover.folder import Folder
from tests.node.messages import Message, answer, read_message, request
from tests.node.stubs import Stub, answers_with, node, run, silent, wait_until
from tests.node.test_bodies import BodyReader, serve

SECOND = 1_000_000_000


# Guards against an sms-send that runs twice, as its id came again after its client had left unanswered.
@pytest.mark.parametrize(("klass", "key"), [("send", None), ("set", "k1")])
def test_what_may_have_run_is_not_sent_again_after_its_client_has_left(klass: str, key: str | None) -> None:
    async def main() -> None:
        stub = await Stub(silent).start()
        async with node(stub) as balancer:
            headers: dict[str, Any] = {"Idempotency_Key": key} if key else {}
            caller = await balancer.open()
            caller.writer.write(request(klass, rid="again", **headers))
            await wait_until(lambda: len(stub.seen) == 1)
            caller.writer.transport.abort()
            await wait_until(lambda: not balancer.front.driver.jobs)
            got = await balancer.ask(request(klass, rid="again", **headers))
            assert "409" in got.start and len(stub.seen) == 1

    run(main())


# Guards against the same of one that was answered.
def test_what_was_answered_is_not_sent_again() -> None:
    async def main() -> None:
        stub = await Stub(answers_with(answer(b"done"))).start()
        async with node(stub) as balancer:
            assert "200" in (await balancer.ask(request(rid="again"))).start
            assert "409" in (await balancer.ask(request(rid="again"))).start
            assert len(stub.seen) == 1

    run(main())


def test_what_is_safe_to_repeat_is_sent_again() -> None:
    async def main() -> None:
        stub = await Stub(answers_with(answer(b"done"))).start()
        async with node(stub) as balancer:
            for _ in range(2):
                assert "200" in (await balancer.ask(request("check", rid="again"))).start

    run(main())


# Guards against a claim that ends with another request of the same id, which claimed nothing.
def test_a_safe_request_that_was_turned_away_does_not_release_the_id_of_one_that_has_run() -> None:
    async def main() -> None:
        async def handle(stub: Stub, message: Message, writer: asyncio.StreamWriter) -> None:
            safe = message.start.startswith("GET")
            writer.write(answer(b"", "503 Full", X_Not_Run="1") if safe else answer(b"done"))

        stub = await Stub(handle).start()
        async with node(stub) as balancer:
            assert "200" in (await balancer.ask(request(rid="again"))).start
            assert "503" in (await balancer.ask(request("check", rid="again"))).start
            await wait_until(lambda: not balancer.front.driver.jobs)
            assert "409" in (await balancer.ask(request(rid="again"))).start
            assert sum(message.start.startswith("POST") for message in stub.seen) == 1

    run(main())


def test_what_was_turned_away_by_all_is_sent_again() -> None:
    async def main() -> None:
        async def handle(stub: Stub, _: Message, writer: asyncio.StreamWriter) -> None:
            full = answer(b"", "503 Full", X_Not_Run="1")
            writer.write(answer(b"done") if accepts.is_set() else full)

        accepts = asyncio.Event()
        stub = await Stub(handle).start()
        async with node(stub) as balancer:
            assert "503" in (await balancer.ask(request(rid="again"))).start
            await wait_until(lambda: not balancer.front.driver.jobs)
            accepts.set()
            while "200" not in (got := await balancer.ask(request(rid="again"))).start:
                assert "503" in got.start  # the server rests for a moment

    run(main())


def test_an_upload_that_its_client_did_not_finish_is_sent_again() -> None:
    async def main() -> None:
        stub = await BodyReader(serve).start()
        async with node(stub) as balancer:  # type: ignore[arg-type]
            balancer.front.budget.limit = 100_000
            whole = request(rid="again", body=bytes(400_000))
            caller = await balancer.open()
            caller.writer.write(whole[:-1])
            await wait_until(lambda: stub.heads == 1)
            caller.writer.transport.abort()
            await wait_until(lambda: not balancer.front.driver.jobs)
            caller = await balancer.open()
            caller.writer.write(whole)
            assert "200" in (await read_message(caller.reader)).start

    run(main())


def test_ids_that_are_forgotten_before_their_time_are_logged(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(request_ids, "BUCKETS", 1)
    monkeypatch.setattr(driver_module, "DROPPED_IDS_LOGGED", 5)

    async def main() -> None:
        stub = await Stub(answers_with(answer(b"done"))).start()
        async with node(stub) as balancer:
            for number in range(request_ids.SLOTS + 6):
                assert "200" in (await balancer.ask(request(rid=f"r{number}"))).start
            events = [one for one in caplog.records if getattr(one, "event", "") == "ids.dropped"]
            assert len(events) == 2 and balancer.front.driver.request_ids.dropped == 6

    run(main())


STEPS = st.lists(
    st.tuples(st.integers(0, 5), st.sampled_from(["claim", "release"]), st.integers(0, 40), st.booleans()),
    max_size=60,
)


@given(STEPS)
def test_claims_of_two_processes_are_kept_for_their_time(steps: list[tuple[int, str, int, bool]]) -> None:
    shared, now = bytearray(TABLE_BYTES), 1000 * SECOND
    processes = RequestIds(), RequestIds(shared)
    processes[0].claim(now, "before")
    processes[0].share(shared, now)
    claimed_at = {"before": now}
    for number, what, seconds, second in steps:
        now += seconds * SECOND
        claimed_at = {name: at for name, at in claimed_at.items() if now - at < RETENTION_NS}
        ids, name = processes[second], ("before", "a", "b", "c", "d", "e")[number]
        if what == "claim":
            assert ids.claim(now, name) is (name not in claimed_at)
            claimed_at.setdefault(name, now)
        else:
            ids.release(name)
            claimed_at.pop(name, None)
    assert not processes[0].dropped and not processes[1].dropped


def test_of_a_full_bucket_the_oldest_claim_gives_way(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(request_ids, "BUCKETS", 1)
    ids, slots = RequestIds(), request_ids.SLOTS
    for number in range(slots + 3):
        assert ids.claim(number + 1, f"r{number}")
    assert ids.dropped == 3
    assert not any(ids.claim(slots + 4, f"r{number}") for number in range(3, slots + 3))
    assert ids.claim(slots + 4, "r0")


def test_a_claim_from_before_the_machine_was_restarted_does_not_hold() -> None:
    ids = RequestIds()
    assert ids.claim(10 * SECOND, "r") and ids.claim(5 * SECOND, "r")


def test_the_table_of_a_folder_is_common_to_all_and_outlives_each(tmp_path: Path) -> None:
    first = RequestIds(Folder(str(tmp_path)).shared_table(TABLE_BYTES))
    second = RequestIds(Folder(str(tmp_path)).shared_table(TABLE_BYTES))
    assert first.claim(SECOND, "r") and not second.claim(2 * SECOND, "r")
    del first
    third = RequestIds(Folder(str(tmp_path)).shared_table(TABLE_BYTES))
    assert not third.claim(3 * SECOND, "r") and third.claim(SECOND + RETENTION_NS, "r")
