"""After which idle time connections to upstreams turn out dead. Sans-I/O."""

from __future__ import annotations

# A connection is not reused after an idle time at which this share of the reuses has failed, with so many
# successful reuses added to the observed ones: some connections break at any age, and a new one costs, too.
MAX_BREAK_RATE, PRIOR_REUSES = 0.15, 10
DECAY = 0.9  # factor on the counts at each call of `decay`


class Staleness:
    """After which idle time reused connections turn out dead, in buckets of powers of two of a millisecond.

    Upstreams, or middleboxes before them, may drop idle connections long before the keepalive time that they
    state. A request written to such a connection ends as a reset, after which an unsafe one cannot be
    retried.
    """

    def __init__(self) -> None:
        self.reuses, self.broken = [0.0] * 20, [0.0] * 20

    @staticmethod
    def _bucket(idle: float) -> int:
        return min(int(idle * 1000).bit_length(), 19)

    def record_reuse(self, idle: float, broke: bool) -> None:
        """Count a reuse after so many idle seconds, and whether the connection broke without an answer."""
        bucket = self._bucket(idle)
        self.reuses[bucket] += 1
        self.broken[bucket] += broke

    def may_reuse(self, idle_s: float) -> bool:
        """Whether reuse is safe enough after this idle time, and after all shorter ones."""
        return all(
            self.broken[n] < MAX_BREAK_RATE * (self.reuses[n] + PRIOR_REUSES)
            for n in range(self._bucket(idle_s) + 1)
        )

    def decay(self) -> None:
        """Age the counts: an idle time that is avoided gives no data, so it is tried again in seconds."""
        for counts in (self.reuses, self.broken):
            counts[:] = [count * DECAY for count in counts]
