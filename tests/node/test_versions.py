"""The feature `[versions]` in the daemon, on loopback.

Settings and bans of the whole fleet, doubt, a differing file, the check before a send, and switched off.
"""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
import pytest

from dykeshift.engine.config import ConfigError
from dykeshift.engine.discovery import instance_number
from dykeshift.engine.upstream import AttemptResult, SendTerms
from dykeshift.interface import Outcome
from dykeshift.node import features
from dykeshift.node import versions as feature
from dykeshift.node.features import Features
from tests.node.messages import answer, instance, listing, request
from tests.node.stubs import Node, Stub, answers_with, node, resets, run, settings, wait_until
from tests.node.test_agree import on as agree_on
from tests.node.test_upstream import REQUEST, make_pool
from tests.node.test_view import ports

WORDS = settings(balancers=3)


def on(**options: Any) -> Features:
    chosen = msgspec.convert({"report_s": 0.05, "list_s": 0.0, **options}, feature.Options)
    return Features((*agree_on(beat_s=0.02, lease_s=0.6).enabled, (feature, chosen)))


def service(balancer: Node) -> feature.Service:
    return next(s for s in balancer.services if isinstance(s, feature.Service))


async def call(one: feature.Service, path: str, body: Any = None) -> tuple[int, dict[str, Any]]:
    got: asyncio.Future[tuple[int, dict[str, Any]]] = asyncio.get_running_loop().create_future()
    one.host.offers.deferred_calls[b"PUT", path.encode()](
        json.dumps(body or {}).encode(), lambda status, text: got.set_result((status, json.loads(text)))
    )
    return await got


def made_unsafe(**bounds: Any) -> dict[str, Any]:
    """The settings with the safe class `check` nodes unsafe."""
    return {
        **WORDS,
        "bounds": {**WORDS["bounds"], **bounds},
        "services": [
            {**s, "idempotency": "side_effect"} if s["name"] == "check" else s for s in WORDS["services"]
        ],
    }


def all_act_on(every: list[feature.Service], version: int) -> bool:
    return all(s.core.effective.mode == "in force" and s.core.effective.version == version for s in every)


def nodes(stub: Stub, count: int, **options: Any) -> list[Any]:
    peers = ports(count)
    return [
        node(
            stub,
            beside=on(**options),
            name=f"n{n}",
            peer_listen=peers[n],
            peers=peers,
            settings=WORDS,
            console="127.0.0.1:0",
        )
        for n in range(count)
    ]


def test_settings_proposed_at_one_balancer_take_effect_at_all() -> None:
    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        one, two, three = nodes(stub, 3)
        async with one as a, two as b, three as c:
            every = [service(x) for x in (a, b, c)]
            await wait_until(lambda: all_act_on(every, 0))
            status, reply = await call(every[1], "/settings/propose", {"settings": made_unsafe(), "by": "op"})
            assert (status, reply["version"]) == (200, 1)
            await wait_until(lambda: all_act_on(every, 1))
            assert (await a.ask(request("check"))).start.split()[1] == "400"  # an unsafe class needs POST
            assert (await a.ask(request("check", method="POST"))).start.split()[1] == "200"
            shown = json.loads(every[2].calls.status())
            assert shown["contradiction_s"] == 0.6 and shown["by"] == "op" and shown["pending"] is None
            assert json.loads(every[2].calls.history())["rules"][0]["version"] == 1
            assert (await call(every[2], "/settings/rollback", {"version": 9}))[0] == 409
            assert (await call(every[0], "/settings/propose", {"settings": {}}))[0] == 400
            assert (await call(every[0], "/settings/lists", {"closed": ["nothing"]}))[0] == 409

            assert (await call(every[0], "/maintenance/enter", {"name": "s0"}))[0] == 409  # the last server
            for x in every:
                x.close()

    run(main())


# Guards against requests on connections that their upstreams close: with a version of a shorter keepalive the
# pools kept the timeouts of the file at the start.
def test_the_timeouts_of_connections_to_upstreams_are_those_of_the_version_in_force() -> None:
    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        one, two = nodes(stub, 2)
        async with one as a, two as b:
            every = [service(x) for x in (a, b)]
            pools = [x.front.driver.pool for x in (a, b)]
            await wait_until(lambda: all_act_on(every, 0))
            for balancer in (a, b):
                assert "200" in (await balancer.ask(request("check"))).start
            assert [pool.open for pool in pools] == [1, 1]
            bounds = {**WORDS["bounds"], "keepaliveNs": 1_000_000, "connectTimeoutNs": 3_000_000_000}
            changed = {"settings": {**WORDS, "bounds": bounds}, "by": "op"}
            assert (await call(every[1], "/settings/propose", changed))[0] == 200
            await wait_until(lambda: all_act_on(every, 1) and not any(pool.open for pool in pools))
            assert [pool.connect_timeout for pool in pools] == [3.0, 3.0]
            for x in every:
                x.close()

    run(main())


def test_a_ban_at_one_balancer_holds_at_all_and_any_can_lift_it() -> None:
    async def main() -> None:
        first, second = [await Stub(answers_with(answer(body))).start() for body in (b"first", b"second")]
        peers = ports(2)
        one, two = (
            node(
                first,
                second,
                beside=on(),
                name=f"n{n}",
                peer_listen=peers[n],
                peers=peers,
                settings=settings(balancers=2),
                console="127.0.0.1:0",
            )
            for n in range(2)
        )
        async with one as a, two as b:
            here, there = service(a), service(b)
            await wait_until(lambda: all_act_on([here, there], 0))
            status, reply = await call(here, "/maintenance/enter", {"name": "s0"})
            assert (status, reply) == (200, {"here": True, "fleet": True})
            # no server would be left
            assert (await call(here, "/maintenance/enter", {"name": "s1"}))[0] == 409
            assert (await call(here, "/maintenance/enter", {"name": "s9"}))[0] == 404
            await wait_until(lambda: "s0" in there.core.effective.banned)
            for n in range(8):
                assert (await b.ask(request(rid=f"r{n}"))).body == b"second"
            status, _ = await call(there, "/maintenance/exit", {"name": "s0"})
            assert status == 200
            await wait_until(lambda: not here.fleet_bans and not there.fleet_bans)
            assert not a.front.driver.balancer.banned and not b.front.driver.balancer.banned
            assert (await call(there, "/maintenance/exit", {"name": "s1"}))[0] == 200  # it was never banned
            assert (await call(there, "/maintenance/exit", {"name": "s9"}))[0] == 404
            for _ in range(3):  # at once, whether the other knows of the ban by then or not
                assert (await call(here, "/maintenance/enter", {"name": "s0"}))[1]["fleet"]
                assert (await call(there, "/maintenance/exit", {"name": "s0"}))[0] == 200
                await wait_until(lambda: not here.fleet_bans and not there.fleet_bans)
            for x in (here, there):
                x.close()

    run(main())


def test_a_balancer_with_an_older_list_avoids_servers_leaving_by_a_newer_one() -> None:
    async def main() -> None:
        some = [await Stub(answers_with(answer(b"s%d" % n))).start() for n in range(4)]

        def rows(leaving: int) -> list[dict[str, Any]]:
            return [
                instance(f"s{n}", s.address, "leaving" if n < leaving else "active")
                for n, s in enumerate(some)
            ]

        peers = ports(2)
        one, two = (
            node(
                *some,
                beside=on(list_s=30.0),
                name=f"n{n}",
                peer_listen=peers[n],
                peers=peers,
                settings=settings(balancers=2),
            )
            for n in range(2)
        )
        async with one as a, two as b:
            here, there = service(a), service(b)
            await wait_until(lambda: all_act_on([here, there], 0))
            a.registry.put(listing(7, True, *rows(1)))
            await wait_until(lambda: there.leaving == {instance_number("s0")})
            assert {(await b.ask(request(rid=f"r{n}"))).body for n in range(24)} == {b"s1", b"s2", b"s3"}
            a.registry.put(listing(8, True, *rows(3)))
            # three of four are too many: logged and ignored
            await wait_until(lambda: there.core.lists.ignored > 0)
            assert there.leaving == {instance_number("s0")}
            for x in (here, there):
                x.close()

    run(main())


def test_without_a_majority_it_is_doubtful_until_an_operator_makes_it_the_only_voter() -> None:
    async def main() -> None:
        stub = await Stub(resets).start()
        one, two, three = nodes(stub, 3)
        async with one as a:
            async with two as b, three as c:
                every = [service(x) for x in (a, b, c)]
                await wait_until(lambda: all_act_on(every, 0))
                for x in (b, c):
                    for each in x.services:
                        each.close()
            here = every[0]
            await wait_until(lambda: here.core.effective.degraded)
            assert a.front.is_ready()  # it has served before, so it stays ready
            reply = json.loads(here.agree.view.status())
            assert reply["rules"]["mode"] == "doubtful" and "majority" in reply["rules"]["why"]
            assert a.front.driver.balancer.agreement.settings_uncertain
            # not retried: the attempt may have been executed
            assert (await a.ask(request("check"))).start.split()[1] == "500"
            assert len(stub.seen) == 1
            assert (await call(here, "/maintenance/exit", {"name": "s0"}))[0] == 503  # it may be banned
            status, reply = await call(here, "/settings/propose", {"settings": made_unsafe()})
            assert status in (409, 503) and reply["reason"]
            assert (await call(here, "/settings/alone"))[0] == 200
            await wait_until(lambda: here.core.effective.mode == "in force")
            for each in a.services:
                each.close()

    run(main())


def test_after_a_start_without_state_it_is_not_ready_until_informed_or_alone() -> None:
    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        one, two = nodes(stub, 2)
        async with one as a:
            here = service(a)
            here.started_at = here.now()
            assert a.front.driver.ready and not a.front.is_ready()
            here.started_at -= int(feature.STARTUP_WAIT_S * 1e9)
            # no other balancer is reached: it serves, doubtful
            assert a.front.is_ready() and here.core.effective.degraded
            here.started_at = here.now()
            async with two as b:
                await wait_until(a.front.is_ready)
                assert not here.core.effective.degraded
                for x in (*a.services, *b.services):
                    x.close()

    run(main())


@pytest.mark.parametrize("hup", ["refuse", "propose"])
def test_a_differing_file_is_logged_and_refused_or_proposed(hup: str) -> None:
    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        (one,) = nodes(stub, 1, hup=hup)
        async with one as a:
            here = service(a)
            await wait_until(lambda: all_act_on([here], 0))
            await call(here, "/settings/propose", {"settings": made_unsafe()})
            await wait_until(lambda: all_act_on([here], 1))
            assert a.given.peering is not None
            a.given = replace(a.given, peering=replace(a.given.peering, settings=WORDS))
            a.reload()
            assert here.core.effective.version == 1  # the agreed version stays in force
            ledger = a.front.driver.ledger
            assert (ledger.reloads, ledger.reloads_failed) == (0, 1) and "differs" in here.file_difference
            if hup == "propose":
                await wait_until(
                    lambda: all_act_on([here], here.core.store.state.rules.version)
                    and here.core.store.state.rules.version > 1
                )
            a.given = replace(
                a.given,
                peering=replace(a.given.peering, settings=made_unsafe() if hup == "refuse" else WORDS),
            )
            a.reload()
            assert ledger.reloads == 1 and here.file_difference == ""
            for each in a.services:
                each.close()

    run(main())


class Gate:
    """A send gate whose version changes after the given number of checks."""

    def __init__(self, changes: int) -> None:
        self.looks, self.changes = 0, changes

    def rules_stamp(self) -> int:
        self.looks += 1
        return 1 + (self.looks > self.changes)


@pytest.mark.parametrize("changes, outcome", [(9, Outcome.OK), (0, Outcome.NOT_SENT)])
def test_a_send_decided_under_an_older_version_is_not_made(changes: int, outcome: Outcome) -> None:
    """A process paused between decision and send, while it connects, may wake under a newer version."""

    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        pool, ends = make_pool(stub.address), list[AttemptResult]()
        pool.gate = Gate(changes)
        pool.start(
            1, lambda _: REQUEST, ends.append, SendTerms(time.monotonic_ns() + 20_000_000_000, stamp=1)
        )
        await wait_until(lambda: bool(ends))
        assert ends[0].outcome is outcome and len(stub.seen) == (outcome is Outcome.OK)

    run(main())


@pytest.mark.parametrize(
    "text, expected",
    [
        ("[versions]\nstage_s = 60.0\nstage_patience_s = 5.0", "no stage"),
        ("[versions]\nhup = 'ask'", "hup"),
        ("[versions]\nwords = 1", "words"),
    ],
)
def test_bad_options_are_reported_in_one_line(tmp_path: Path, text: str, expected: str) -> None:
    path = tmp_path / "f.toml"
    path.write_text(text + "\n")
    with pytest.raises(ConfigError, match=expected):
        features.load(str(path), True, None)


def test_it_is_not_imported_when_off() -> None:
    code = "import sys, dykeshift.node.__main__; sys.exit(any('versions' in name for name in sys.modules))"
    assert subprocess.run([sys.executable, "-c", code]).returncode == 0
