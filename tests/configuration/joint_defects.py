"""Defects put into the end of joint phases on purpose; test_joint_defects has what finds them."""

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


def _any_history(self: Coordinator, report: FenceReport) -> None:
    self.fences[report.number] = max(report.fenced, self.fences.get(report.number, 0))


def _fenced_at_what_it_has(self: Replica, now: int) -> None:
    """What a replica has committed itself, whatever leases it has granted."""
    self.fenced = max(self.fenced, self.source.version)


def _waits_since_it_began(self: Coordinator, now: int) -> None:
    """Not since the joint phase was seen, but since the transaction was."""
    before = dict(self.seen)
    _look(self, now)
    for ident, (since, _) in self.seen.items():
        if ident in before:
            self.seen[ident] = since, before[ident][1]


def _never_by_time(self: Coordinator, now: int, ident: int, pending: Pending) -> bool:
    return self.fenced() >= pending.since


def _touches_nothing(self: Waiting, other: Waiting) -> bool:
    return False


_look = Coordinator.look

JOINT_DEFECTS: dict[str, Defect] = {
    "one fence is enough": patched(Coordinator, "fenced", _one_fence_is_enough),
    "a majority of fences is enough": patched(Coordinator, "fenced", _majority_of_fences),
    "silent replicas do not count": patched(Coordinator, "fenced", _silent_replicas_do_not_count),
    "fences of another history count": patched(Coordinator, "on_fence", _any_history),
    "a replica fenced at what it has": patched(Replica, "_advance_fence", _fenced_at_what_it_has),
    "half a lease waited": patched(CoordinatorOptions, "lease_wait", property(lambda self: self.lease // 2)),
    "waited since the beginning": patched(Coordinator, "look", _waits_since_it_began),
    "never by time": patched(Coordinator, "_joint_is_over", _never_by_time),
    "proposed out of order": patched(Waiting, "touches", _touches_nothing),
}
