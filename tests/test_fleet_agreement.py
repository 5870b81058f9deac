"""What the fleet has agreed on, as an event of the module; in doubt nothing that may have run is repeated."""

from __future__ import annotations

from dataclasses import replace

import pytest

from dykeshift.interface import (
    AttemptEnd,
    Fail,
    Idempotency,
    Outcome,
    Refuse,
    Request,
    Scope,
    Send,
    FleetAgreement,
)
from dykeshift.rules import Balancer
from dykeshift.settings import restrict_repeats
from dykeshift.interface import ListKind, RequestClass, ServerList
from tests.harness import MS, entry, make_settings

SAFE, KEYED, UNSAFE = Idempotency.SAFE, Idempotency.KEYED, Idempotency.UNSAFE


def sends(actions: list[object]) -> list[Send]:
    return [a for a in actions if isinstance(a, Send)]


def end(request: str, attempt: int, server: int, outcome: Outcome) -> AttemptEnd:
    return AttemptEnd(request, attempt, server, outcome, 5 * MS, False)


def ask(balancer: Balancer, now: int, name: str = "r", number: int = 0) -> list[object]:
    return list(balancer.on_request(now, Request(name, number, now + 900 * MS)))


def klass(kind: Idempotency = SAFE, scope: Scope = Scope.ALL) -> RequestClass:
    return RequestClass("a", 400 * MS, 900 * MS, 1.0, 0.2, kind, scope, 300 * MS)


def warmed(kind: Idempotency = SAFE) -> Balancer:
    """A balancer with eight servers that have all answered something, so that it copies safe requests."""
    balancer = Balancer(make_settings(classes=(klass(kind),)), 1)
    balancer.on_list(0, ServerList(ListKind.FULL, tuple(entry(n) for n in range(8))))
    for server in balancer.servers.values():
        server.has_answered = True
    return balancer


def test_in_doubt_nothing_is_copied_and_nothing_that_may_have_run_is_sent_again() -> None:
    certain = warmed()
    assert len(sends(ask(certain, MS))) > 1
    doubtful = warmed()
    doubtful.on_fleet_agreement(0, FleetAgreement(settings_uncertain=True))
    first = sends(ask(doubtful, MS))
    assert len(first) == 1
    again = doubtful.on_attempt_end(2 * MS, end("r", 0, first[0].server, Outcome.RESET))
    # And the client is not told to retry.
    assert not sends(list(again)) and any(isinstance(a, Fail) for a in again)


def test_in_doubt_what_has_certainly_not_run_is_sent_again() -> None:
    doubtful = warmed(UNSAFE)
    doubtful.on_fleet_agreement(0, FleetAgreement(settings_uncertain=True))
    first = sends(ask(doubtful, MS))
    assert sends(list(doubtful.on_attempt_end(2 * MS, end("r", 0, first[0].server, Outcome.CONNECT_FAILED))))


def test_an_open_request_respects_stricter_new_terms() -> None:
    """Safe when it arrived, unsafe by now: a copy that was reset is not followed by another."""
    for narrow in (False, True):
        balancer = warmed()
        first = sends(ask(balancer, MS))
        new = replace(balancer.settings, classes=(replace(balancer.settings.classes[0], idempotency=UNSAFE),))
        balancer.on_settings(2 * MS, new, restrict_repeats if narrow else None)
        found: list[object] = []
        for number, one in enumerate(first):
            found += balancer.on_attempt_end(3 * MS, end("r", number, one.server, Outcome.RESET))
        assert bool(sends(found)) is not narrow


def test_excluded_servers_get_nothing_and_closed_classes_are_refused() -> None:
    balancer = warmed()
    others = frozenset(range(1, 8))
    balancer.on_fleet_agreement(0, FleetAgreement(excluded_servers=others))
    assert {s.server for n in range(20) for s in sends(ask(balancer, n * MS, f"r{n}"))} <= {0}
    balancer.on_fleet_agreement(
        30 * MS, FleetAgreement(closed_classes=frozenset({balancer.settings.classes[0].name}))
    )
    assert any(isinstance(a, Refuse) for a in ask(balancer, 31 * MS, "closed"))
    balancer.on_fleet_agreement(32 * MS, FleetAgreement(excluded_servers=frozenset(range(8))))
    assert any(isinstance(a, Refuse) for a in ask(balancer, 33 * MS, "none"))
    assert balancer.excluded_count(33 * MS) == 8


def test_preferred_servers_go_first_among_the_idle() -> None:
    met = []
    for preferred in (frozenset[int](), frozenset({3})):
        balancer, count = warmed(UNSAFE), 0
        balancer.on_fleet_agreement(0, FleetAgreement(preferred=preferred))
        for n in range(40):
            (sent,) = sends(ask(balancer, n * 900 * MS, f"r{n}"))
            count += sent.server == 3
            balancer.on_attempt_end((n * 900 + 5) * MS, end(f"r{n}", 0, sent.server, Outcome.OK))
        met.append(count)
    assert met[1] > 2 * met[0]


@pytest.mark.parametrize(
    "one, other, kind",
    [
        ((SAFE, Scope.ALL), (SAFE, Scope.ALL), SAFE),
        ((SAFE, Scope.ALL), (UNSAFE, Scope.ALL), UNSAFE),
        ((SAFE, Scope.ALL), (KEYED, Scope.ALL), UNSAFE),
        ((KEYED, Scope.ALL), (KEYED, Scope.CELL), KEYED),
        ((KEYED, Scope.ZONE), (KEYED, Scope.CELL), UNSAFE),
    ],
)
def test_restricted_terms_are_those_that_both_allow(
    one: tuple[Idempotency, Scope], other: tuple[Idempotency, Scope], kind: Idempotency
) -> None:
    a, b = klass(*one), replace(klass(*other), window=7)
    found = restrict_repeats(a, b)
    assert found.idempotency is kind is restrict_repeats(b, a).idempotency
    assert found.window == min(a.window, 7) or kind is UNSAFE
    assert restrict_repeats(found, a) == found
