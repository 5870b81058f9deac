"""The model of the fleet: the same day for all, senders that do what is said of them, rules that bite."""

from __future__ import annotations

import pytest
from msgspec import convert
from msgspec.structs import replace

from dykeshift.model.chance import Chance
from dykeshift.model.day import Balancers, Class, Clients, Day, Discovery, Kind, Senders, Stretch, Trouble
from dykeshift.model.day import Work
from dykeshift.model.decider import Maker
from dykeshift.model.figures import Figures
from dykeshift.model.peers import PEERS
from dykeshift.model.world import World, play
from dykeshift.interface import Action, AttemptEnd, Fail, ListKind, Outcome, Refuse, Request, Send, ServerList
from dykeshift.interface import Settings
from dykeshift.rules import Balancer

SAFE = (Class(name="read", share=1.0, aim_ms=2000, deadline_ms=20_000),)
SHORT = (Stretch(seconds=4.0, load=0.5),)


class Simple:
    """Sends each request once, to the server of its number; what it does beside is the test's."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.servers: list[int] = []
        self.count = 0

    def on_start(self, now: int) -> list[Action]:
        return []

    def on_list(self, now: int, update: ServerList) -> list[Action]:
        if update.kind is not ListKind.DELTA:
            self.servers = [e.id for e in update.entries]
        return []

    def on_request(self, now: int, request: Request) -> list[Action]:
        self.count += 1
        return [Send(request.id, self.servers[self.count % len(self.servers)], 0)]

    def on_attempt_end(self, now: int, end: AttemptEnd) -> list[Action]:
        return [] if end.final else [Fail(end.request_id)]

    def on_client_gone(self, now: int, request_id: str) -> list[Action]:
        return []

    def on_timer(self, now: int, token: str) -> list[Action]:
        return []


def one_sender(load: float, discipline: str = "fcfs", law: str = "exponential") -> Day:
    shape = {"count": 1, "slots": 1, "queue": 100_000, "discipline": discipline, "zones": 1}
    work = {"law": law, "mean_ms": 10.0, "variation": 4.0}
    return Day(
        senders=convert(shape, Senders),
        balancers=Balancers(count=1),
        classes=SAFE,
        load=(Stretch(seconds=600, load=load),),
        work=convert(work, Work),
        warm_s=10,
    )


@pytest.mark.parametrize(
    ("discipline", "law", "mean_ms"),
    [
        # At load 0.6: M/M/1 10 / 0.4; M/D/1 by Pollaczek and Khinchine; sharing is insensitive to the law.
        ("fcfs", "exponential", 25.0),
        ("fcfs", "constant", 17.5),
        ("sharing", "constant", 25.0),
        ("sharing", "hyperexponential", 25.0),
    ],
)
def test_a_sender_is_the_queue_it_says_it_is(discipline: str, law: str, mean_ms: float) -> None:
    world = World(one_sender(0.6, discipline, law), Simple, seed=5)
    figures = world.run()
    taken = (world.errands.ended - world.errands.at) / 1e6
    assert figures.served == 1.0
    assert taken.mean() - 2 * 0.33 == pytest.approx(mean_ms, rel=0.05)  # less the ways
    assert figures.busy == pytest.approx(0.6, rel=0.02)


def test_the_same_day_comes_again_and_is_the_same_for_every_policy() -> None:
    troubles = (
        Trouble(kind="hang", at=1, seconds=1),
        Trouble(kind="roll", at=2, part=0.3, spread_s=1),
        Trouble(kind="lose", at=1, seconds=2, size=0.2),
    )
    day = Day(
        load=SHORT,
        work=Work(law="pareto", slowdown="dolly"),
        troubles=troubles,
        clients=Clients(retries=2, impatient=0.1),
    )
    first, second = World(day, Balancer, 3), World(day, Balancer, 3)
    assert first.run().again() == second.run().again()
    other = World(day, PEERS["random"], 3)
    assert other.arrivals == first.arrivals and other.sizes == first.sizes and other.klass == first.klass
    assert other.run().again() != first.run().again()
    longer = replace(day, work=Work(mean_ms=31))  # a part changes, the others stay
    assert Chance(longer, 3).classes(50) == Chance(day, 3).classes(50)
    assert World(day, Balancer, 4).arrivals != first.arrivals


@pytest.mark.parametrize(
    "trouble",
    [
        Trouble(kind="restart", at=1, part=0.3),
        Trouble(kind="roll", at=1, part=1.0, spread_s=2),
        Trouble(kind="kill", at=1, part=0.3),
        Trouble(kind="hang", at=1, seconds=1, part=0.5),
        Trouble(kind="pause", at=1, seconds=0.2, part=1.0),
        Trouble(kind="refuse", at=1, seconds=1),
        Trouble(kind="slow", at=1, seconds=2, size=10, part=0.2),
        Trouble(kind="flood", at=1, seconds=1, size=4),
        Trouble(kind="errors", at=1, seconds=2, size=0.5, part=0.5),
        Trouble(kind="lose", at=1, seconds=2, size=0.5, part=0.5),
        Trouble(kind="balancer-restart", at=1, seconds=1, part=1.0),
        Trouble(kind="balancer-gone", at=1, part=0.3),
    ],
    ids=lambda t: str(t.kind),
)
@pytest.mark.parametrize("discipline", ["fcfs", "sharing"])
def test_every_rule_holds_in_every_trouble(trouble: Trouble, discipline: str) -> None:
    senders = Senders(discipline=discipline, kinds=(Kind(share=0.3, speed=0.4),))  # type: ignore[arg-type]
    late = Trouble(kind="discovery-late", at=0.5, seconds=3, size=1.5)
    day = Day(senders=senders, load=SHORT, clients=Clients(retries=2), troubles=(trouble, late), warm_s=1.0)
    figures = play(day, Balancer, 11)
    assert not figures.breaches, figures.first_breaches
    assert figures.served > 0.5


class Herd(Simple):
    """Everything to the newest server: no cold one outlives it."""

    def on_list(self, now: int, update: ServerList) -> list[Action]:
        newest = max(update.entries, key=lambda e: e.started)
        self.servers = [newest.id]
        return []


class Stubborn(Simple):
    """Sends again whatever happens, also to who drains, and says that it refused."""

    def on_attempt_end(self, now: int, end: AttemptEnd) -> list[Action]:
        if end.attempt >= 3:
            return [Refuse(end.request_id)]
        return [Send(end.request_id, (end.server + 1) % len(self.servers), 0)]


class Silent(Simple):
    """Never answers what it got no answer for, and answers some twice."""

    def on_attempt_end(self, now: int, end: AttemptEnd) -> list[Action]:
        return [Fail(end.request_id)]


@pytest.mark.parametrize(
    ("make", "rules"),
    [
        (Herd, {"cold"}),
        (Stubborn, {"unsafe-again", "keyed-astray", "attempts", "drain", "refused-run"}),
        (Silent, {"answered-twice"}),
    ],
)
def test_what_breaks_a_rule_is_seen(make: Maker, rules: set[str]) -> None:
    day = Day(
        load=(Stretch(seconds=6.0, load=0.5),),
        discovery=Discovery(every_s=0.1, late_s=0.1),
        troubles=(
            Trouble(kind="roll", at=0.5, part=0.2),
            Trouble(kind="errors", at=0, seconds=6, size=0.5, part=1.0),
        ),
    )
    assert rules <= set(play(day, make, 2).breaches)


def test_a_cold_sender_counts_its_budget_and_falls() -> None:
    day = Day(
        senders=Senders(count=2),
        balancers=Balancers(count=1),
        load=(Stretch(seconds=8, load=0.7),),
        discovery=Discovery(every_s=0.01, late_s=0),
        troubles=(Trouble(kind="restart", at=0.5, part=0.5),),
    )
    herd = play(day, Herd, 1)
    assert herd.fell == 1 and herd.cold_peak > 1 and herd.served < 0.5
    kept = play(day, Balancer, 1)
    assert kept.fell == 0 and 0 < kept.cold_use < kept.cold_peak < 1


def test_reports_are_as_old_as_told() -> None:
    seen: list[tuple[int, AttemptEnd]] = []

    class Reader(Simple):
        def on_attempt_end(self, now: int, end: AttemptEnd) -> list[Action]:
            seen.append((now, end))
            return super().on_attempt_end(now, end)

    senders = Senders(count=1, report_age_ms=500, report_noise=0, zones=1)
    play(Day(senders=senders, balancers=Balancers(count=1), load=SHORT), Reader, 1)
    reports = [e.report for _, e in seen if e.outcome is Outcome.OK]
    assert all(r is not None and r.utilization is not None and 0 <= r.utilization <= 1 for r in reports)
    assert 6 <= len({id(r) for r in reports}) <= 9  # 4 s and the drain, one each half second


@pytest.mark.parametrize(
    ("changes", "said"),
    [
        ({"classes": (SAFE[0], SAFE[0])}, "do not add up"),
        ({"warm_s": 9.0, "load": SHORT}, "warm_s"),
        ({"senders": Senders(kinds=(Kind(share=0.7, speed=1), Kind(share=0.7, speed=2)))}, "more than 1"),
    ],
)
def test_a_day_that_cannot_be_played_is_said(changes: dict[str, object], said: str) -> None:
    with pytest.raises(ValueError, match=said):
        Day(**changes)  # type: ignore[arg-type]


def grid() -> list[tuple[int, int, float]]:
    return [(14, 4, 0.6), (14, 4, 1.3), (100, 16, 0.6), (100, 64, 0.6)]


@pytest.mark.parametrize(("senders", "balancers", "load"), grid())
def test_a_small_grid(senders: int, balancers: int, load: float) -> None:
    """What the whole grid (benchmarks/fleet.py) shows, in seconds: rules, and no refusal without need."""
    day = Day(
        senders=Senders(count=senders),
        balancers=Balancers(count=balancers),
        load=(Stretch(seconds=5.0 if senders < 100 else 3.0, load=load),),
        warm_s=1.0,
    )
    figures: Figures = play(day, Balancer, 1)
    assert not figures.breaches
    if load < 0.7:
        assert figures.refusals < 0.002 and figures.in_aim > 0.99
    else:
        assert figures.worth > 0.5
