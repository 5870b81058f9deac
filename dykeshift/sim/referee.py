"""The rules, checked from outside: by what clients, senders, discovery and the wire saw.

Theory of operation. The referee is told facts with their time in nanoseconds and keeps, for each request
id, the attempts that were written whole to a sender, and which of them were proved not to have run by an
answer that had arrived back. Each method checks what its fact can break, at once; `step` checks what the
mere passing of time breaks. A broken rule is a `Breach`: the rule's name, when, and one line.

The one thing that it takes from inside is when the module gave a request up (an action of interface.py,
seen where the module is called): the rule that such a request is answered at once cannot be seen otherwise.

What is nobody's fault is told as such (`excuse`): a balancer that was killed, a machine that stood still
over the deadline, a link between client and balancer that was down.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

MS = 1_000_000

LOST = "lost"  # no final answer in time, or a connection ended without one
TWICE_ANSWERED = "answered-twice"
WRONG_ANSWER = "wrong-answer"  # not what a sender made for this request
UNSAFE_AGAIN = "unsafe-again"  # sent again once it may have run
KEYED_ASTRAY = "keyed-astray"  # sent again outside its rack or window
REFUSED_RUN = "refused-run"  # refused though it may have run
EFFECT_TWICE = "effect-twice"
DRAIN = "drain"  # something new to a sender that the balancer knew to drain, to be gone or restarted
COLD = "cold"  # a cold sender pushed over
ATTEMPTS = "attempts"
SENT_AFTER = "sent-after-answer"
HELD_BACK = "held-back"  # a request that was given up and not answered at once
BAN = "ban"  # something new to a sender that operators took out, after the yes and the grace
DRAINED = "drained"  # a connection held idle long after a standby, or yes to new clients
FIGURES = "figures"  # that can't be true by what was seen
CONSOLE = "console"  # a call that is not answered in time, or wrongly
REJECTED = "rejected"  # a sound request of a class that the settings in force have
DEADLINE = "deadline-told"  # more than its client has left
GONE = "client-gone"  # something begins for a client that has left
LEAK = "leak"
DEAF = "not-served-again"
VIEW = "view"  # of the fleet: a bound that does not hold, or a view that does not settle again
FAULT = "fault"  # an exception that nothing caught, or an end that nobody asked for
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
    DEAF,
    VIEW,
    FAULT,
)


@dataclass(frozen=True, slots=True)
class Breach:
    """A broken rule: its name, when (nanoseconds), and one line."""

    rule: str
    at: int
    text: str


@dataclass(frozen=True, slots=True)
class Terms:
    """The figures of the rules. Times in nanoseconds; each limit with the 50 ms that sockets get."""

    answer_slack: int = 58 * MS
    drain_grace: int = 300 * MS
    attempts: int = 3
    window: int = 4_000 * MS
    fall_window: int = 3_000 * MS
    told_share: float = 2 / 3
    way: int = 12 * MS  # from a client to a balancer, at the most
    at_once: int = 40 * MS  # the way to the client and back, and a round of the loop
    gone: int = 100 * MS  # after which nothing begins for a client that has left
    told: int = 6_000 * MS  # after which what discovery has, and could be asked for, counts as told
    deadline_slack: int = 150 * MS  # by which the deadline told may be over what the client has left


@dataclass(slots=True)
class Try:
    """One attempt, whole on the wire."""

    at: int
    balancer: str
    sender: str
    cell: int
    connection: int
    blind: bool = False  # it met another process than this balancer had been told lives at the address
    disproved: bool = False


@dataclass(slots=True)
class Frame:
    """One sending of a clinic's message. On one connection answers come in the order of the frames."""

    balancer: str
    sent: int
    deadline: int
    ahead: list[Frame]
    over: bool = False

    def behind(self) -> bool:
        """Whether answers before its own are still owed."""
        return any(not frame.over for frame in self.ahead)


@dataclass(slots=True)
class Entry:
    """One request id."""

    rid: str
    errand: str
    kind: str
    balancer: str
    sent: int
    deadline: int
    tries: list[Try] = field(default_factory=list)
    life: int = 0  # of the balancer that it was sent to
    answers: int = 0
    answered_at: int = 0
    over: bool = False
    served_by: set[str] = field(default_factory=set)
    gave_up: int | None = None
    left: int | None = None  # when its client closed its connection
    before: int = 0  # of its tries, those for earlier sendings of a clinic that were given back
    frames: list[Frame] = field(default_factory=list)  # those that a clinic sent

    def listened(self, since: int) -> bool:
        """Whether somebody waits for its answer who had sent before that."""
        return not self.frames or any(not frame.over and frame.sent <= since for frame in self.frames)

    def held_up(self) -> bool:
        """Whether all that wait for its answer have others to hear first, on their connections."""
        return bool(self.frames) and all(frame.over or frame.behind() for frame in self.frames)

    def may_have_run(self) -> Try | None:
        """An attempt that may have run; None where all are disproved."""
        return next((t for t in self.tries if not t.disproved), None)


class Referee:
    """Checks every fact that it is told against the rules."""

    def __init__(
        self,
        terms: Terms,
        excuse: Callable[[str, int, int, int], bool],
        parted: Callable[[str, int, int], bool] = lambda *_: False,
        reached: Callable[[str], int] = lambda _: 0,
        unseen: Callable[[str], int] = lambda _: 0,
    ) -> None:
        """`excuse(balancer, sent, since, until)`: whether something else kept it from answering.

        A machine that stood still counts between `since` and `until`, a link that was down from `sent` on.
        `parted(balancer, since, until)`: whether clients could not reach it for some of that time.
        `reached(balancer)`: since when it could have asked discovery at any instant.
        `unseen(balancer)`: by which what it wrote may be seen too late just now, where time is not virtual.
        """
        self.terms = terms
        self.excuse, self.parted, self.reached, self.unseen = excuse, parted, reached, unseen
        self.out: dict[str, int] = {}  # since when discovery shows that it drains or is gone
        self.breaches: list[Breach] = []
        self.entries: dict[str, Entry] = {}
        self.frames: dict[tuple[str, int], Frame] = {}  # by message and number
        self.effects: dict[str, list[tuple[int, str]]] = {}  # by errand: when and where it took effect
        self.kinds: dict[str, str] = {}
        self.listed: dict[str, set[str]] = {}  # by balancer: instances that it was told of and are not gone
        self.known: dict[tuple[str, str], int] = {}  # balancer, instance: since when it is known to be off
        self.started: dict[tuple[str, str], int] = {}  # balancer, instance: since when its start is known
        self.work: dict[str, list[tuple[int, str, float]]] = {}  # by instance, while cold
        self.given_up: list[Entry] = []
        self.bans: dict[tuple[str, str], int] = {}  # balancer, instance: since when operators know it is out
        self.returned: set[str] = set()  # put back by hand: they count as cold for long
        self.lives: Counter[str] = Counter()
        self.counts: dict[str, Counter[str]] = defaultdict(Counter)  # by balancer, of its present life
        self.served = self.refused = self.failed = 0

    def breach(self, rule: str, at: int, text: str) -> None:
        """Note a broken rule."""
        self.breaches.append(Breach(rule, at, text))

    # ---- clients ----

    def asked(self, now: int, rid: str, errand: str, kind: str, balancer: str, deadline: int) -> None:
        """The last byte of a request has been handed over; `deadline` is when its client gives up."""
        known = self.entries.get(rid)
        self.counts[balancer]["asked"] += 1
        if known is not None and not known.over:  # the same once more, on a new connection
            known.sent, known.deadline, known.balancer = now, deadline, balancer
            known.life = self.lives[balancer]
            return
        self.entries[rid] = Entry(rid, errand, kind, balancer, now, deadline, life=self.lives[balancer])
        self.kinds[errand] = kind

    def answered(self, now: int, rid: str, status: int, body: str) -> None:
        """A client got a whole answer."""
        entry = self.entries[rid]
        entry.answers += 1
        entry.answered_at = now
        entry.over = True
        if entry.answers > 1:
            self.breach(TWICE_ANSWERED, now, f"{rid} has a second answer")
        late = now - entry.deadline - self.terms.answer_slack
        if late > 0 and not self.excuse(entry.balancer, entry.sent, entry.deadline, now):
            self.breach(LOST, now, f"{rid} is answered {late / MS:.1f} ms after its time")
        if entry.life == self.lives[entry.balancer]:
            what = {200: "success", 429: "busy", 503: "busy"}.get(status, "failure")
            self.counts[entry.balancer][what] += 1
        if status == 200:
            self.served += 1
            self._check_body(now, entry, body)
        elif status in (429, 503):
            self.refused += 1
            if entry.kind != "safe" and entry.may_have_run():
                self.breach(REFUSED_RUN, now, f"{rid} ({entry.kind}) is refused and may have run")
        else:
            self.failed += 1

    def _check_body(self, now: int, entry: Entry, body: str) -> None:
        name, _, rest = body.partition(" did ")
        if rest.strip() != entry.rid or name not in entry.served_by:
            self.breach(WRONG_ANSWER, now, f"{entry.rid} is served with {body[:60]!r}")

    def broken(self, now: int, rid: str, again: bool, spoilt: bool = False) -> None:
        """Its connection ended with no whole answer; `again`: the client sends it on a new one.

        `spoilt`: its sender had reset the connection that the answer was coming on, and the client sees that
        the end is missing. Where the balancer ends it by itself the request is lost.
        """
        entry = self.entries[rid]
        if entry.over:
            return
        entry.over = not again
        if spoilt:
            self.failed += 1
        elif entry.tries and not self.excuse(entry.balancer, entry.sent, entry.sent, now):
            self.breach(LOST, now, f"{rid} was sent on, and its connection ended without an answer")

    def gone(self, now: int, rid: str) -> None:
        """Its client gave up, after its time or before."""
        entry = self.entries[rid]
        if entry.over:
            return
        entry.over, entry.left = True, now
        late = now > entry.deadline + self.terms.answer_slack
        limit = entry.deadline + self.terms.answer_slack
        if late and not self.excuse(entry.balancer, entry.sent, entry.deadline, limit):
            self.breach(LOST, now, f"{rid} has no answer {(now - entry.deadline) / MS:.0f} ms after its time")

    def extra(self, now: int, balancer: str, data: bytes) -> None:
        """A client got bytes that answer nothing."""
        self.breach(TWICE_ANSWERED, now, f"{balancer} sends a client {data[:40]!r}, which answers nothing")

    # ---- clinics: a message is one request, however often its frame comes ----

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
        """The last byte of a frame has been handed over, behind those `ahead` on its connection."""
        entry = self.entries.get(rid)
        if entry is None:
            entry = self.entries[rid] = Entry(rid, rid, kind, balancer, now, deadline)
            self.kinds[rid] = kind
        entry.balancer, entry.sent, entry.deadline = balancer, now, deadline
        if not entry.answers:
            entry.over = False
        if kind == "safe" or all(one.disproved for one in entry.tries):
            entry.before = len(entry.tries)  # it may have been given back meanwhile, and count as new
        before = [self.frames[one] for one in ahead]
        due = max([deadline, *(frame.deadline for frame in before)])
        frame = self.frames[rid, number] = Frame(balancer, now, due, before)
        entry.frames.append(frame)

    def acknowledged(self, now: int, rid: str, number: int, code: str, certain: bool) -> None:
        """A frame's last acknowledgement. `certain`: a good one says that it was done, not only safe."""
        entry, frame = self.entries[rid], self.frames[rid, number]
        if frame.over:
            self.breach(TWICE_ANSWERED, now, f"{rid}/{number} has a second answer")
        late = now - frame.deadline - self.terms.answer_slack
        if late > 0 and not self.excuse(frame.balancer, frame.sent, frame.deadline, now):
            self.breach(LOST, now, f"{rid}/{number} is answered {late / MS:.1f} ms after its time")
        frame.over = entry.over = True
        entry.gave_up = None
        if code[1] == "R":
            self.refused += 1
            entry.before = len(entry.tries)
            if any(not other.over for other in entry.frames):
                return  # another sending of it is under way: which of the two was rejected can't be seen
            # What went out while the answer was on its way belongs to a sending that was read after this one.
            known = [one for one in entry.tries if one.at <= now - self.terms.way or len(entry.frames) == 1]
            if entry.kind != "safe" and any(not one.disproved for one in known):
                self.breach(REFUSED_RUN, now, f"{rid} ({entry.kind}) is rejected and may have run")
            if not entry.answers:
                entry.tries = [one for one in entry.tries if one not in known]  # these have not run
                entry.before = 0
            return
        entry.answers += 1
        self.served += code[1] == "A"
        self.failed += code[1] == "E"
        if code[1] == "A" and certain and not entry.served_by:
            self.breach(WRONG_ANSWER, now, f"{rid} is acknowledged with {code}, and nobody did it")

    def cut_off(self, now: int, rid: str, number: int) -> None:
        """Its connection ended without the last acknowledgement, and not by the clinic."""
        entry, frame = self.entries[rid], self.frames[rid, number]
        if frame.over:
            return
        frame.over = True
        taken = entry.tries and len(entry.frames) == 1  # of several, which was taken can't be seen
        if taken and not self.excuse(frame.balancer, frame.sent, frame.sent, now):
            self.breach(LOST, now, f"{rid}/{number} was sent on, and its connection ended without an answer")

    def unheard(self, now: int, rid: str, number: int) -> None:
        """The clinic stopped listening, past its time or before."""
        frame = self.frames[rid, number]
        if frame.over:
            return
        frame.over = True
        limit = frame.deadline + self.terms.answer_slack
        if now > limit and not self.excuse(frame.balancer, frame.sent, frame.deadline, limit):
            self.breach(
                LOST,
                now,
                f"{rid}/{number} has no answer {(now - frame.deadline) / MS:.0f} ms " "after its time",
            )

    # ---- the wire between balancers and senders ----

    def begun(self, now: int, balancer: str, sender: str, rid: str) -> None:
        """The first byte of an attempt has been handed to the balancer's kernel."""
        entry = self.entries.get(rid)
        if entry is None or entry.left is None:
            return
        late = now - entry.left - self.terms.way
        if late > self.terms.gone + self.unseen(balancer) and not self.parted(balancer, entry.left, now):
            self.breach(GONE, now, f"{rid} goes to {sender} {late / MS:.0f} ms after its client left")

    def first_byte(self, now: int, balancer: str, sender: str, rid: str, mistaken: bool = False) -> None:
        """`mistaken`: by the list from before its start it takes this one for another."""
        since = self.known.get((balancer, sender))
        if since is None and sender in self.out:
            since = max(self.out[sender], self.reached(balancer)) + self.terms.told
        if since is not None and now > since + self.terms.drain_grace + self.unseen(balancer):
            self.breach(
                DRAIN,
                now,
                f"{rid} goes to {sender} {(now - since) / MS:.0f} ms after {balancer} "
                f"was told that it drains or is gone",
            )
        out = self.bans.get((balancer, sender))
        if out is not None and not mistaken and now > out + self.terms.drain_grace:
            self.breach(BAN, now, f"{rid} goes to {sender} {(now - out) / MS:.0f} ms after it was taken out")

    def written(
        self,
        now: int,
        rid: str,
        balancer: str,
        sender: str,
        cell: int,
        connection: int,
        cost: float,
        blind: bool = False,
    ) -> None:
        """The last byte of an attempt has been handed to the balancer's kernel.

        `blind`: by what it was told in this life another sender lives at this address: nobody could have
        told which rack has seen its key.
        """
        entry = self.entries.get(rid)
        if entry is None:
            self.breach(FAULT, now, f"{balancer} sends {rid}, which no client asked for")
            return
        after = entry.over and entry.answers and now > entry.answered_at + self.unseen(balancer)
        if after and not self.excuse(balancer, entry.sent, entry.sent, now):
            self.breach(SENT_AFTER, now, f"{rid} is sent to {sender} after its answer came")
        anchor = entry.may_have_run()
        if anchor is not None and entry.kind == "unsafe":
            self.breach(UNSAFE_AGAIN, now, f"{rid} goes to {sender} and may have run at {anchor.sender}")
        if anchor is not None and entry.kind == "keyed" and not (blind or anchor.blind):
            if cell != anchor.cell:
                self.breach(KEYED_ASTRAY, now, f"{rid} goes to rack {cell} and may have run in {anchor.cell}")
            elif now > anchor.at + self.terms.window + 50 * MS + self.unseen(balancer):
                self.breach(KEYED_ASTRAY, now, f"{rid} goes again after its window")
        entry.tries.append(Try(now, balancer, sender, cell, connection, blind))
        self.counts[balancer]["attempts"] += 1
        attempts = len(entry.tries) - entry.before
        if attempts > self.terms.attempts:
            self.breach(ATTEMPTS, now, f"{rid} has attempt {attempts}")
        self.work.setdefault(sender, []).append((now, balancer, cost))

    def deadline_told(self, now: int, rid: str, told: int) -> None:
        """An attempt tells its sender how long its answer is waited for, in nanoseconds."""
        entry = self.entries.get(rid)
        if entry is None or entry.frames:
            return  # a clinic tells no deadline of its own
        over = told - max(0, entry.deadline - now)
        allowed = self.terms.deadline_slack + self.unseen(entry.balancer)
        if over > allowed and not self.excuse(entry.balancer, entry.sent, entry.sent, now):
            self.breach(DEADLINE, now, f"{rid} tells {over / MS:.0f} ms more than its client has left")

    def disproved(self, connection: int, rid: str) -> None:
        """An answer that proves that it never ran has arrived back on this connection."""
        entry = self.entries.get(rid)
        for one in entry.tries if entry is not None else ():
            if one.connection == connection:
                one.disproved = True

    # ---- senders ----

    def ran(self, now: int, rid: str, errand: str, sender: str, repeat: bool) -> None:
        """A sender ran a request; `repeat`: its rack had seen its key."""
        entry = self.entries.get(rid)
        if entry is not None:
            entry.served_by.add(sender)
        if self.kinds.get(errand) == "safe" or repeat:
            return
        if self.kinds.get(errand) == "keyed" and entry is not None and self._nobody_could_tell(now, entry):
            return
        effects = self.effects.setdefault(errand, [])
        effects.append((now, sender))
        if len(effects) > 1:
            where = " and ".join(f"at {s}" for _, s in effects)
            self.breach(EFFECT_TWICE, now, f"{errand} ({self.kinds.get(errand)}) takes effect {where}")

    def _nobody_could_tell(self, now: int, entry: Entry) -> bool:
        """Whether a repeat of a key that took effect was sent as it may be.

        It met another process than its balancer had been told of, or was sent in time to a sender that stood
        still and came to it when its rack had forgotten the key.
        """
        first, last = entry.tries[0].at, entry.tries[-1].at
        sent_in_time = last <= first + self.terms.window
        forgotten = now > (first if sent_in_time else last) + self.terms.window
        return forgotten or any(one.blind for one in entry.tries)

    def fell(self, now: int, sender: str) -> None:
        """A cold sender was sent more than it bears; it counts when those who knew sent two thirds of it."""
        recent = [(b, c) for at, b, c in self.work.get(sender, ()) if at > now - self.terms.fall_window]
        total = sum(c for _, c in recent) or 1.0
        told = sum(c for b, c in recent if (b, sender) in self.started)
        if told >= self.terms.told_share * total:
            self.breach(COLD, now, f"{sender} falls over, {told / total:.0%} of its work from those who knew")

    # ---- what discovery has, and what balancers are told ----

    def shown(self, now: int, instance: str, active: bool) -> None:
        """Discovery has it so from now on."""
        if active:
            self.out.pop(instance, None)
        else:
            self.out.setdefault(instance, now)

    def told(self, now: int, balancer: str, instance: str, active: bool, started: bool) -> None:
        """Discovery has told a balancer of an instance."""
        key = (balancer, instance)
        self.listed.setdefault(balancer, set()).add(instance)
        if active:
            self.known.pop(key, None)
        else:
            self.known.setdefault(key, now)
        if started:
            self.started.setdefault(key, now)

    def told_whole(self, now: int, balancer: str, listed: set[str]) -> None:
        """A whole list: whoever is not on it is gone."""
        for instance in sorted(self.listed.setdefault(balancer, set()) - listed):
            self.told(now, balancer, instance, False, False)
        self.listed[balancer] = set(listed)

    def reborn(self, balancer: str) -> None:
        """A new process under this name: it has been told nothing yet."""
        self.lives[balancer] += 1
        self.counts.pop(balancer, None)
        for table in (self.known, self.started, self.bans):
            for key in [k for k in table if k[0] == balancer]:
                del table[key]
        self.listed.pop(balancer, None)

    # ---- operators ----

    def taken_out(self, now: int, balancer: str, instance: str) -> None:
        """The balancer has said yes to a ban."""
        self.bans.setdefault((balancer, instance), now)

    def put_back(self, balancer: str, instance: str) -> None:
        """The ban's end is being called for."""
        self.bans.pop((balancer, instance), None)
        self.returned.add(instance)

    def figures(self, now: int, balancer: str, told: dict[str, int], before: dict[str, int]) -> None:
        """What a balancer counted; `before`: what had been seen of it when it was asked.

        A count lies between what had been seen by then and what has been by now. An answer counted may be on
        its way still, or its client have left: so many more there may be as were asked and not answered.
        """
        seen = self.counts[balancer]
        unseen = seen["asked"] - sum(seen[what] for what in ("success", "busy", "failure"))
        for what, most in (("success", unseen), ("busy", unseen), ("failure", unseen), ("attempts", 0)):
            low, high = before.get(what, 0), seen[what] + most
            if not low <= told[what] <= high:
                self.breach(FIGURES, now, f"{balancer} tells {told[what]} {what}, and it is {low} to {high}")
        if not 0 <= told["inflight"] <= seen["asked"]:
            self.breach(FIGURES, now, f"{balancer} tells {told['inflight']} in flight")

    # ---- answers at once ----

    def gave_up(self, now: int, rid: str) -> None:
        """The balancer says that it gave a request up."""
        entry = self.entries.get(rid)
        if entry is not None and not entry.over and entry.listened(now - self.terms.way):
            entry.gave_up = now
            self.given_up.append(entry)

    def step(self, now: int) -> None:
        """After each event: what has been given up must have been answered."""
        if not self.given_up:
            return
        rest = list[Entry]()
        for entry in self.given_up:
            if entry.over or entry.gave_up is None or not entry.listened(entry.gave_up):
                continue
            if entry.held_up():
                entry.gave_up = now
            if now <= entry.gave_up + self.terms.at_once:
                rest.append(entry)
            elif not self.excuse(entry.balancer, entry.sent, entry.gave_up, now):
                held = (now - entry.gave_up) / MS
                self.breach(HELD_BACK, now, f"{entry.rid} was given up {held:.1f} ms ago and is not answered")
        self.given_up = rest
