"""Complete runs: a few hundred seeds break no rule, kept scenarios stay fixed, replays are identical."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from dykeshift.sim.day import play
from dykeshift.sim.runner import play_all
from dykeshift.sim.scenario import Ask, Fault, Options, Scenario, draw, load
from dykeshift.sim.shrink import NoViolationError, Shrinker
from tests.sim.mutants import BY_NAME, caught

KEPT_IN = Path(__file__).parent / "kept"
KEPT = sorted(KEPT_IN.glob("*.json"))


def test_fixed_seeds_break_no_rule() -> None:
    seeds = [str(seed) for seed in range(240)]
    failed = [f"{p.seed}: {p.first}" for p in play_all(seeds, os.cpu_count() or 1) if p.rules]
    assert not failed, "\n".join(failed)


@pytest.mark.parametrize("path", KEPT, ids=lambda path: path.stem)
def test_kept_scenarios_break_no_rule(path: Path) -> None:
    result = play(load(path.read_text(encoding="utf-8")))
    assert not result.breaches, result.breaches[0]


def test_scenarios_with_clinics_break_no_rule() -> None:
    seeds = [f"{seed}+mllp" for seed in range(80)]
    failed = [f"{p.seed}: {p.first}" for p in play_all(seeds, os.cpu_count() or 1) if p.rules]
    assert not failed, "\n".join(failed)


def test_scenarios_with_operators_break_no_rule() -> None:
    seeds = [f"{seed}+ops" for seed in range(120)]
    failed = [f"{p.seed}: {p.first}" for p in play_all(seeds, os.cpu_count() or 1) if p.rules]
    assert not failed, "\n".join(failed)


def test_cold_senders_with_many_balancers_break_no_rule() -> None:
    seeds = [f"{seed}+cold" for seed in range(8)]
    failed = [f"{p.seed}: {p.first}" for p in play_all(seeds, os.cpu_count() or 1) if p.rules]
    assert not failed, "\n".join(failed)


def test_terminations_of_balancers_break_no_rule() -> None:
    seeds = [f"{seed}+ends" for seed in range(120)]
    failed = [f"{p.seed}: {p.first}" for p in play_all(seeds, os.cpu_count() or 1) if p.rules]
    assert not failed, "\n".join(failed)


def test_messages_of_a_class_that_becomes_unsafe_break_no_rule() -> None:
    seeds = [f"{seed}+stricter" for seed in range(60)]
    failed = [f"{p.seed}: {p.first}" for p in play_all(seeds, os.cpu_count() or 1) if p.rules]
    assert not failed, "\n".join(failed)


def test_replacements_at_addresses_break_no_rule() -> None:
    seeds = [f"{seed}+replaced" for seed in range(80)]
    failed = [f"{p.seed}: {p.first}" for p in play_all(seeds, os.cpu_count() or 1) if p.rules]
    assert not failed, "\n".join(failed)


def test_long_answers_on_old_connections_break_no_rule() -> None:
    seeds = [f"{seed}+aged" for seed in range(40)]
    failed = [f"{p.seed}: {p.first}" for p in play_all(seeds, os.cpu_count() or 1) if p.rules]
    assert not failed, "\n".join(failed)


def test_all_requests_are_served_without_faults() -> None:
    asks = tuple(Ask(0.5 + n / 20, n % 3, 1.0, 20) for n in range(100))
    result = play(Scenario("quiet", Options(), asks))
    assert not result.breaches and result.figures["served"] == 100


def test_replays_are_identical_in_other_processes_and_for_other_hash_seeds() -> None:
    here = {seed: play(draw(seed)).digest for seed in ("11", "12", "13")}
    script = "import sys\nfrom dykeshift.sim.runner import play_seed\nprint(play_seed(sys.argv[1]).digest)"
    for number, (seed, digest) in enumerate(here.items()):
        env = {**os.environ, "PYTHONHASHSEED": str(number * 1000 + 1)}
        done = subprocess.run(
            [sys.executable, "-c", script, seed], env=env, capture_output=True, text=True, check=True
        )
        assert done.stdout.strip() == digest


def test_scenarios_that_differ_in_one_value_have_different_digests() -> None:
    one = Scenario("same", Options(), (Ask(0.5, 0, 1.0, 20),))
    other = Scenario("same", Options(), (Ask(0.5, 0, 1.0, 21),))
    assert play(one).digest == play(one).digest != play(other).digest


def test_shrinking_keeps_the_broken_rule_and_removes_unrelated_parts() -> None:
    asks = tuple(Ask(0.5 + n / 10, n % 3, 1.0, 20) for n in range(12))
    scenario = Scenario(
        "s",
        Options(balancers=1, senders=3),
        asks,
        (Fault("slow", 0.2, 1.0, 1, 3.0), Fault("drain", 1.0, 2.0, 1)),
    )
    with BY_NAME["serves the answer before"].applied():
        found = Shrinker(scenario, None, 60).run()
        again = play(load(found.scenario.dump()))
    assert found.rule == "wrong-answer" == again.breaches[0].rule
    assert not found.scenario.faults and len(found.scenario.asks) == 2 and found.plays <= 60
    with pytest.raises(NoViolationError):
        Shrinker(scenario, None, 60).run()


# ---- hard cases, each as a scenario of its own; the seeds vary the order of simultaneous events ----


def check_hard_case(name: str, faults: tuple[Fault, ...], asks: tuple[Ask, ...], **options: object) -> None:
    options_of_fleet = Options(**{"grid_us": 1000, "callback_us": 0, **options})  # type: ignore[arg-type]
    for seed in range(6):
        result = play(Scenario(f"{name}-{seed}", options_of_fleet, asks, faults))
        assert not result.breaches, f"{name}-{seed}: {result.breaches[0]}"


STEADY_REQUESTS = tuple(Ask(round(0.3 + n * 0.02, 3), n % 3, 0.2 if n % 4 else 0.5, 20) for n in range(150))


def test_a_balancer_restarts_with_a_stale_list_whose_addresses_have_new_owners() -> None:
    check_hard_case(
        "stale",
        (
            Fault("lose", 0.5, 4.0, 900, 0.5),
            Fault("kill-balancer", 1.0, 0.3, 0, 1.0),
            Fault("discovery-slow", 1.0, 2.0, 0, 1.5),
        ),
        STEADY_REQUESTS,
        balancers=1,
        racks=3,
        senders=6,
    )


def test_a_reset_between_the_last_body_byte_and_its_acknowledgement() -> None:
    check_hard_case(
        "reset", (Fault("cut-stream", 0.4, 3.0), Fault("cut-answer", 0.4, 3.0, 1)), STEADY_REQUESTS, tear=0.5
    )


def test_a_client_leaves_around_the_time_of_the_answer() -> None:
    asks = tuple(
        Ask(round(0.3 + n * 0.02, 3), 0, 0.5, 20, leaves=0.02 + 0.001 * (n % 12)) for n in range(150)
    )
    check_hard_case("cancel", (), asks)


def test_sigterm_in_the_middle_of_a_reload() -> None:
    for size in (0.0, 0.1, 0.2, 1.0):
        check_hard_case(
            f"reload{size}", (Fault("reload-and-term", 1.0, 1.0, 0, size),), STEADY_REQUESTS, balancers=2
        )


def test_time_out_and_answer_in_the_same_instant() -> None:
    asks = tuple(Ask(round(0.3 + n * 0.02, 3), n % 3, 0.15 + 0.001 * (n % 20), 100) for n in range(150))
    check_hard_case("instant", (), asks, senders=8)


def test_a_deadline_passes_while_the_connect_is_pending() -> None:
    asks = tuple(Ask(round(0.3 + n * 0.02, 3), n % 3, 0.05 + 0.005 * (n % 20), 20) for n in range(150))
    faults = tuple(Fault("vanish-sender", 0.4 + 0.1 * n, 3.0, n, 1.0) for n in (1, 2))
    check_hard_case("pending", faults, asks, keepalive=1.0)


# ---- seeded defects, with a seed that exposes each; `python -m tests.sim.mutants` searches for seeds ----

FOUND: dict[str, str] = {
    "answers a client twice": "0",
    "holds refusals back for 100 ms": "0",
    "says nothing where the module fails a request": "0",
    "forgets the drain check": "2",
    "begins for clients whose close is unread": "24",
    "takes no waiting output for no progress": "0+aged",
    "cuts answers that have begun": "0+aged",
    "keeps what waits for clients that have gone": "1725",
    "asks discovery anew after long pauses": "16+watches",
    "keeps who is missing from a whole list": "391",
    "takes a reset for a proof": "0",
    "takes a time-out for a proof": "0",
    "takes resets and errors for proofs": "0",
    "takes a 500 for a proof": "5",
    "tries unsafe requests twice": "0",
    "repeats keyed requests in any rack": "11",
    "trusts every connection to an address": "0+replaced",
    "forgets attempts under way at a late sign": "157+replaced",
    "repeats keyed requests at any time": "0",
    "trusts the racks of a list from before": "328",
    "believes in two senders at one address": "1210",
    "sends to the newest first, cold or not": "0",
    "refuses whatever it gives up": "0",
    "makes a fourth attempt": "0",
    "never expires": "0",
    "counts a request's time from its reading": "10",
    "ends at once on SIGTERM": "14",
    "counts an end from each request's arrival": "0+ends",
    "ends at the kill, with nothing in reserve": "0+ends",
    "counts deadlines over three seconds whole": "0+ends",
    "tells each upstream the class's deadline": "0",
    "leaks idle connections of drained senders": "10",
    "leaks the jobs of retries": "0",
    "does not hear that a client has gone": "46",
    "counts answered connections wrong": "0",
    "keeps copies that are never answered": "133",
    "reuses connections that brought too much": "119",
    "serves the answer before": "0",
    "sends what waited for a connect after the answer": "728",
    "never watches again after a failure": "7",
    "stays at the old discovery": "3",
    "keeps a crowd in mind that has gone": "46",
    "asks for timers that fire early": "2",
    "raises in one of fifty timers": "1",
    "ignores the cold budget": "1+cold",
    "forgets what it answered": "2+mllp",
    "keeps the classes of the start": "6+stricter",
    "sends what the journal does not have": "9+mllp",
    "takes a start without a journal for a first one": "53+mllp",
    "rejects what failed": "0+mllp",
    "answers a frame twice": "0+mllp",
    "answers frames as it comes, not in their order": "1+mllp",
    "trusts a connection that answered out of step": "2+mllp",
    "takes an AE for a proof": "48+mllp",
    "answers only the first who waits": "0+mllp",
    "hangs up on a drain": "5+mllp",
    "takes acceptance for the end": "2+mllp",
    "lets an answer wait for the disk": "113+mllp",
    "never begins a failed journal anew": "24+mllp",
    "counts a message's time from its reading": "10+mllp",
    "forgets a ban on a new list": "6+ops",
    "says yes before the ban is in force": "1+ops",
    "notes a ban and goes on": "0+ops",
    "ends a ban when the list tells of its upstream": "6+ops",
    "closes connections with requests in a drain": "0+ops",
    "keeps idle connections in a standby": "74+ops",
    "is never active again": "3+ops",
    "looks a class up anew after new settings": "2+ops",
    "takes a class without a group for one that holds everywhere": "91+ops",
    "takes half a file": "7+ops",
    "counts attempts that are only begun": "0+ops",
    "counts refusals as failures": "0+ops",
    "counts the served twice": "0+ops",
}


@pytest.mark.parametrize("name", list(FOUND))
def test_a_seeded_defect_is_found(name: str) -> None:
    seed = FOUND[name]
    assert caught(name, draw(seed))


def test_every_seeded_defect_has_its_seed() -> None:
    assert set(FOUND) == set(BY_NAME)
