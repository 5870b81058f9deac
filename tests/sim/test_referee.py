"""Each rule of the checker: a violation that it finds, and the closest correct behaviour that it allows."""

from __future__ import annotations

from dykeshift.sim import referee as rules
from dykeshift.sim.referee import MS, Referee, Terms

SECOND = 1_000_000_000


class RefereeHarness(Referee):
    def __init__(self, excused: bool = False) -> None:
        super().__init__(Terms(), lambda *_: excused)
        self.now = 0

    def ask(self, rid: str = "r", kind: str = "unsafe", seconds: float = 1.0) -> None:
        self.asked(self.now, rid, rid, kind, "n0", self.now + int(seconds * SECOND))

    def send(
        self,
        rid: str = "r",
        sender: str = "s0",
        cell: int = 0,
        at: int = 0,
        connection: int = 1,
        address_reused: bool = False,
        balancer: str = "n0",
        change_visible: bool = False,
    ) -> None:
        self.written(
            at, rid, balancer, sender, cell, connection, 10.0, address_reused, lambda: change_visible
        )

    def broken_rules(self) -> list[str]:
        return [b.rule for b in self.breaches]


def test_an_answer_after_the_deadline_counts_as_lost() -> None:
    for late, want in ((0, []), (57, []), (59, [rules.LOST])):
        checker = RefereeHarness()
        checker.ask()
        checker.answered(SECOND + late * MS, "r", 500, "")
        assert checker.broken_rules() == want


def test_no_answer_counts_as_lost_unless_the_client_left_early_or_it_is_excused() -> None:
    for at, excused, want in (
        (SECOND // 2, False, []),
        (SECOND + 300 * MS, False, [rules.LOST]),
        (SECOND + 300 * MS, True, []),
    ):
        checker = RefereeHarness(excused)
        checker.ask()
        checker.gone(at, "r")
        assert checker.broken_rules() == want


def test_a_closed_connection_loses_a_request_that_was_sent_to_a_sender() -> None:
    for sent, want in ((False, []), (True, [rules.LOST])):
        checker = RefereeHarness()
        checker.ask()
        if sent:
            checker.send()
        checker.broken(100 * MS, "r", again=False)
        assert checker.broken_rules() == want


def test_a_second_answer_and_unexpected_bytes() -> None:
    checker = RefereeHarness()
    checker.ask()
    checker.answered(1, "r", 503, "")
    checker.answered(2, "r", 503, "")
    checker.extra(3, "n0", b"HTTP/1.1 200 OK")
    assert checker.broken_rules() == [rules.TWICE_ANSWERED] * 2


def test_only_the_answer_of_a_sender_to_this_request_serves_it() -> None:
    for body, want in (
        ("s0 did r\n", []),
        ("s0 did other\n", [rules.WRONG_ANSWER]),
        ("s9 did r\n", [rules.WRONG_ANSWER]),
        ("", [rules.WRONG_ANSWER]),
    ):
        checker = RefereeHarness()
        checker.ask()
        checker.send()
        checker.ran(5, "r", "r", "s0", False)
        checker.answered(10, "r", 200, body)
        assert checker.broken_rules() == want


def test_an_unsafe_request_is_retried_only_if_the_first_attempt_did_not_run() -> None:
    for kind, proved, want in (
        ("unsafe", True, []),
        ("unsafe", False, [rules.UNSAFE_AGAIN]),
        ("safe", False, []),
    ):
        checker = RefereeHarness()
        checker.ask(kind=kind)
        checker.send(connection=1)
        if proved:
            checker.disproved(1, "r")
        checker.send(sender="s1", at=10, connection=2)
        assert checker.broken_rules() == want


def test_a_proof_on_another_connection_does_not_allow_a_retry() -> None:
    checker = RefereeHarness()
    checker.ask()
    checker.send(connection=1)
    checker.disproved(7, "r")
    checker.send(sender="s1", at=10, connection=2)
    assert checker.broken_rules() == [rules.UNSAFE_AGAIN]


def test_a_keyed_request_stays_in_its_cell_and_window() -> None:
    window = Terms().window
    for cell, at, address_reused, want in (
        (0, window, False, []),
        (1, 10, False, [rules.KEYED_ASTRAY]),
        (0, window + 51 * MS, False, [rules.KEYED_ASTRAY]),
        (1, 10, True, []),
    ):
        checker = RefereeHarness()
        checker.ask(kind="keyed", seconds=60)
        checker.send()
        checker.send(sender="s1", cell=cell, at=at, connection=2, address_reused=address_reused)
        assert checker.broken_rules() == want


def test_an_attempt_at_a_reused_address_is_excused_until_the_balancer_that_sent_it_can_tell() -> None:
    for change_visible, repeated_by, want in (
        (False, "n0", []),
        (True, "n0", [rules.KEYED_ASTRAY]),
        (True, "n1", []),  # does not know what the other balancer has seen
    ):
        checker = RefereeHarness()
        checker.ask(kind="keyed", seconds=60)
        checker.send(address_reused=True, change_visible=change_visible)
        checker.send(sender="s1", cell=1, at=10, connection=2, balancer=repeated_by)
        assert checker.broken_rules() == want


def test_a_refusal_is_allowed_only_if_no_attempt_may_have_run() -> None:
    for kind, sent, want in (
        ("unsafe", False, []),
        ("unsafe", True, [rules.REFUSED_RUN]),
        ("keyed", True, [rules.REFUSED_RUN]),
        ("safe", True, []),
    ):
        checker = RefereeHarness()
        checker.ask(kind=kind)
        if sent:
            checker.send()
        checker.answered(100, "r", 503, "")
        assert checker.broken_rules() == want


def test_an_errand_takes_effect_once_over_all_its_tries() -> None:
    for kind, repeat, want in (
        ("unsafe", False, [rules.EFFECT_TWICE]),
        ("keyed", True, []),
        ("keyed", False, [rules.EFFECT_TWICE]),
        ("safe", False, []),
    ):
        checker = RefereeHarness()
        for rid in ("e-0", "e-1"):
            checker.asked(0, rid, "e", kind, "n0", SECOND)
            checker.send(rid)
        checker.ran(10, "e-0", "e", "s0", False)
        checker.ran(20, "e-1", "e", "s1", repeat)
        assert checker.broken_rules() == want


def test_no_new_request_to_a_draining_sender_after_the_grace_period() -> None:
    for at, want in ((299 * MS, []), (301 * MS, [rules.DRAIN])):
        checker = RefereeHarness()
        checker.told(0, "n0", "s0", False, False)
        checker.first_byte(at, "n0", "s0", "r")
        checker.first_byte(at, "n1", "s0", "r")  # n1 has not been told of the drain
        assert checker.broken_rules() == want


def test_an_instance_missing_from_a_full_list_is_gone() -> None:
    checker = RefereeHarness()
    checker.told(0, "n0", "s0", True, False)
    checker.told_whole(0, "n0", {"s0", "s1"})
    checker.told_whole(SECOND, "n0", {"s1"})
    checker.first_byte(2 * SECOND, "n0", "s1", "r")
    assert checker.broken_rules() == []
    checker.first_byte(2 * SECOND, "n0", "s0", "r")
    assert checker.broken_rules() == [rules.DRAIN]
    checker.reborn("n0")
    checker.first_byte(3 * SECOND, "n0", "s0", "r")
    assert checker.broken_rules() == [rules.DRAIN]


def test_an_overloaded_cold_sender_counts_if_informed_balancers_sent_two_thirds() -> None:
    for told, want in (("n0", [rules.COLD]), ("n1", [])):
        checker = RefereeHarness()
        checker.told(0, told, "s0", True, True)
        for n in range(3):
            checker.asked(0, f"r{n}", f"r{n}", "safe", "n0", SECOND)
            checker.send(f"r{n}")
        checker.fell(SECOND, "s0")
        assert checker.broken_rules() == want


def test_three_attempts_and_no_fourth() -> None:
    checker = RefereeHarness()
    checker.ask(kind="safe")
    for n in range(3):
        checker.send(connection=n)
    assert checker.broken_rules() == []
    checker.send(connection=9)
    assert checker.broken_rules() == [rules.ATTEMPTS]


def test_no_attempt_is_sent_after_the_answer() -> None:
    checker = RefereeHarness()
    checker.ask(kind="safe")
    checker.answered(100, "r", 500, "")
    checker.send(at=200)
    assert checker.broken_rules() == [rules.SENT_AFTER]


def test_a_request_that_is_given_up_is_answered_at_once() -> None:
    for answered, want in ((True, []), (False, [rules.HELD_BACK])):
        checker = RefereeHarness()
        checker.ask()
        checker.gave_up(100 * MS, "r")
        if answered:
            checker.answered(101 * MS, "r", 503, "")
        checker.step(139 * MS)
        assert checker.broken_rules() == []
        checker.step(141 * MS)
        checker.step(150 * MS)
        assert checker.broken_rules() == want


def test_an_attempt_without_a_client_request() -> None:
    checker = RefereeHarness()
    checker.send("ghost")
    assert checker.broken_rules() == [rules.FAULT]


def test_no_attempt_starts_for_a_client_that_has_left() -> None:
    for late, want in ((112, []), (113, [rules.GONE])):  # client_delay (12 ms) and client_gone_grace (100 ms)
        checker = RefereeHarness()
        checker.ask()
        checker.gone(10 * MS, "r")
        checker.begun((10 + late) * MS, "n0", "s0", "r")
        assert checker.broken_rules() == want


def test_a_listed_drain_must_be_known_six_seconds_after_discovery_is_reachable() -> None:
    checker = RefereeHarness()
    checker.reached = {"n0": 0, "n1": 2_000 * MS}.__getitem__
    checker.shown(1_000 * MS, "s0", False)
    for balancer, since in (("n0", 1_000), ("n1", 2_000)):
        checker.first_byte((since + 6_300) * MS, balancer, "s0", "r")
        assert not checker.broken_rules()
        checker.first_byte((since + 6_301) * MS, balancer, "s0", "r")
        assert checker.broken_rules() == [rules.DRAIN]
        checker.breaches.clear()
    checker.shown(9_000 * MS, "s0", True)
    checker.first_byte(20_000 * MS, "n0", "s0", "r")
    assert not checker.broken_rules()


def test_an_answer_reset_by_the_sender_failed_and_one_cut_by_the_balancer_is_lost() -> None:
    for spoilt, want in ((True, []), (False, [rules.LOST])):
        checker = RefereeHarness()
        checker.ask()
        checker.send()
        checker.broken(2, "r", again=False, spoilt=spoilt)
        assert checker.broken_rules() == want
