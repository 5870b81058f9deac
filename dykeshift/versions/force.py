"""What this balancer may act on at this instant: the version in force, or, in doubt, what is never bolder.

Theory of operation. `look` is asked before every decision and again as bytes are about to be written. Its
stamp is another once anything that decisions hang on is another: so what was decided before does not go out
after. It knows the book (what is committed here) and for how long the lease on it holds, by this process's
own monotonic clock.

Promises at every instant:
 1. With a lease it acts as the book says of its number: the version in force, the one that comes where its
    stage is reached, or the middle of both.
 2. Without one, from the first look after the lease's end on, it is *doubtful*: it acts on the middle of the
    version in force as it knows it, the one that it knows to come and all that it has heard was proposed; it
    copies nothing, sends nothing again that may have run, and nothing to a server that may be out as far as
    it knows (out in its book, heard to be proposed, `wary` in advance). With `doubt = "refuse"` it sends
    nothing.
 3. It is never bolder in doubt than with the lease before.
Why this bounds how long two act on contradicting rules: docs/design/versions.md.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from dykeshift.interface import Idempotency, Settings, Word
from dykeshift.settings import SettingsError
from dykeshift.versions.book import Book, Pending, Phase
from dykeshift.versions.changes import Ban, Propose, unpack
from dykeshift.versions.own import Own
from dykeshift.versions.terms import live, meet

ALL_FORMS = frozenset(Idempotency)


@dataclass(frozen=True, slots=True)
class Acts:
    """What is acted on. `version`: of the settings that allow most of it; `mode`: how."""

    mode: str  # "in force", "middle" (of it and the version that comes), "doubtful"
    version: int
    settings: Settings
    out: frozenset[str] = frozenset()  # servers, by name
    wary: frozenset[str] = frozenset()  # beside them: left alone in doubt
    preferred: frozenset[str] = frozenset()
    closed: frozenset[str] = frozenset()  # classes
    why: str = ""  # it is in doubt, or can't act on what is in force

    @property
    def doubtful(self) -> bool:
        return self.mode == "doubtful"


class InForce:
    """`acts` is what holds since the last `look`; `changed` says whether it is another than was taken."""

    def __init__(self, own: Own, book: Book, number: int) -> None:
        self.own, self.book, self.number = own, book, number
        self.stamp = 1
        self.since = 0  # when `acts` became what it is
        self.acts = Acts("doubtful", 0, own.settings, why="it has just started")
        self.basis: tuple[object, ...] = ()
        self.leased = False

    def look(self, now: int, lease_left: int, heard: tuple[bytes, ...] = (), why: str = "no lease") -> int:
        """The stamp of what holds now. `heard`: changes that it has and that are not known to be
        committed."""
        leased = lease_left > 0
        basis = (leased, self.book.turns) if leased else (leased, self.book.turns, heard, why)
        if basis != self.basis:
            self.basis, self.leased = basis, leased
            acts = self._in_force() if leased else self._in_doubt(heard, why)
            if acts != self.acts:
                self.acts, self.since = acts, now
                self.stamp += 1
        return self.stamp

    def reread(self) -> None:
        """This balancer's own part is another: what is acted on is reckoned anew at the next look."""
        self.basis = ()

    # ---- with a lease ----

    def _in_force(self) -> Acts:
        pages, pending = self.book.pages, self.book.pages.pending
        try:
            held = self.own.read(pages.rules.settings)
            if pending is None or pending.phase is Phase.CHECK:
                return self._with("in force", pages.rules.version, held)
            comes = self.own.read(pending.rules.settings)
        except SettingsError as exc:  # as after an upgrade backwards: its program can't act on it
            return self._in_doubt((), f"it can't act on what is in force: {exc}")
        if self._staged(pending):
            return self._with("in force", pending.rules.version, comes)
        return self._with("middle", pages.rules.version, meet(held, comes))

    def _staged(self, pending: Pending) -> bool:
        return pending.phase is Phase.STAGE and any(
            self.number in group for group in pending.stages[: pending.stage + 1]
        )

    def _with(self, mode: str, version: int, settings: Settings) -> Acts:
        pages = self.book.pages
        return Acts(
            mode,
            version,
            settings,
            frozenset(pages.out),
            frozenset(),
            frozenset(pages.preferred),
            frozenset(pages.closed),
        )

    # ---- without ----

    def _in_doubt(self, heard: Iterable[bytes], why: str) -> Acts:
        pages, pending = self.book.pages, self.book.pages.pending
        texts = [pages.rules.settings] + ([pending.rules.settings] if pending is not None else [])
        out = set(pages.out)
        for body in heard:
            change = unpack(body)
            if isinstance(change, Propose):
                texts.append(bytes(change.settings).decode())
            elif isinstance(change, Ban):
                out.add(change.name)
        settings: Settings | None = None
        for text in texts:
            try:
                one = self.own.read(text)
            except SettingsError:
                continue  # what it can't read it can't act on; the doubt forbids what any settings may
            settings = one if settings is None else meet(settings, one)
        settings = settings or self.own.settings
        closed = set(pages.closed) | (set(live(settings)) if pages.doubt == "refuse" else set())
        return Acts(
            "doubtful",
            pages.rules.version,
            settings,
            frozenset(out),
            frozenset(pages.wary) - out,
            frozenset(pages.preferred),
            frozenset(closed),
            why,
        )

    # ---- as the module is told ----

    def forms(self) -> dict[str, frozenset[Idempotency]]:
        """Of classes that clients may call in several ways now: in the middle in those of both, in doubt in
        any."""
        if self.acts.doubtful:
            return dict.fromkeys(live(self.acts.settings), ALL_FORMS)
        pending = self.book.pages.pending
        if pending is None or pending.phase is Phase.CHECK:
            return {}
        try:
            held, comes = self.own.read(self.book.pages.rules.settings), self.own.read(pending.rules.settings)
        except SettingsError:
            return {}
        first, second = live(held), live(comes)
        return {
            name: frozenset({c.idempotency, second[name].idempotency})
            for name, c in first.items()
            if name in second and c.idempotency is not second[name].idempotency
        }


def word(acts: Acts, numbers: dict[str, int], leaving: frozenset[int] = frozenset()) -> Word:
    """What the decision module is told beside the settings. `numbers`: of servers, by name; `leaving`: told
    by other balancers' lists. Servers that are out come as bans, which the module has since long."""
    return Word(
        leaving | frozenset(numbers[n] for n in acts.wary if n in numbers),
        frozenset(numbers[n] for n in acts.preferred if n in numbers),
        acts.closed,
        acts.doubtful,
    )
