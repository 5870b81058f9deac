"""Repeated changes of the settings: class positions, counters and terms of requests stay correct.

A class is referred to by its position in the list of classes; a position is reused once its class is unused.
"""

from __future__ import annotations

import asyncio
import os
import signal
from collections import Counter
from collections.abc import Callable
from typing import Any

import pytest

from dykeshift.engine import config
from dykeshift.engine.driver import Driver
from dykeshift.interface import Idempotency, Settings
from dykeshift.settings import parse_settings, restrict_repeats
from dykeshift.standins.disk import Disk
from tests.mllp.test_front import message, place
from tests.node.messages import Message, answer, request
from tests.node.stubs import Node, Stub, configuration, node, resets, run, service, wait_until
from tests.node.test_settings import named
from tests.seeded import Defect, defect_tests, patched

CHANGES = 150
LONG_REQUEST_CHANGES = 20  # changes during which a long request stays open
SECOND_NS = 1_000_000_000


async def serve(_: Stub, got: Message, writer: asyncio.StreamWriter) -> None:
    """Answer all requests but those whose id begins with `long`."""
    if not got.headers["x-request-id"].startswith("long"):
        writer.write(answer())


def settings_of_change(serial: int) -> dict[str, Any]:
    """The settings of a change: `check` and `send` with new terms each time, and a further class."""
    deadline = 5 * SECOND_NS + serial
    return named(
        service("check", "pure", deadlineNs=deadline),
        service("send", "side_effect", deadlineNs=deadline),
        service(f"only{serial % 7}", "pure", deadlineNs=deadline),
    )


async def change(balancer: Node, given: dict[str, Any]) -> None:
    """Reload through SIGHUP, as an operator does."""
    ledger = balancer.front.driver.ledger
    raw = {**configuration(balancer.registry.address), "settings": given}
    balancer.given, before = config.parse(raw), ledger.reloads
    os.kill(os.getpid(), signal.SIGHUP)
    await wait_until(lambda: ledger.reloads > before)


def served_over_many_changes() -> None:
    """Counters belong to classes, open requests keep their class, and there are few positions."""

    async def main() -> None:
        stub = await Stub(serve).start()
        async with node(stub) as balancer:
            driver = balancer.front.driver
            module = driver.balancer
            asked: Counter[str] = Counter()
            long: list[tuple[Any, str, Any]] = []
            for serial in range(CHANGES):
                await change(balancer, settings_of_change(serial))
                further = f"only{serial % 7}"
                for name in ("check", "send", further, further):
                    rid, method = f"r{serial}-{asked.total()}", "POST" if name == "send" else "GET"
                    asked[name] += 1
                    assert (await balancer.ask(request(name, rid, method=method))).body == b"done"
                if serial % 10 == 0:
                    client, rid = await balancer.open(), f"long{serial}"
                    client.writer.write(request("send", rid))
                    await wait_until(lambda rid=rid: rid in module.open)  # type: ignore[misc]
                    long.append((client, rid, module.open[rid].klass))
                for _, rid, klass in long:
                    item = module.open[rid]
                    assert module.settings.classes[item.request.klass] == item.klass == klass
                if len(long) > LONG_REQUEST_CHANGES // 10:
                    client, rid, klass = long.pop(0)
                    asked["send left"] += 1
                    client.writer.close()
                    await wait_until(lambda rid=rid: rid not in driver.jobs)  # type: ignore[misc]
                assert len(module.records) == len(driver.tiers) <= 2 * 3 + len(long) + 1
            tiers = driver.ledger.class_counts
            found = {name: tier.success for name, tier in tiers.items() if tier.success}
            left = asked.pop("send left")
            assert found == dict(asked)
            assert tiers["send"].gone == left and tiers["send"].inflight == len(long)
            assert sum(tier.inflight for tier in tiers.values()) == len(long)

    run(main())


class ChangingGate:
    """A gate that applies other settings when it is next checked."""

    def __init__(self, balancer: Node, settings: Settings) -> None:
        self.balancer, self.settings, self.changed = balancer, settings, False

    def rules_stamp(self) -> int:
        if not self.changed:
            self.changed = True
            self.balancer.reload.apply(self.settings, narrow=True)
        return 1


def settings_change_between_reading_and_deciding() -> None:
    """A request is read under the old settings; the module gets new ones just before the request."""

    async def main() -> None:
        stub = await Stub(serve).start()
        async with node(stub) as balancer:
            module = balancer.front.driver.balancer
            old = module.settings.classes
            # `other` takes the first free position: that of `send`, unless it is in use.
            given = named(service("check", "pure"), service("other", "pure"))
            given["services"].insert(1, service("set", "token"))
            new = parse_settings(given)
            assert set(old) - set(new.classes) == {old[2]} and old[2].name == "send"
            balancer.front.driver.pool.gate = ChangingGate(balancer, new)
            client = await balancer.open()
            client.writer.write(request("send", "long"))
            await wait_until(lambda: "long" in module.open)
            item = module.open["long"]
            assert module.settings.classes[item.request.klass] == old[2]
            assert item.klass.idempotency is Idempotency.UNSAFE and item.klass.name == "send"
            assert balancer.front.driver.ledger.class_counts["send"].inflight == 1
            client.writer.close()

    run(main())


def messages_follow_their_class() -> None:
    """The routes of `[mllp]` refer to classes by name: to the terms in force, or else to the last ones."""

    async def main() -> None:
        async with place(serve) as deployment:
            driver = deployment.node.front.driver
            module = driver.balancer
            gone = module.settings.classes[1]
            assert gone.name == "set"
            clinic = await deployment.clinic()
            for serial in range(5):
                await change(deployment.node, settings_of_change(serial))
                assert module.settings.classes[1] == gone  # not in force any more, and still routed to
                rules = deployment.front.mapping.rules
                assert rules["SIU^S12"].klass == 1
                position = rules["ORM"].klass
                assert position not in module.settings.retired
                assert module.settings.classes[position].deadline == 5 * SECOND_NS + serial
                assert driver.reserved_positions == {1, position}
                assert await clinic.say(message(f"m{serial}")) == "AA"
            assert driver.ledger.class_counts["send"].success == 5
            assert len(module.records) <= 2 * 3 + 2

    run(main())


def test_counters_terms_and_positions_stay_correct_over_many_reloads() -> None:
    served_over_many_changes()


def test_a_change_between_reading_a_request_and_deciding_on_it() -> None:
    settings_change_between_reading_and_deciding()


def test_a_message_follows_its_class_over_changes() -> None:
    messages_follow_their_class()


def stricter() -> dict[str, Any]:
    """Settings in which requests of the class `set` must not run twice any more."""
    return named(service("check", "pure"), service("set", "side_effect"), service("send", "side_effect"))


# Guards against messages that keep the terms of the start, and run twice once their class is unsafe.
@pytest.mark.parametrize("change_to", ["a file", "settings of the fleet"])
def test_a_message_has_the_terms_that_are_in_force_under_the_name_of_its_class(change_to: str) -> None:
    async def main() -> None:
        async with place(resets) as deployment:
            clinic = await deployment.clinic()
            assert await clinic.say(message("before", "SIU^S12")) == "AE"
            assert all("idempotency-key" in got.headers for got in deployment.stub.seen)
            if change_to == "a file":
                await change(deployment.node, stricter())
            else:
                deployment.node.reload.apply(parse_settings(stricter()), narrow=True)
            before = len(deployment.stub.seen)
            assert await clinic.say(message("after", "SIU^S12")) == "AE"
            [got] = deployment.stub.seen[before:]
            assert "idempotency-key" not in got.headers
            module = deployment.node.front.driver.balancer
            klass = module.settings.classes[deployment.front.mapping.rules["SIU^S12"].klass]
            assert klass.idempotency is Idempotency.UNSAFE

    run(main())


def test_a_file_with_terms_that_messages_cannot_have_changes_nothing() -> None:
    async def main() -> None:
        async with place(serve) as deployment:
            driver = deployment.node.front.driver
            old = driver.balancer.settings
            given = named(service("check", "pure"), service("set", "pure"), service("send", "side_effect"))
            raw = {**configuration(deployment.node.registry.address), "settings": given}
            deployment.node.given = config.parse(raw)
            os.kill(os.getpid(), signal.SIGHUP)
            await wait_until(lambda: driver.ledger.reloads_failed == 1)
            assert driver.balancer.settings is old

    run(main())


def test_a_message_that_waits_for_the_journal_keeps_the_position_of_its_class() -> None:
    async def main() -> None:
        disk = Disk()
        async with place(serve, disk=disk) as deployment:
            front, driver = deployment.front, deployment.node.front.driver
            front.storing[1] += 1
            await change(deployment.node, stricter())
            position = front.mapping.rules["SIU^S12"].klass
            assert position != 1 and driver.reserved_positions == {1, 2, position}
            front._end_storing(1)
            assert driver.reserved_positions == {2, position}

    run(main())


# ---- seeded defects ----


def _counters_by_position(self: Driver, new: Settings, narrow: bool = False) -> Settings:
    """Counters belong to a position, whichever class takes it."""
    held = self.reserved_positions.union(job.request.klass for job in self.jobs.values())
    self._deliver_event(self.balancer.on_settings, new, restrict_repeats if narrow else None, held)
    placed = self.balancer.settings
    self.tiers += [self.ledger.counts_of(c.name) for c in placed.classes[len(self.tiers) :]]
    return placed


def _reserve_only_in_module(
    self: Driver, new: Settings, narrow: bool = False, original: Any = Driver.take_settings
) -> Settings:
    """Positions used outside the module may be reused."""
    jobs, self.jobs = self.jobs, {}
    kept, self.reserved_positions = self.reserved_positions, set()
    try:
        return original(self, new, narrow)  # type: ignore[no-any-return]
    finally:
        self.jobs, self.reserved_positions = jobs, kept


DEFECTS: dict[str, Defect] = {
    "counters stay with the position": patched(Driver, "take_settings", _counters_by_position),
    "a request that is not decided on yet reserves no position": patched(
        Driver, "take_settings", _reserve_only_in_module
    ),
    "the routes of a front end reserve no position": patched(
        Driver, "take_settings", _reserve_only_in_module
    ),
}

FINDERS: dict[str, Callable[[], None]] = {
    "counters stay with the position": served_over_many_changes,
    "a request that is not decided on yet reserves no position": settings_change_between_reading_and_deciding,
    "the routes of a front end reserve no position": messages_follow_their_class,
}

test_every_defect_has_its_finder, test_the_defect_is_found = defect_tests(
    DEFECTS, {}, FINDERS, lambda seed: []
)
