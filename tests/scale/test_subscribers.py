"""The scale run of subscribers and their control tier, at a small size on the virtual clock."""

from __future__ import annotations

import asyncio
from typing import Any

from dykeshift.scale import verdict
from dykeshift.scale.cluster import VirtualCluster
from dykeshift.scale.faults import Changes, Event, Restarts
from dykeshift.scale.placement import place
from dykeshift.scale.session import Session
from dykeshift.scale.shard import Plan
from dykeshift.scale.subscribers import CONTROL_MACHINES, Subscribers

MEMBERS = 14
OPTIONS: dict[str, dict[str, Any]] = {
    "configuration": {"services": 40, "tenants": 300, "routes": 80, "held": 4}
}


def run(events: list[Event], settled: bool = True) -> tuple[Session, list[verdict.Finding]]:
    async def play() -> tuple[Session, list[verdict.Finding]]:
        design = Subscribers()
        roster = place(MEMBERS, 0, CONTROL_MACHINES, 1)
        hollow = [seat.number for seat in roster.seats]
        plan = Plan(design.name, 1, roster, OPTIONS)
        cluster = VirtualCluster(plan, hollow, 1, design)
        session = Session(cluster, plan, design, hollow, 30.0, patience=30.0)
        await session.open(settled)
        for event in events:
            await session.play(event)
        return session, await session.judge()

    return asyncio.run(play())


def test_changes_are_in_force_at_subscribers_and_control_machines() -> None:
    session, found = run([Changes("changes", 4, 0.5)])
    assert {finding.kind for finding in found} <= verdict.BY_COST, found
    assert session.measured[-1].committed == 4
    assert not session.measured[-1].left_behind


def test_a_control_machine_and_a_subscriber_come_back_from_nothing() -> None:
    _, found = run([Restarts("restarts", (0, MEMBERS + 2), 1.0), Changes("changes", 2, 0.5)])
    assert {finding.kind for finding in found} <= verdict.BY_COST, found
