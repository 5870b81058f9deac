"""What operators ask of the versions over the console, and change: `/settings...`, and bans of the whole
fleet."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec

from dykeshift.agree.core import No
from dykeshift.agree.proposals import COMMITTED, REFUSED, Answer
from dykeshift.console.calls import CallError, name_of
from dykeshift.engine.discovery import number_of
from dykeshift.settings import SettingsError
from dykeshift.versions.book import Pending, Rules
from dykeshift.versions.changes import Change, Halt, Lists, Propose, Unban, pack
from dykeshift.versions.checks import ban_objection
from dykeshift.versions.own import share
from dykeshift.versions.terms import differences, live

if TYPE_CHECKING:
    from dykeshift.node.features import Offers
    from dykeshift.node.versions import Service

Done = Callable[[int, bytes], None]
WAIT = 2.5  # seconds for a change or a read to be answered, as the agreement's calls have it
SOON = 800_000_000  # nanoseconds that a ban's answer waits for all: operators are owed one in a second
LOOK = 0.02  # seconds between two looks at whether it has come


class Calls:
    def __init__(self, service: Service) -> None:
        self.service = service

    def register(self, offers: Offers) -> None:
        offers.calls.update(
            {b"/settings": self.status, b"/settings/rules": self.texts, b"/settings/history": self.history}
        )
        puts: dict[bytes, Callable[[Any], Change]] = {
            b"/settings/propose": self._proposal,
            b"/settings/rollback": self._rollback,
            b"/settings/halt": self._halt,
            b"/settings/lists": self._lists,
        }
        for path, make in puts.items():
            offers.orders[b"PUT", path] = self._order(make)
        offers.orders[b"PUT", b"/settings/alone"] = self.alone
        offers.orders[b"GET", b"/settings/members"] = self.members
        offers.orders[b"PUT", b"/maintenance/enter"] = self.enter
        offers.orders[b"PUT", b"/maintenance/exit"] = self.exit

    # ---- looking ----

    def rules(self) -> dict[str, Any]:
        """What it acts on, since when and why: a part of `GET /fleet` too."""
        service = self.service
        service.look()
        force, acts = service.core.force, service.core.acts
        return {
            "mode": acts.mode,
            "version": acts.version,
            "book": service.core.book.pages.version,
            "since_s": round((service.now() - force.since) / 1e9, 3),
            "why": acts.why,
        }

    def status(self) -> bytes:
        service, pages = self.service, self.service.core.book.pages
        options = service.core.options
        shared = service.agree.core.shared
        from dykeshift.node.versions import times

        told = {
            "self": service.host.given.name,
            "number": service.core.number,
            **self.rules(),
            "history": f"{shared.epoch[0]:08x}",
            "epoch": shared.epoch[1],
            "digest": hashlib.blake2s(service.core.book.snapshot(), digest_size=8).hexdigest(),
            "stamp": service.core.force.stamp,
            "by": pages.rules.by,
            **times(service.options, options.lease / 1e9, options.drift),
            "leader": service.core.history.leader(),
            "pending": self._pending(pages.pending),
            "out": msgspec.to_builtins(pages.out),
            "out_here": sorted(service.core.wanted),
            "preferred": pages.preferred,
            "closed": pages.closed,
            "wary": pages.wary,
            "doubt": pages.doubt,
            "leaving": len(service.leaving),
            "ignored": service.core.lists.ignored,
            "outcomes": msgspec.to_builtins(pages.outcomes),
            "file": service.differs,
            "strange": service.core.book.strange,
            "dropped": service.core.dropped,
        }
        return _json(told)

    def _pending(self, pending: Pending | None) -> dict[str, Any] | None:
        if pending is None:
            return None
        own, pages = self.service.core.own, self.service.core.book.pages
        try:
            held = own.read(pages.rules.settings)
            changed = differences(held, own.read(pending.rules.settings))
        except SettingsError as exc:
            changed = [str(exc)]
        return {
            "version": pending.rules.version,
            "phase": pending.phase.value,
            "stage": pending.stage,
            "stages": pending.stages,
            "by": pending.rules.by,
            "guarded": changed,
            "dry": pending.dry,
            "reason": pending.reason,
        }

    def texts(self) -> bytes:
        pages = self.service.core.book.pages
        comes = pages.pending.rules if pages.pending is not None else None
        return _json(
            {
                "in_force": _rules(pages.rules),
                "comes": _rules(comes) if comes else None,
                "file": json.loads(self.service.core.own.shared),
            }
        )

    def history(self) -> bytes:
        pages = self.service.core.book.pages
        return _json(
            {
                "rules": [_rules(r) for r in (pages.rules, *pages.past)],
                "outcomes": msgspec.to_builtins(pages.outcomes),
            }
        )

    def members(self, body: bytes, done: Done) -> None:
        """What each has reported to whoever leads."""
        core, now = self.service.core, self.service.now()
        leader = core.history.leader()
        if leader != core.number:
            done(
                409,
                _json(
                    {
                        "reason": f"number {leader} leads and is told"
                        if leader is not None
                        else "nobody leads",
                        "leader": leader,
                    }
                ),
            )
            return
        rows = [
            {
                "number": number,
                "book": m.report.version,
                "mode": m.report.mode,
                "verdict": m.report.verdict.name.lower(),
                "reason": m.report.reason,
                "answers": m.report.answers,
                "bad": m.report.bad,
                "ago_s": round((now - m.at) / 1e9, 3),
            }
            for number, m in sorted(core.guide.members.items())
        ]
        done(
            200,
            _json(
                {
                    "members": rows,
                    "alive": sorted(core.history.facts().alive),
                    "evidence": round(core.guide.trial.evidence, 3),
                }
            ),
        )

    def figures(self) -> dict[str, Any]:
        told = self.rules()
        return {
            "mode": told["mode"],
            "version": told["version"],
            "book": told["book"],
            "since_s": told["since_s"],
            "leaving": len(self.service.leaving),
        }

    # ---- changing ----

    def _order(self, make: Callable[[Any], Change]) -> Callable[[bytes, Done], None]:
        def order(body: bytes, done: Done) -> None:
            try:
                given = json.loads(body or b"{}")
                if not isinstance(given, dict):
                    raise ValueError("the body is no object")
                change = make(given)
            except (ValueError, RecursionError, msgspec.ValidationError, SettingsError) as exc:
                done(400, _json({"reason": str(exc)}))
            except No as exc:
                done(409, _json({"reason": str(exc)}))
            else:
                self._commit(change, done)

        return order

    def _commit(self, change: Change, done: Done) -> None:
        service, book = self.service, self.service.core.book
        why = book.objection(change)
        if why:
            done(409, _json({"reason": why}))
            return

        def answered(answer: Answer) -> None:
            told = {"version": answer.version, "id": f"{number:016x}"}
            if answer.status == COMMITTED:
                done(200, _json(told))
            else:
                done(409 if answer.status == REFUSED else 503, _json({**told, "reason": answer.text}))

        number: int = service.core.rng.getrandbits(64) or 1
        service.agree.runner.propose(pack(change), book.pages.version, int(WAIT * 1e9), number, answered)

    def _proposal(self, given: dict[str, Any]) -> Change:
        raw = given.get("settings")
        if not isinstance(raw, dict):
            raise ValueError('the body is no object with "settings", an object')
        text = share(raw)
        self.service.core.own.read(text)  # what nobody can act on is not even proposed
        stages = given.get("stages", [])
        roster = len(self.service.agree.core.shared.places)
        if not isinstance(stages, list) or any(
            not isinstance(g, list) or not g or any(type(n) is not int or not 0 <= n < roster for n in g)
            for g in stages
        ):
            raise ValueError(f"stages are groups of numbers of balancers, 0 to {roster - 1}")
        return Propose(
            msgspec.Raw(text.encode()),
            str(given.get("by", ""))[:200],
            tuple(tuple(g) for g in stages),
            given.get("dry") is True,
        )

    def _rollback(self, given: dict[str, Any]) -> Change:
        version = given.get("version")
        found = self.service.core.book.find(version) if isinstance(version, int) else None
        if found is None:
            raise No(f"version {version} is not among those that are kept")
        return Propose(msgspec.Raw(found.settings.encode()), str(given.get("by", ""))[:200], of=found.version)

    def _halt(self, given: dict[str, Any]) -> Change:
        pending = self.service.core.book.pages.pending
        if pending is None:
            raise No("nothing is under way")
        return Halt(pending.rules.version, str(given.get("reason") or "by hand")[:200])

    def _lists(self, given: dict[str, Any]) -> Change:
        change = msgspec.convert({"do": "lists", **given}, Lists)
        classes = set(live(self.service.core.acts.settings))
        unknown = sorted(set(change.closed or ()) - classes)
        if unknown:
            raise No(f"there is no class {unknown[0]}; there are {', '.join(sorted(classes))}")
        return change

    def alone(self, body: bytes, done: Done) -> None:
        """The operator's word: the others are gone for good; this balancer goes on with what it has."""
        service = self.service
        try:
            service.agree.runner.carry(service.agree.core.rescue(service.now(), 1))
        except No as exc:
            done(409, _json({"reason": str(exc)}))
        else:
            done(200, self.status())

    # ---- servers out by hand ----

    def enter(self, body: bytes, done: Done) -> None:
        """Obeyed here at once, by all others once it is committed: this balancer goes on proposing it."""
        service, desk, name = self.service, self.service.host.offers.desks[0], _named(body, done)
        if not name:
            return
        out = {number_of(n) for n in service.core.book.pages.out}
        out |= service.host.driver.pool.banned
        why = ban_objection(number_of(name), frozenset(out), service.sight())
        known = name in service.core.book.pages.out
        try:
            if why and not known:
                done(409, _json({"reason": why}))
            elif not known and not desk.enter(name):
                done(404, _json({"reason": "no upstream of that name was ever listed"}))
            else:
                if not known:
                    service.core.ban(name)
                    service.tick()
                self._await_ban(name, service.now() + SOON, done)
        except OSError as exc:
            done(500, _json({"reason": f"it could not be written down, nothing has changed: {exc.strerror}"}))

    def _await_ban(self, name: str, until: int, done: Done) -> None:
        """The answer comes once all have it, or when operators are owed one."""
        known = name in self.service.core.book.pages.out
        if known or self.service.now() >= until:
            done(200, _json({"here": True, "fleet": known}))
        else:
            self.service.host.loop.call_later(LOOK, self._await_ban, name, until, done)

    def exit(self, body: bytes, done: Done) -> None:
        """Of the fleet's ban: once all agree. Of one that never left this balancer: at once. Another balancer
        may have put it out a moment ago: so a majority is asked before it is said to be back."""
        service, desk, name = self.service, self.service.host.offers.desks[0], _named(body, done)
        if not name:
            return

        def known(version: int | None) -> None:
            here = name in service.core.wanted or number_of(name) in service.host.driver.pool.banned
            if name in service.core.book.pages.out:
                service.core.unban(name)
                self._commit(Unban(name, service.host.given.name), done)
            elif version is None and not here:
                done(503, _json({"reason": "no majority of the history's voters is in reach: it may be out"}))
            else:
                service.core.unban(name)
                back = desk.exit(name)
                done(
                    200 if back else 404,
                    _json(
                        {"here": True, "fleet": False}
                        if back
                        else {"reason": "no upstream of that name was ever listed"}
                    ),
                )

        if name in service.core.book.pages.out:
            known(None)
        else:
            service.agree.runner.read(int(WAIT * 1e9), known)


def _named(body: bytes, done: Done) -> str:
    """The server that a call names; empty, and answered, where it names none."""
    try:
        return name_of(body)
    except CallError as exc:
        done(exc.status, _json({"reason": str(exc)}))
        return ""


def _rules(rules: Rules) -> dict[str, Any]:
    return {
        "version": rules.version,
        "by": rules.by,
        "settings": json.loads(rules.settings) if rules.settings else None,
    }


def _json(told: Any) -> bytes:
    return json.dumps(told, separators=(",", ":")).encode()
