"""Bans shared by two processes: restored, applied in both, and lifted only by an explicit end."""

from __future__ import annotations

import errno
import mmap
import time
from pathlib import Path

import pytest

from dykeshift.clock import SystemClock
from dykeshift.engine.discovery import instance_number
from dykeshift.engine.request_ids import TABLE_BYTES, RequestIds
from dykeshift.handover.bans import Bans
from dykeshift.handover.folder import BANS, Folder
from dykeshift.interface import ListKind
from dykeshift.node.together import ProcessGroup
from tests.harness import MS, World, entry
from tests.node.messages import answer
from tests.node.stubs import Node, Stub, answers_with, node, run

S0 = instance_number("s0")


def group_of(balancer: Node, folder: Folder) -> ProcessGroup:
    front = balancer.front
    return ProcessGroup(front.loop, front.clock, folder, front.driver, front)


def test_bans_of_another_process_hold_until_they_are_lifted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        async with node(stub) as balancer:
            here, other = group_of(balancer, Folder(str(tmp_path))), group_of(balancer, Folder(str(tmp_path)))
            banned = balancer.front.driver.balancer.banned
            other.enter("s0")
            here.restore()
            assert set(banned) == {S0} and not balancer.front.driver.pool.upstreams[S0].open_to_new
            for content in (None, "", '{"v":1,"out":{},"back":{}}', '{"v":9,"out":[]}'):
                if content is None:
                    (tmp_path / BANS).unlink()
                else:
                    (tmp_path / BANS).write_text(content)
                here.restore()
                assert set(banned) == {S0}  # a missing or corrupt file lifts no ban
            other.enter("s0")
            other.exit("s0")
            here.restore()
            assert not banned and balancer.front.driver.pool.upstreams[S0].open_to_new
            assert balancer.front.driver.balancer.servers[S0].entry.started > 0  # it comes back cold
            banned_again = list[int]()
            ban, driver = balancer.front.driver.ban, balancer.front.driver

            def noted(number: int, at: int = 0) -> bool:
                banned_again.append(number)
                return ban(number, at)

            monkeypatch.setattr(driver, "ban", noted)
            other.enter("s7")  # a change by the other process: the earlier end is not applied again
            here.restore()
            assert banned_again == [instance_number("s7")]
            other.enter("s0")
            here.restore()
            assert set(banned) == {S0, instance_number("s7")}

    run(main())


def test_two_serving_processes_share_connections_and_memory_and_the_older_one_drains(tmp_path: Path) -> None:
    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        async with node(stub) as one, node(stub) as two:
            elder, younger = (group_of(balancer, Folder(str(tmp_path))) for balancer in (one, two))
            full = one.front.limit, one.front.driver.pool.limit, one.front.budget.limit
            elder.serve()
            younger.serve()
            elder._poll()
            for balancer in (one, two):
                share = balancer.front.limit, balancer.front.driver.pool.limit, balancer.front.budget.limit
                assert share == tuple(limit // 2 for limit in full)
            assert one.front.drain.yielding and not two.front.drain.yielding
            younger.leave()
            elder._poll()
            assert one.front.budget.limit == full[2] and not one.front.drain.yielding
            elder.leave()

    run(main())


def test_a_ban_lost_at_an_upgrade_is_detected(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Folder, "read", lambda self: Bans())
    with pytest.raises(AssertionError):
        test_bans_of_another_process_hold_until_they_are_lifted(tmp_path, monkeypatch)


def sent_to_cold_server(worlds: list[World]) -> int:
    """How many requests the cold one of ten servers gets in 12 s, with the balancers of `worlds` in turn."""
    sent = 0
    for world in worlds:
        world.announce(ListKind.FULL, *(entry(n) for n in range(9)), entry(9, started=world.now))
    for n in range(2400):
        world = worlds[n % len(worlds)]
        rid = world.submit(n % 3)
        for one in worlds:
            one.advance(5 * MS)
        sent += world.requests[rid].servers.count(9)
        world.end_all(rid)
    return sent


def test_two_processes_together_send_a_cold_server_as_much_as_one() -> None:
    """Slow-start credit grows with the requests of a process: with half of them each gives half of it."""
    one = [sent_to_cold_server([World(seed=seed)]) for seed in range(4)]
    two = [sent_to_cold_server([World(seed=seed), World(seed=seed + 50)]) for seed in range(4)]
    assert sum(two) <= 1.15 * sum(one) and sum(one) > 50


class SteppedClock(SystemClock):
    """The system clock with a wall clock that a test can step."""

    step = 0  # nanoseconds

    def time_ns(self) -> int:  # type: ignore[override]
        return time.time_ns() + self.step


@pytest.mark.parametrize("step", [-3600, -7, 7, 3600])
def test_bans_hold_and_end_despite_steps_of_the_wall_clock(step: int, tmp_path: Path) -> None:
    """After a step back a new ban looked lifted by the end of the last one, or could not be lifted."""

    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        async with node(stub) as balancer:
            here, other = group_of(balancer, Folder(str(tmp_path))), group_of(balancer, Folder(str(tmp_path)))
            here.clock = other.clock = clock = SteppedClock()
            driver = balancer.front.driver
            other.enter("s0")
            here.restore()
            other.exit("s0")
            here.restore()
            assert S0 not in driver.balancer.banned
            clock.step = step * 1_000_000_000
            here.enter("s0")
            driver.ban(S0)
            here.restore()
            assert S0 in driver.balancer.banned
            before = clock.monotonic_ns()
            clock.step = -clock.step
            other.exit("s0")
            here.restore()
            assert S0 not in driver.balancer.banned
            assert driver.balancer.servers[S0].entry.started >= before  # cold from the end of the ban on

    run(main())


# Guards against an upgrade whose processes take each the whole limits, as their ids cannot be shared.
def test_ids_that_cannot_be_shared_are_said_once_and_tried_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        async with node(stub) as balancer:
            folder, other = Folder(str(tmp_path)), Folder(str(tmp_path))
            here, limit = group_of(balancer, folder), balancer.front.limit
            ids = balancer.front.driver.request_ids
            assert ids.claim(balancer.front.clock.monotonic_ns(), "before")

            def full(size: int) -> mmap.mmap:
                raise OSError(errno.ENOSPC, "no space")

            with monkeypatch.context() as patch:
                patch.setattr(folder, "shared_table", full)
                here.restore()
                other.announce(balancer.front.clock.monotonic_ns())
                for _ in range(3):
                    here._poll()
                assert here.restored and balancer.front.limit == limit // 2
            events = [one for one in caplog.records if getattr(one, "event", "") == "handover.ids-unshared"]
            assert len(events) == 1 and not here.shares_ids
            here._poll()
            assert here.shares_ids
            elsewhere = RequestIds(other.shared_table(TABLE_BYTES))
            assert not elsewhere.claim(balancer.front.clock.monotonic_ns(), "before")
            here.leave()
            other.withdraw()

    run(main())
