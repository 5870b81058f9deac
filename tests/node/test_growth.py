"""Memory stays bounded over thousands of request ids, connections, upstreams and timers."""

from __future__ import annotations

import gc

import pytest

from dykeshift.engine import driver as engine
from dykeshift.engine.discovery import instance_number
from tests.node.messages import answer, instance, listing, request
from tests.node.stubs import DiscoveryStub, Node, Stub, answers_with, node, run, settings, wait_until

REQUESTS_PER_ROUND = 1000


async def send_requests(balancer: Node, registry: DiscoveryStub, stub: Stub, first: int) -> None:
    """Send new ids on new connections, some with errors, while the upstream is replaced at its address."""
    for n in range(first, first + REQUESTS_PER_ROUND):
        if n % 25 == 0:
            names = [instance(f"s{n // 25 - 1}", stub.address, "left"), instance(f"s{n // 25}", stub.address)]
            registry.put(listing(n + 2, False, *names))
        client = await balancer.open()
        bad = n % 10 == 0
        got = await client.ask(
            request(("check", "set", "send")[n % 3], rid=f"r{n}", deadline="soon" if bad else 4000)
        )
        assert ("400" if bad else "200") in got.start
        client.writer.close()


async def live_objects(balancer: Node) -> int:
    """Wait until nothing is open, and count the objects that the garbage collector tracks."""
    front = balancer.front
    module = front.driver.balancer
    await wait_until(
        lambda: not front.clients
        and not front.driver.jobs
        and not module.open
        and len(module.servers) <= 2
        and len(front.driver.pool.upstreams) <= 2
        and not front.driver.pool.connecting
    )
    gc.collect()
    return len(gc.get_objects())


def test_thousands_of_requests_leak_no_objects() -> None:
    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        changed = settings()
        changed["obligations"]["fallNs"] = 200_000_000  # the module drops old servers at each sweep
        async with node(stub, settings=changed) as balancer:
            counts = []
            for n in range(4):
                await send_requests(balancer, balancer.registry, stub, n * REQUESTS_PER_ROUND)
                stub.seen.clear()
                stub.writers.clear()
                counts.append(await live_objects(balancer))
            # One leaked object per request would add REQUESTS_PER_ROUND each round; some hundreds are noise.
            assert counts[3] - counts[1] < REQUESTS_PER_ROUND, counts

    run(main())


def test_a_bounded_number_of_delisted_ids_is_remembered(monkeypatch: pytest.MonkeyPatch) -> None:
    """A ban is accepted for an id that was listed; ids that are listed or banned now are always known."""
    monkeypatch.setattr(engine, "MAX_REMEMBERED_IDS", 20)

    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        async with node(stub) as balancer:
            driver = balancer.front.driver
            balancer.registry.put(listing(2, False, instance("banned", stub.address)))
            await wait_until(lambda: driver.was_listed(instance_number("banned")))
            assert driver.ban(instance_number("banned"))
            for n in range(100):
                left = [instance(f"x{n - 1}", stub.address, "left")] if n else []
                balancer.registry.put(listing(n + 3, False, *left, instance(f"x{n}", stub.address)))
            await wait_until(lambda: driver.was_listed(instance_number("x99")))
            assert len(driver.recently_listed) == 20
            assert driver.was_listed(instance_number("x90")) and not driver.was_listed(instance_number("x5"))
            assert driver.end_ban(instance_number("banned"))
            assert not driver.was_listed(instance_number("never"))

    run(main())
