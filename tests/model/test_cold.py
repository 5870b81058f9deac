"""The cold budget at size: many balancers before few senders, where ignoring it pushes cold ones over.

At the sizes of the simulation's days rooms and patience alone keep a cold sender up, so that only a defect as
gross as sending to the newest first was caught there; here each way of getting the budget wrong is.
"""

from __future__ import annotations

import pytest

from dykeshift import rules
from dykeshift.model.day import Balancers, Clients, Day, Senders, Stretch, Trouble
from dykeshift.model.decider import Maker
from dykeshift.model.world import play
from dykeshift.rules import Balancer, Server

DAY = Day(
    senders=Senders(count=10, queue=400),
    balancers=Balancers(count=300),
    clients=Clients(retries=2),
    load=(Stretch(seconds=4.5, load=0.95),),
    warm_s=0.5,
    troubles=(Trouble(kind="restart", at=1.0, part=0.4),),
)


class Ignores(Balancer):
    """Ignores the cold budget."""

    def _within_cold_budget(self, now: int, server: Server) -> bool:
        return True


class Alone(Balancer):
    """Counts the budget for itself alone: as many attempts a window as all together may send."""

    def _within_cold_budget(self, now: int, server: Server) -> bool:
        if not self._cold(now, server):
            return True
        if server.credited_at_request != self.sweeps:
            each = (
                self.requests_per_window
                * self.settings.balancers
                / max(1, len(self.pool))
                * rules.SWEEP_WINDOW_SHARE
            )
            server.credit = self.settings.overload_multiple * self._warmth(now, server) * each
            server.credited_at_request = self.sweeps
        return server.credit >= 1


class Early(Balancer):
    """Takes a cold server for warm early."""

    def _cold(self, now: int, server: Server) -> bool:
        return server.entry.started > 0 and now < server.entry.started + self.settings.cold_time // 8


def test_the_module_keeps_cold_senders_up_where_it_is_tight() -> None:
    figures = play(DAY, Balancer, 1)
    assert not figures.breaches and 0 < figures.cold_use < figures.cold_peak < 0.9


@pytest.mark.parametrize("defect", [Ignores, Alone, Early], ids=lambda d: str(d.__name__))
def test_each_way_to_get_the_budget_wrong_pushes_one_over(defect: Maker) -> None:
    assert play(DAY, defect, 1).breaches.get("cold", 0) > 0


@pytest.mark.parametrize(
    ("limit", "least", "most"), [(1, 0.02, 0.1), (20, 0.35, 0.45), (86, 0.55, 0.7), (1e9, 0.7, 0.7)]
)
def test_what_is_used_of_the_budget_leaves_room_for_chance(limit: float, least: float, most: float) -> None:
    used = Balancer._usable_budget_share(limit)
    assert least <= used <= most
    if used < rules.MAX_BUDGET_SHARE:
        assert used + rules.WORK_DEVIATIONS * (used / limit) ** 0.5 == pytest.approx(1.0)
