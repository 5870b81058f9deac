"""Defects injected into the end of joint phases; test_joint_defects lists the tests that detect them."""

from __future__ import annotations


from dykeshift.configuration.coordinator import Coordinator, CoordinatorOptions, FenceReport
from dykeshift.configuration.queue import Waiting
from dykeshift.configuration.replica import Replica
from dykeshift.configuration.transactions import Pending
from tests.seeded import Defect, patched


def _one_fence_is_enough(self: Coordinator) -> int:
    return max(self.fences.values(), default=0)


def _silent_replicas_do_not_count(self: Coordinator) -> int:
    return min(self.fences.values(), default=0)


def _majority_of_fences(self: Coordinator) -> int:
    reported = sorted((self.fences.get(number, 0) for number in self.replicas), reverse=True)
    return reported[len(reported) // 2]


def _accepts_any_history(self: Coordinator, report: FenceReport) -> None:
    self.fences[report.number] = max(report.fenced, self.fences.get(report.number, 0))


def _fences_own_version(self: Replica, now: int) -> None:
    """Sets the fence to the replica's own version, regardless of the leases that it has granted."""
    self.fenced = max(self.fenced, self.source.version)


def _waits_from_the_start(self: Coordinator, now: int) -> None:
    """Measures the wait from when the transaction was first seen, not its joint phase."""
    before = dict(self.seen)
    _look(self, now)
    for ident, (since, _) in self.seen.items():
        if ident in before:
            self.seen[ident] = since, before[ident][1]


def _never_times_out(self: Coordinator, now: int, ident: int, pending: Pending) -> bool:
    return self.fenced() >= pending.since


def _never_conflicts(self: Waiting, other: Waiting) -> bool:
    return False


_look = Coordinator.look

JOINT_DEFECTS: dict[str, Defect] = {
    "one fence is enough": patched(Coordinator, "fenced", _one_fence_is_enough),
    "a majority of fences is enough": patched(Coordinator, "fenced", _majority_of_fences),
    "silent replicas do not count": patched(Coordinator, "fenced", _silent_replicas_do_not_count),
    "fences of another history count": patched(Coordinator, "on_fence", _accepts_any_history),
    "a replica fenced at what it has": patched(Replica, "_advance_fence", _fences_own_version),
    "half a lease waited": patched(CoordinatorOptions, "lease_wait", property(lambda self: self.lease // 2)),
    "waited since the beginning": patched(Coordinator, "look", _waits_from_the_start),
    "never by time": patched(Coordinator, "_joint_is_over", _never_times_out),
    "proposed out of order": patched(Waiting, "touches", _never_conflicts),
}
