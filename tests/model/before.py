"""What the module did before the days at size: seeded defects for tests, the other side for the benchmark."""

from __future__ import annotations

from dykeshift.interface import Action, ListKind, ServerList, SetTimer
from dykeshift.rules import CERTAIN_CAPACITY_SHARE, MIN_POOL_SAMPLES, SAMPLE_SIZE, Balancer


class _Pausing(Balancer):
    """Repeats a failed watch after a pause of its own."""

    failures = 0

    def pause(self, now: int) -> float:
        raise NotImplementedError

    def on_list(self, now: int, update: ServerList) -> list[Action]:
        if update.kind is not ListKind.FAILED:
            return super().on_list(now, update)
        self.watch_open = False
        self.failures = min(self.failures + 1, 4)
        return [SetTimer("watch", now + int(self.pause(now) * (0.5 + 0.5 * self.random())))]


class Hasty(_Pausing):
    """After pauses that know nothing of what the call had waited."""

    def pause(self, now: int) -> float:
        return self.settings.ask_every * 0.03 * float(2 ** (self.failures - 1))


class Patient(_Pausing):
    """After four times what the call had waited, doubled each time, up to half of the time without asking."""

    def pause(self, now: int) -> float:
        first = max(self.settings.ask_every * 0.03, 4.0 * (now - self.watch_opened_at))
        return min(first * float(2 ** (self.failures - 1)), self.settings.ask_every * 0.5)


class Timid(Balancer):
    """Shares what a server carries among all balancers, also those that never draw from it."""

    def _instances_per_server(self, pool: int, ready: int) -> float:
        return self.settings.balancers


class Wide(Balancer):
    """Draws from all servers that it meets within an overload window."""

    def _rebuild_pool(self, now: int) -> None:
        super()._rebuild_pool(now)
        met = max(self.requests_per_window, 2 * self.arrived if self.sweeps < 2 else 0)
        self.pool = self.ready[: max(MIN_POOL_SAMPLES * SAMPLE_SIZE, int(met))]
        pool = set(self.pool)
        lacking = sum(1 - self._warmth(now, s) for s in self.cold if s in pool)
        self.pool_capacity = max(len(self.pool) - lacking, CERTAIN_CAPACITY_SHARE * len(self.pool), 1.0)
