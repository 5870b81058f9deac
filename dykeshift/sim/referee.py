"""The checker: checks the rules from outside, by what clients, senders, discovery and the network observed.

Theory of operation. The checker receives observations with their time in nanoseconds. For each request id it
keeps the attempts that were written completely to a sender, and which of them were proved not to have run by
an answer that had arrived back. Each method checks at once the rules that its observation can break; `step`
checks the rules that are broken by the passing of time alone. A broken rule is a `Breach`: the rule's name,
the time, and a line of text.

One observation comes from inside the balancer: when the decision module gave a request up (an action of
interface.py, recorded where the module is called). The rule that such a request is answered at once cannot be
checked from outside.

`excuse` says what is not the balancer's fault: it was killed, its machine was stalled over the deadline, or
the link between client and balancer was down.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

MS = 1_000_000

LOST = "lost"  # no final answer in time, or a connection ended without one
TWICE_ANSWERED = "answered-twice"
WRONG_ANSWER = "wrong-answer"  # not the answer that a sender gave to this request
UNSAFE_AGAIN = "unsafe-again"  # an unsafe request sent again although it may have run
KEYED_ASTRAY = "keyed-astray"  # a keyed request sent again outside its rack or its window
REFUSED_RUN = "refused-run"  # refused although it may have run
EFFECT_TWICE = "effect-twice"
DRAIN = "drain"  # a new request to a sender that the balancer knew to be draining, gone or restarted
COLD = "cold"  # a cold sender was overloaded
ATTEMPTS = "attempts"  # more than the limit
SENT_AFTER = "sent-after-answer"
HELD_BACK = "held-back"  # a request that was given up and not answered at once
BAN = "ban"  # a new request to a banned sender, after the ban was confirmed and the grace period over
DRAINED = "drained"  # an idle connection kept long after a standby, or new clients accepted
FIGURES = "figures"  # metrics that contradict what was observed
CONSOLE = "console"  # a console call answered late or wrongly
REJECTED = "rejected"  # a valid request of a class that the settings in force have
DEADLINE = "deadline-told"  # the deadline sent upstream is longer than the client's remaining time
GONE = "client-gone"  # an attempt starts for a client that has disconnected
LEAK = "leak"  # resources in use on an idle balancer
NOT_SERVED_AGAIN = "not-served-again"
VIEW = "view"  # a bound of a balancer's view of the fleet is wrong, or a view does not settle again
FAULT = "fault"  # an uncaught exception, or a process that exited without being told to
RULES = (
    LOST,
    TWICE_ANSWERED,
    WRONG_ANSWER,
    UNSAFE_AGAIN,
    KEYED_ASTRAY,
    REFUSED_RUN,
    EFFECT_TWICE,
    DRAIN,
    COLD,
    ATTEMPTS,
    SENT_AFTER,
    HELD_BACK,
    BAN,
    DRAINED,
    FIGURES,
    CONSOLE,
    REJECTED,
    DEADLINE,
    GONE,
    LEAK,
    NOT_SERVED_AGAIN,
    VIEW,
    FAULT,
)


@dataclass(frozen=True, slots=True)
class Breach:
    """A broken rule: its name, the time in nanoseconds, and a line of text."""

    rule: str
    at: int
    text: str


@dataclass(frozen=True, slots=True)
class Terms:
    """The limits of the rules. Times in nanoseconds; each includes the 50 ms allowed for sockets."""

    answer_slack: int = 58 * MS
    drain_grace: int = 300 * MS
    attempts: int = 3
    window: int = 4_000 * MS
    overload_window: int = 3_000 * MS
    informed_share: float = 2 / 3
    client_delay: int = 12 * MS  # longest one-way delay from a client to a balancer
    refusal_delay: int = 40 * MS  # a round trip to the client and an iteration of the loop
    client_gone_grace: int = 100 * MS  # no attempt starts later than this after its client has disconnected
    discovery_delay: int = 6_000 * MS  # a balancer that can reach discovery must know its list after this
    deadline_slack: int = 150 * MS  # by which a deadline sent upstream may exceed the client's remaining time


@dataclass(slots=True)
class AttemptRecord:
    """One attempt that was written completely."""

    at: int
    balancer: str
    sender: str
    cell: int
    connection: int
    address_reused: bool = False  # by what this balancer had been told, another process had this address
    # Whether by now this balancer can tell that it was another process.
    change_visible: Callable[[], bool] = lambda: False
    disproved: bool = False

    def scope_unknown_to(self, balancer: str) -> bool:
        """Whether this balancer, which repeats it now, cannot know which rack has seen the key."""
        return self.address_reused and not (self.balancer == balancer and self.change_visible())


@dataclass(slots=True)
class Frame:
    """One transmission of a clinic's message. Answers on a connection come in the order of its frames."""

    balancer: str
    sent: int
    deadline: int
    ahead: list[Frame]
    finished: bool = False

    def has_unanswered_predecessors(self) -> bool:
        """Whether frames ahead of it on its connection are still unanswered."""
        return any(not frame.finished for frame in self.ahead)


@dataclass(slots=True)
class RequestRecord:
    """What was observed of one request id."""

    rid: str
    errand: str
    kind: str
    balancer: str
    sent: int
    deadline: int
    attempt_log: list[AttemptRecord] = field(default_factory=list)
    incarnation: int = 0  # of the balancer process that it was sent to
    answers: int = 0
    answered_at: int = 0
    finished: bool = False
    served_by: set[str] = field(default_factory=set)
    gave_up: int | None = None
    left_at: int | None = None  # when its client closed its connection
    attempts_before: int = 0  # attempts for earlier transmissions of a clinic's message that were rejected
    frames: list[Frame] = field(default_factory=list)  # transmissions by a clinic

    def is_awaited(self, since: int) -> bool:
        """Whether a client that sent it before `since` still waits for the answer."""
        return not self.frames or any(not frame.finished and frame.sent <= since for frame in self.frames)

    def is_blocked(self) -> bool:
        """Whether everyone waiting for its answer must get answers to earlier frames first."""
        return bool(self.frames) and all(
            frame.finished or frame.has_unanswered_predecessors() for frame in self.frames
        )

    def may_have_run(self) -> AttemptRecord | None:
        """An attempt that may have run; None if all are proved not to have run."""
        return next((t for t in self.attempt_log if not t.disproved), None)


class Referee:
    """Checks observations against the rules."""

    def __init__(
        self,
        terms: Terms,
        excuse: Callable[[str, int, int, int], bool],
        was_partitioned: Callable[[str, int, int], bool] = lambda *_: False,
        reached: Callable[[str], int] = lambda _: 0,
        unseen: Callable[[str], int] = lambda _: 0,
    ) -> None:
        """Create a checker; the callbacks say what the observations do not show.

        `excuse(balancer, sent, since, until)`: whether a fault kept it from answering. A stall of its machine
        counts between `since` and `until`, a link that was down counts from `sent` on.
        `was_partitioned(balancer, since, until)`: whether clients could not reach it for part of that time.
        `reached(balancer)`: since when it could have reached discovery without interruption.
        `unseen(balancer)`: by how much its writes may be observed late at present, where time is not virtual.
        """
        self.terms = terms
        self.excuse, self.was_partitioned, self.reached, self.unseen = (
            excuse,
            was_partitioned,
            reached,
            unseen,
        )
        # By instance: since when discovery lists it as draining or gone.
        self.withdrawn_since: dict[str, int] = {}
        self.breaches: list[Breach] = []
        self.entries: dict[str, RequestRecord] = {}
        self.frames: dict[tuple[str, int], Frame] = {}  # by message and transmission number
        self.effects: dict[str, list[tuple[int, str]]] = {}  # by errand: when and where it took effect
        self.kinds: dict[str, str] = {}  # by errand: safe, keyed or unsafe
        self.listed: dict[str, set[str]] = {}  # by balancer: instances that it was told of and are not gone
        # By balancer and instance: since when the balancer knows that the instance is draining or gone, and
        # since when it knows the instance's start time.
        self.known_withdrawn: dict[tuple[str, str], int] = {}
        self.known_starts: dict[tuple[str, str], int] = {}
        self.recent_work: dict[str, list[tuple[int, str, float]]] = {}  # instance: when, balancer, cost
        self.given_up: list[RequestRecord] = []
        self.bans: dict[tuple[str, str], int] = {}  # balancer, instance: when the ban was confirmed
        self.unbanned: set[str] = set()  # instances whose ban was lifted: they count as cold for long
        self.incarnations: Counter[str] = Counter()  # by balancer: how often it was started
        self.counts: dict[str, Counter[str]] = defaultdict(Counter)  # by balancer, since its last start
        self.served = self.refused = self.failed = 0

    def breach(self, rule: str, at: int, text: str) -> None:
        """Record a broken rule."""
        self.breaches.append(Breach(rule, at, text))

    # ---- clients ----

    def asked(self, now: int, rid: str, errand: str, kind: str, balancer: str, deadline: int) -> None:
        """A client has written the last byte of a request; it gives up at `deadline`."""
        known = self.entries.get(rid)
        self.counts[balancer]["asked"] += 1
        if known is not None and not known.finished:  # the client repeats it on a new connection
            known.sent, known.deadline, known.balancer = now, deadline, balancer
            known.incarnation = self.incarnations[balancer]
            return
        self.entries[rid] = RequestRecord(
            rid, errand, kind, balancer, now, deadline, incarnation=self.incarnations[balancer]
        )
        self.kinds[errand] = kind

    def answered(self, now: int, rid: str, status: int, body: str) -> None:
        """A client received a complete answer."""
        entry = self.entries[rid]
        entry.answers += 1
        entry.answered_at = now
        entry.finished = True
        if entry.answers > 1:
            self.breach(TWICE_ANSWERED, now, f"{rid} has a second answer")
        late = now - entry.deadline - self.terms.answer_slack
        if late > 0 and not self.excuse(entry.balancer, entry.sent, entry.deadline, now):
            self.breach(LOST, now, f"{rid} is answered {late / MS:.1f} ms after its deadline")
        if entry.incarnation == self.incarnations[entry.balancer]:
            what = {200: "success", 429: "busy", 503: "busy"}.get(status, "failure")
            self.counts[entry.balancer][what] += 1
        if status == 200:
            self.served += 1
            self._check_body(now, entry, body)
        elif status in (429, 503):
            self.refused += 1
            if entry.kind != "safe" and entry.may_have_run():
                self.breach(REFUSED_RUN, now, f"{rid} ({entry.kind}) is refused although it may have run")
        else:
            self.failed += 1

    def _check_body(self, now: int, entry: RequestRecord, body: str) -> None:
        name, _, rest = body.partition(" did ")
        if rest.strip() != entry.rid or name not in entry.served_by:
            self.breach(WRONG_ANSWER, now, f"{entry.rid} is answered with {body[:60]!r}")

    def broken(self, now: int, rid: str, again: bool, spoilt: bool = False) -> None:
        """Its connection ended without a complete answer; `again`: the client repeats it on a new connection.

        `spoilt`: the sender reset its connection in the middle of the answer, and the client can see that the
        answer is truncated. If the balancer ends the connection of its own accord, the request is lost.
        """
        entry = self.entries[rid]
        if entry.finished:
            return
        entry.finished = not again
        if spoilt:
            self.failed += 1
        elif entry.attempt_log and not self.excuse(entry.balancer, entry.sent, entry.sent, now):
            self.breach(LOST, now, f"{rid} was sent to a sender, and its connection ended without an answer")

    def gone(self, now: int, rid: str) -> None:
        """Its client disconnected, after its deadline or before."""
        entry = self.entries[rid]
        if entry.finished:
            return
        entry.finished, entry.left_at = True, now
        late = now > entry.deadline + self.terms.answer_slack
        limit = entry.deadline + self.terms.answer_slack
        if late and not self.excuse(entry.balancer, entry.sent, entry.deadline, limit):
            self.breach(
                LOST, now, f"{rid} has no answer {(now - entry.deadline) / MS:.0f} ms after its deadline"
            )

    def extra(self, now: int, balancer: str, data: bytes) -> None:
        """A client received bytes that belong to no request."""
        self.breach(
            TWICE_ANSWERED, now, f"{balancer} sends a client {data[:40]!r}, which belongs to no request"
        )

    # ---- clinics: a message is one request, however often its frame is sent ----

    def framed(
        self,
        now: int,
        rid: str,
        number: int,
        kind: str,
        balancer: str,
        deadline: int,
        ahead: list[tuple[str, int]],
    ) -> None:
        """A clinic has written the last byte of a frame; those `ahead` on its connection are unanswered."""
        entry = self.entries.get(rid)
        if entry is None:
            entry = self.entries[rid] = RequestRecord(rid, rid, kind, balancer, now, deadline)
            self.kinds[rid] = kind
        entry.balancer, entry.sent, entry.deadline = balancer, now, deadline
        if not entry.answers:
            entry.finished = False
        if kind == "safe" or all(attempt.disproved for attempt in entry.attempt_log):
            # It may have been rejected meanwhile: then this transmission counts as a new request.
            entry.attempts_before = len(entry.attempt_log)
        frames_ahead = [self.frames[key] for key in ahead]
        due = max([deadline, *(frame.deadline for frame in frames_ahead)])
        frame = self.frames[rid, number] = Frame(balancer, now, due, frames_ahead)
        entry.frames.append(frame)

    def acknowledged(self, now: int, rid: str, number: int, code: str, certain: bool) -> None:
        """The last acknowledgement of a frame. `certain`: a positive one means executed, not only stored."""
        entry, frame = self.entries[rid], self.frames[rid, number]
        if frame.finished:
            self.breach(TWICE_ANSWERED, now, f"{rid}/{number} has a second answer")
        late = now - frame.deadline - self.terms.answer_slack
        if late > 0 and not self.excuse(frame.balancer, frame.sent, frame.deadline, now):
            self.breach(LOST, now, f"{rid}/{number} is answered {late / MS:.1f} ms after its deadline")
        frame.finished = entry.finished = True
        entry.gave_up = None
        if code[1] == "R":
            self.refused += 1
            entry.attempts_before = len(entry.attempt_log)
            if any(not other.finished for other in entry.frames):
                return  # another transmission is in flight: which of the two was rejected is not observable
            # Attempts that started while the answer was in flight belong to a later transmission.
            known = [
                attempt
                for attempt in entry.attempt_log
                if attempt.at <= now - self.terms.client_delay or len(entry.frames) == 1
            ]
            if entry.kind != "safe" and any(not attempt.disproved for attempt in known):
                self.breach(REFUSED_RUN, now, f"{rid} ({entry.kind}) is rejected although it may have run")
            if not entry.answers:
                entry.attempt_log = [
                    attempt for attempt in entry.attempt_log if attempt not in known
                ]  # these have not run
                entry.attempts_before = 0
            return
        entry.answers += 1
        self.served += code[1] == "A"
        self.failed += code[1] == "E"
        if code[1] == "A" and certain and not entry.served_by:
            self.breach(WRONG_ANSWER, now, f"{rid} is acknowledged with {code}, but no sender executed it")

    def cut_off(self, now: int, rid: str, number: int) -> None:
        """Its connection was closed, not by the clinic, before the last acknowledgement."""
        entry, frame = self.entries[rid], self.frames[rid, number]
        if frame.finished:
            return
        frame.finished = True
        taken = entry.attempt_log and len(entry.frames) == 1  # of several, which was taken can't be seen
        if taken and not self.excuse(frame.balancer, frame.sent, frame.sent, now):
            self.breach(
                LOST, now, f"{rid}/{number} was sent to a sender, and its connection ended without an answer"
            )

    def unheard(self, now: int, rid: str, number: int) -> None:
        """The clinic stopped waiting for the answer, after its deadline or before."""
        frame = self.frames[rid, number]
        if frame.finished:
            return
        frame.finished = True
        limit = frame.deadline + self.terms.answer_slack
        if now > limit and not self.excuse(frame.balancer, frame.sent, frame.deadline, limit):
            self.breach(
                LOST,
                now,
                f"{rid}/{number} has no answer {(now - frame.deadline) / MS:.0f} ms after its deadline",
            )

    # ---- traffic between balancers and senders ----

    def begun(self, now: int, balancer: str, sender: str, rid: str) -> None:
        """The balancer has written the first byte of an attempt: checks that its client is still there."""
        entry = self.entries.get(rid)
        if entry is None or entry.left_at is None:
            return
        late = now - entry.left_at - self.terms.client_delay
        if late > self.terms.client_gone_grace + self.unseen(balancer) and not self.was_partitioned(
            balancer, entry.left_at, now
        ):
            self.breach(GONE, now, f"{rid} is sent to {sender} {late / MS:.0f} ms after its client left")

    def first_byte(self, now: int, balancer: str, sender: str, rid: str, mistaken: bool = False) -> None:
        """The balancer has written the first byte of an attempt: checks that the sender is in rotation.

        `mistaken`: by the list it was started with, another instance has this sender's address.
        """
        since = self.known_withdrawn.get((balancer, sender))
        if since is None and sender in self.withdrawn_since:
            since = max(self.withdrawn_since[sender], self.reached(balancer)) + self.terms.discovery_delay
        if since is not None and now > since + self.terms.drain_grace + self.unseen(balancer):
            self.breach(
                DRAIN,
                now,
                f"{rid} is sent to {sender} {(now - since) / MS:.0f} ms after {balancer} "
                f"was told that it is draining or gone",
            )
        banned_since = self.bans.get((balancer, sender))
        if banned_since is not None and not mistaken and now > banned_since + self.terms.drain_grace:
            self.breach(
                BAN, now, f"{rid} is sent to {sender} {(now - banned_since) / MS:.0f} ms after it was banned"
            )

    def written(
        self,
        now: int,
        rid: str,
        balancer: str,
        sender: str,
        cell: int,
        connection: int,
        cost: float,
        address_reused: bool = False,
        change_visible: Callable[[], bool] = lambda: False,
    ) -> None:
        """The balancer has written the last byte of an attempt.

        `address_reused`: by what it was told since its start, another sender has this address, and it had no
        sign that this one had ended, so it could not know which rack has seen the key. `change_visible`:
        whether such a sign, or a list that tells it, has come by the time of the call.
        """
        entry = self.entries.get(rid)
        if entry is None:
            self.breach(FAULT, now, f"{balancer} sends {rid}, which no client has sent")
            return
        after = entry.finished and entry.answers and now > entry.answered_at + self.unseen(balancer)
        if after and not self.excuse(balancer, entry.sent, entry.sent, now):
            self.breach(SENT_AFTER, now, f"{rid} is sent to {sender} after its answer came")
        possibly_run = entry.may_have_run()
        if possibly_run is not None and entry.kind == "unsafe":
            self.breach(
                UNSAFE_AGAIN, now, f"{rid} is sent to {sender} but may have run at {possibly_run.sender}"
            )
        if (
            possibly_run is not None
            and entry.kind == "keyed"
            and not (address_reused or possibly_run.scope_unknown_to(balancer))
        ):
            if cell != possibly_run.cell:
                self.breach(
                    KEYED_ASTRAY, now, f"{rid} is sent to rack {cell} but may have run in {possibly_run.cell}"
                )
            elif now > possibly_run.at + self.terms.window + 50 * MS + self.unseen(balancer):
                self.breach(KEYED_ASTRAY, now, f"{rid} is sent again after its window")
        entry.attempt_log.append(
            AttemptRecord(now, balancer, sender, cell, connection, address_reused, change_visible)
        )
        self.counts[balancer]["attempts"] += 1
        attempts = len(entry.attempt_log) - entry.attempts_before
        if attempts > self.terms.attempts:
            self.breach(ATTEMPTS, now, f"{rid} has attempt {attempts}")
        self.recent_work.setdefault(sender, []).append((now, balancer, cost))

    def deadline_told(self, now: int, rid: str, told: int) -> None:
        """An attempt carries a deadline to its sender, as nanoseconds from now."""
        entry = self.entries.get(rid)
        if entry is None or entry.frames:
            return  # a clinic sends no deadline
        excess = told - max(0, entry.deadline - now)
        allowed = self.terms.deadline_slack + self.unseen(entry.balancer)
        if excess > allowed and not self.excuse(entry.balancer, entry.sent, entry.sent, now):
            self.breach(
                DEADLINE, now, f"{rid} carries a deadline {excess / MS:.0f} ms later than its client's"
            )

    def disproved(self, connection: int, rid: str) -> None:
        """An answer that proves that the attempt did not run has arrived on this connection."""
        entry = self.entries.get(rid)
        for attempt in entry.attempt_log if entry is not None else ():
            if attempt.connection == connection:
                attempt.disproved = True

    # ---- senders ----

    def ran(self, now: int, rid: str, errand: str, sender: str, repeat: bool) -> None:
        """A sender executed a request; `repeat`: its rack had seen its key before."""
        entry = self.entries.get(rid)
        if entry is not None:
            entry.served_by.add(sender)
        if self.kinds.get(errand) == "safe" or repeat:
            return
        if (
            self.kinds.get(errand) == "keyed"
            and entry is not None
            and self._repeat_was_undetectable(now, entry)
        ):
            return
        effects = self.effects.setdefault(errand, [])
        effects.append((now, sender))
        if len(effects) > 1:
            where = " and ".join(f"at {s}" for _, s in effects)
            self.breach(EFFECT_TWICE, now, f"{errand} ({self.kinds.get(errand)}) takes effect {where}")

    def _repeat_was_undetectable(self, now: int, entry: RequestRecord) -> bool:
        """Whether a repeated key took effect although every attempt was permitted.

        Either an attempt reached another process than its balancer had been told of, or it was sent in time
        to a stalled sender, which read it after its rack had dropped the key.
        """
        first, last = entry.attempt_log[0].at, entry.attempt_log[-1].at
        sent_in_time = last <= first + self.terms.window
        forgotten = now > (first if sent_in_time else last) + self.terms.window
        return forgotten or any(attempt.address_reused for attempt in entry.attempt_log)

    def fell(self, now: int, sender: str) -> None:
        """A cold sender was overloaded: a breach if two thirds of its work came from balancers that knew."""
        recent = [
            (b, c) for at, b, c in self.recent_work.get(sender, ()) if at > now - self.terms.overload_window
        ]
        total = sum(c for _, c in recent) or 1.0
        informed = sum(c for b, c in recent if (b, sender) in self.known_starts)
        if informed >= self.terms.informed_share * total:
            self.breach(
                COLD,
                now,
                f"{sender} overloaded, {informed / total:.0%} of the work by balancers that knew its start",
            )

    # ---- discovery's list, and what balancers are told of it ----

    def shown(self, now: int, instance: str, active: bool) -> None:
        """Discovery's entry of an instance has changed."""
        if active:
            self.withdrawn_since.pop(instance, None)
        else:
            self.withdrawn_since.setdefault(instance, now)

    def told(self, now: int, balancer: str, instance: str, active: bool, started: bool) -> None:
        """Discovery has sent an instance's entry to a balancer."""
        key = (balancer, instance)
        self.listed.setdefault(balancer, set()).add(instance)
        if active:
            self.known_withdrawn.pop(key, None)
        else:
            self.known_withdrawn.setdefault(key, now)
        if started:
            self.known_starts.setdefault(key, now)

    def told_whole(self, now: int, balancer: str, listed: set[str]) -> None:
        """Discovery has sent a full list to a balancer: instances that are not on it are gone."""
        for instance in sorted(self.listed.setdefault(balancer, set()) - listed):
            self.told(now, balancer, instance, False, False)
        self.listed[balancer] = set(listed)

    def reborn(self, balancer: str) -> None:
        """A balancer has been restarted and knows nothing yet."""
        self.incarnations[balancer] += 1
        self.counts.pop(balancer, None)
        for table in (self.known_withdrawn, self.known_starts, self.bans):
            for key in [k for k in table if k[0] == balancer]:
                del table[key]
        self.listed.pop(balancer, None)

    # ---- operators ----

    def ban_confirmed(self, now: int, balancer: str, instance: str) -> None:
        """The balancer has confirmed a ban."""
        self.bans.setdefault((balancer, instance), now)

    def ban_lifted(self, balancer: str, instance: str) -> None:
        """The operator lifts a ban."""
        self.bans.pop((balancer, instance), None)
        self.unbanned.add(instance)

    def figures(self, now: int, balancer: str, told: dict[str, int], before: dict[str, int]) -> None:
        """Check a balancer's metrics; `before`: the observed counts when the metrics were requested.

        A counter must lie between the observed count at the request and the present one. It may be higher by
        the number of unanswered requests: their answers may be in flight, or their clients disconnected.
        """
        seen = self.counts[balancer]
        unseen = seen["asked"] - sum(seen[what] for what in ("success", "busy", "failure"))
        for what, most in (("success", unseen), ("busy", unseen), ("failure", unseen), ("attempts", 0)):
            low, high = before.get(what, 0), seen[what] + most
            if not low <= told[what] <= high:
                self.breach(FIGURES, now, f"{balancer} reports {told[what]} {what}, expected {low} to {high}")
        if not 0 <= told["inflight"] <= seen["asked"]:
            self.breach(FIGURES, now, f"{balancer} reports {told['inflight']} in flight")

    # ---- requests that were given up ----

    def gave_up(self, now: int, rid: str) -> None:
        """The decision module gave a request up."""
        entry = self.entries.get(rid)
        if entry is not None and not entry.finished and entry.is_awaited(now - self.terms.client_delay):
            entry.gave_up = now
            self.given_up.append(entry)

    def step(self, now: int) -> None:
        """Check, after each event, that requests which were given up have been answered in time."""
        if not self.given_up:
            return
        rest = list[RequestRecord]()
        for entry in self.given_up:
            if entry.finished or entry.gave_up is None or not entry.is_awaited(entry.gave_up):
                continue
            if entry.is_blocked():
                entry.gave_up = now
            if now <= entry.gave_up + self.terms.refusal_delay:
                rest.append(entry)
            elif not self.excuse(entry.balancer, entry.sent, entry.gave_up, now):
                held = (now - entry.gave_up) / MS
                self.breach(HELD_BACK, now, f"{entry.rid} was given up {held:.1f} ms ago and is not answered")
        self.given_up = rest
