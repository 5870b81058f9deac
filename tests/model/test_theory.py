"""The paper's closed forms against the paper's model played, and against textbook queues."""

from __future__ import annotations

import pytest

from dykeshift.model.laws import DOLLY, NONE, Constant, Hyperexponential
from dykeshift.model.sx import Setting, play
from dykeshift.model.theory import Riq, UnstableError

EXPONENTIAL = Hyperexponential((1.0,), (1.0,))
VARIED = Hyperexponential.balanced(1 / 4.7, 10.0)  # the paper's X: mean 1/4.7, squared variation 10


def test_the_laws_have_the_moments_that_the_paper_states() -> None:
    mean = DOLLY.moment(1, 1)
    assert sum(DOLLY.shares) == pytest.approx(1.0) and mean == pytest.approx(4.7, abs=0.02)
    assert DOLLY.moment(1, 2) - mean**2 == pytest.approx(9.5, abs=0.1)
    assert VARIED.mean == pytest.approx(1 / 4.7)
    assert VARIED.square / VARIED.mean**2 - 1 == pytest.approx(10.0)
    assert sum(share for _, share in DOLLY.least(5)) == pytest.approx(1.0)
    assert DOLLY.moment(5, 1) < DOLLY.moment(2, 1) < mean


def test_with_one_server_asked_it_is_an_m_g_1() -> None:
    # M/M/1: E[T] = 1 / (mu - lambda); its transform is (mu - lambda) / (mu - lambda + s).
    riq = Riq(0.6, 1, EXPONENTIAL, NONE)
    assert riq.load == pytest.approx(0.6) and riq.mean == pytest.approx(2.5)
    assert riq.transform(0.7) == pytest.approx(0.4 / 1.1)
    # M/D/1 by Pollaczek and Khinchine.
    assert Riq(0.5, 1, Constant(1.0), NONE).mean == pytest.approx(1.5)


def test_the_transform_has_the_mean_as_its_slope() -> None:
    for d in (1, 2, 5):
        riq, step = Riq(0.7, d, VARIED, DOLLY), 1e-5
        assert (1 - riq.transform(step)) / step == pytest.approx(riq.mean, rel=1e-3)


def test_the_bound_holds_and_is_the_mean_and_an_excess_at_d_1() -> None:
    for d in (1, 2, 5, 20):
        riq = Riq(0.7, d, VARIED, DOLLY)
        assert riq.mean < riq.bound
    riq = Riq(0.5, 1, Constant(1.0), NONE)
    assert riq.bound - riq.mean == pytest.approx(0.5)  # the mean excess of a constant 1


def test_what_has_no_steady_state_is_said() -> None:
    with pytest.raises(UnstableError, match="1.05"):
        Riq(1.05, 3, EXPONENTIAL, NONE)


@pytest.mark.parametrize(("rate", "d", "cancel"), [(0.3, 2, 0.0), (0.7, 5, 0.0), (0.5, 3, 0.1)])
def test_the_model_and_the_closed_forms_agree(rate: float, d: int, cancel: float) -> None:
    riq = Riq(rate, d, VARIED, DOLLY, cancel)
    got = play(Setting(400, rate, d, VARIED, DOLLY, cancel=cancel, jobs=120_000), seed=7)
    mean, half = got.mean()
    # Independence of idle servers is an assumption: 2% beside the interval (the paper: 1% at k = 1000).
    assert abs(mean - riq.mean) < half + 0.02 * riq.mean
    assert got.busy == pytest.approx(riq.load, rel=0.03)
    if not cancel:
        assert got.transform(1.0) == pytest.approx(riq.transform(1.0), rel=0.02)


def test_policies_see_the_same_jobs_and_riq_outlives_redundancy() -> None:
    times = {
        policy: play(Setting(100, 0.7, 20, VARIED, DOLLY, policy, jobs=20_000), seed=3).times.mean()
        for policy in ("riq", "redundancy", "random")
    }
    # At this rate twenty copies of each are more than the servers can do: its times grow without end.
    assert times["riq"] < times["random"] < times["redundancy"]
    again = play(Setting(100, 0.7, 20, VARIED, DOLLY, "riq", jobs=20_000), seed=3).times.mean()
    assert again == times["riq"]


def test_a_setting_that_cannot_be_played_is_said() -> None:
    with pytest.raises(ValueError, match="no policy 'best'"):
        Setting(10, 0.5, 2, VARIED, DOLLY, "best")
    with pytest.raises(ValueError, match="d is from 1"):
        Setting(10, 0.5, 11, VARIED, DOLLY)
