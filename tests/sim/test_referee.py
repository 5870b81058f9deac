"""Each rule of the referee: the defect that it catches, and the nearest sound course that it lets pass."""

from __future__ import annotations

from dykeshift.sim import referee as rules
from dykeshift.sim.referee import MS, Referee, Terms

SECOND = 1_000_000_000


class Court(Referee):
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
        blind: bool = False,
    ) -> None:
        self.written(at, rid, "n0", sender, cell, connection, 10.0, blind)

    def broken_rules(self) -> list[str]:
        return [b.rule for b in self.breaches]


def test_an_answer_in_time_is_well_and_one_after_its_time_is_lost() -> None:
    for late, want in ((0, []), (57, []), (59, [rules.LOST])):
        court = Court()
        court.ask()
        court.answered(SECOND + late * MS, "r", 500, "")
        assert court.broken_rules() == want


def test_no_answer_is_lost_unless_the_client_left_before_its_time_or_something_excuses_it() -> None:
    for at, excused, want in (
        (SECOND // 2, False, []),
        (SECOND + 300 * MS, False, [rules.LOST]),
        (SECOND + 300 * MS, True, []),
    ):
        court = Court(excused)
        court.ask()
        court.gone(at, "r")
        assert court.broken_rules() == want


def test_a_connection_that_ends_loses_what_was_sent_on() -> None:
    for sent, want in ((False, []), (True, [rules.LOST])):
        court = Court()
        court.ask()
        if sent:
            court.send()
        court.broken(100 * MS, "r", again=False)
        assert court.broken_rules() == want


def test_a_second_answer_and_bytes_that_answer_nothing() -> None:
    court = Court()
    court.ask()
    court.answered(1, "r", 503, "")
    court.answered(2, "r", 503, "")
    court.extra(3, "n0", b"HTTP/1.1 200 OK")
    assert court.broken_rules() == [rules.TWICE_ANSWERED] * 2


def test_only_what_a_sender_made_for_this_request_serves_it() -> None:
    for body, want in (
        ("s0 did r\n", []),
        ("s0 did other\n", [rules.WRONG_ANSWER]),
        ("s9 did r\n", [rules.WRONG_ANSWER]),
        ("", [rules.WRONG_ANSWER]),
    ):
        court = Court()
        court.ask()
        court.send()
        court.ran(5, "r", "r", "s0", False)
        court.answered(10, "r", 200, body)
        assert court.broken_rules() == want


def test_an_unsafe_request_goes_again_only_where_the_first_is_proved_not_to_have_run() -> None:
    for kind, proved, want in (
        ("unsafe", True, []),
        ("unsafe", False, [rules.UNSAFE_AGAIN]),
        ("safe", False, []),
    ):
        court = Court()
        court.ask(kind=kind)
        court.send(connection=1)
        if proved:
            court.disproved(1, "r")
        court.send(sender="s1", at=10, connection=2)
        assert court.broken_rules() == want


def test_a_proof_on_another_connection_proves_nothing() -> None:
    court = Court()
    court.ask()
    court.send(connection=1)
    court.disproved(7, "r")
    court.send(sender="s1", at=10, connection=2)
    assert court.broken_rules() == [rules.UNSAFE_AGAIN]


def test_a_keyed_request_stays_in_its_rack_and_window() -> None:
    window = Terms().window
    for cell, at, blind, want in (
        (0, window, False, []),
        (1, 10, False, [rules.KEYED_ASTRAY]),
        (0, window + 51 * MS, False, [rules.KEYED_ASTRAY]),
        (1, 10, True, []),
    ):
        court = Court()
        court.ask(kind="keyed", seconds=60)
        court.send()
        court.send(sender="s1", cell=cell, at=at, connection=2, blind=blind)
        assert court.broken_rules() == want


def test_a_refusal_is_true_only_where_nothing_may_have_run() -> None:
    for kind, sent, want in (
        ("unsafe", False, []),
        ("unsafe", True, [rules.REFUSED_RUN]),
        ("keyed", True, [rules.REFUSED_RUN]),
        ("safe", True, []),
    ):
        court = Court()
        court.ask(kind=kind)
        if sent:
            court.send()
        court.answered(100, "r", 503, "")
        assert court.broken_rules() == want


def test_an_effect_happens_once_for_each_errand_whatever_its_tries_are_called() -> None:
    for kind, repeat, want in (
        ("unsafe", False, [rules.EFFECT_TWICE]),
        ("keyed", True, []),
        ("keyed", False, [rules.EFFECT_TWICE]),
        ("safe", False, []),
    ):
        court = Court()
        for rid in ("e-0", "e-1"):
            court.asked(0, rid, "e", kind, "n0", SECOND)
            court.send(rid)
        court.ran(10, "e-0", "e", "s0", False)
        court.ran(20, "e-1", "e", "s1", repeat)
        assert court.broken_rules() == want


def test_nothing_new_to_a_sender_after_the_grace() -> None:
    for at, want in ((299 * MS, []), (301 * MS, [rules.DRAIN])):
        court = Court()
        court.told(0, "n0", "s0", False, False)
        court.first_byte(at, "n0", "s0", "r")
        court.first_byte(at, "n1", "s0", "r")  # this one has been told nothing
        assert court.broken_rules() == want


def test_who_is_missing_from_a_whole_list_is_gone_and_who_is_listed_anew_is_not() -> None:
    court = Court()
    court.told(0, "n0", "s0", True, False)
    court.told_whole(0, "n0", {"s0", "s1"})
    court.told_whole(SECOND, "n0", {"s1"})
    court.first_byte(2 * SECOND, "n0", "s1", "r")
    assert court.broken_rules() == []
    court.first_byte(2 * SECOND, "n0", "s0", "r")
    assert court.broken_rules() == [rules.DRAIN]
    court.reborn("n0")
    court.first_byte(3 * SECOND, "n0", "s0", "r")
    assert court.broken_rules() == [rules.DRAIN]


def test_a_cold_sender_that_falls_counts_where_those_who_knew_sent_two_thirds() -> None:
    for told, want in (("n0", [rules.COLD]), ("n1", [])):
        court = Court()
        court.told(0, told, "s0", True, True)
        for n in range(3):
            court.asked(0, f"r{n}", f"r{n}", "safe", "n0", SECOND)
            court.send(f"r{n}")
        court.fell(SECOND, "s0")
        assert court.broken_rules() == want


def test_three_attempts_and_no_fourth() -> None:
    court = Court()
    court.ask(kind="safe")
    for n in range(3):
        court.send(connection=n)
    assert court.broken_rules() == []
    court.send(connection=9)
    assert court.broken_rules() == [rules.ATTEMPTS]


def test_nothing_goes_out_after_the_answer() -> None:
    court = Court()
    court.ask(kind="safe")
    court.answered(100, "r", 500, "")
    court.send(at=200)
    assert court.broken_rules() == [rules.SENT_AFTER]


def test_a_request_that_is_given_up_is_answered_at_once() -> None:
    for answered, want in ((True, []), (False, [rules.HELD_BACK])):
        court = Court()
        court.ask()
        court.gave_up(100 * MS, "r")
        if answered:
            court.answered(101 * MS, "r", 503, "")
        court.step(139 * MS)
        assert court.broken_rules() == []
        court.step(141 * MS)
        court.step(150 * MS)
        assert court.broken_rules() == want


def test_a_request_that_nobody_asked_for() -> None:
    court = Court()
    court.send("ghost")
    assert court.broken_rules() == [rules.FAULT]


def test_nothing_begins_for_a_client_that_left() -> None:
    for late, want in ((112, []), (113, [rules.GONE])):  # the way, and 100 ms
        court = Court()
        court.ask()
        court.gone(10 * MS, "r")
        court.begun((10 + late) * MS, "n0", "s0", "r")
        assert court.broken_rules() == want


def test_what_discovery_shows_counts_as_told_six_seconds_after_it_could_be_asked() -> None:
    court = Court()
    court.reached = {"n0": 0, "n1": 2_000 * MS}.__getitem__
    court.shown(1_000 * MS, "s0", False)
    for balancer, since in (("n0", 1_000), ("n1", 2_000)):
        court.first_byte((since + 6_300) * MS, balancer, "s0", "r")
        assert not court.broken_rules()
        court.first_byte((since + 6_301) * MS, balancer, "s0", "r")
        assert court.broken_rules() == [rules.DRAIN]
        court.breaches.clear()
    court.shown(9_000 * MS, "s0", True)
    court.first_byte(20_000 * MS, "n0", "s0", "r")
    assert not court.broken_rules()


def test_an_answer_that_its_sender_reset_has_failed_and_one_that_the_balancer_cut_is_lost() -> None:
    for spoilt, want in ((True, []), (False, [rules.LOST])):
        court = Court()
        court.ask()
        court.send()
        court.broken(2, "r", again=False, spoilt=spoilt)
        assert court.broken_rules() == want
