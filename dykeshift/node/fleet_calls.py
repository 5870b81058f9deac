"""Console calls of `[versions]`: `/settings...`, and `/maintenance...` for bans in the whole fleet."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec

from dykeshift.agree.core import No
from dykeshift.agree.proposals import COMMITTED, REFUSED, Answer
from dykeshift.console.calls import CallError, name_of
from dykeshift.engine.discovery import instance_number
from dykeshift.settings import SettingsError
from dykeshift.versions.book import Pending, Rules
from dykeshift.versions.changes import Change, Halt, Lists, Propose, Unban, pack
from dykeshift.versions.checks import ban_objection
from dykeshift.versions.own import shared_part
from dykeshift.versions.terms import differences, active_classes

if TYPE_CHECKING:
    from dykeshift.node.features import ConsoleCalls
    from dykeshift.node.versions import Service

Done = Callable[[int, bytes], None]
CALL_TIMEOUT_S = 2.5  # for a change to be committed or a read to be answered, as for the calls of `[agree]`
BAN_ANSWER_NS = 800_000_000  # a ban is answered by then, committed or not: operators get it within 1 s
BAN_POLL_S = 0.02  # between two checks whether the ban is committed


class FleetCalls:
    """The calls of one process; they read and change what the fleet has agreed on."""

    def __init__(self, service: Service) -> None:
        self.service = service

    def register(self, offers: ConsoleCalls) -> None:
        """Add the calls to those that the console answers."""
        offers.immediate_calls.update(
            {b"/settings": self.status, b"/settings/rules": self.rules, b"/settings/history": self.history}
        )
        puts: dict[bytes, Callable[[Any], Change]] = {
            b"/settings/propose": self._proposal,
            b"/settings/rollback": self._rollback,
            b"/settings/halt": self._halt,
            b"/settings/lists": self._lists,
        }
        for path, make in puts.items():
            offers.deferred_calls[b"PUT", path] = self._change_call(make)
        offers.deferred_calls[b"PUT", b"/settings/alone"] = self.alone
        offers.deferred_calls[b"GET", b"/settings/members"] = self.members
        offers.deferred_calls[b"PUT", b"/maintenance/enter"] = self.enter
        offers.deferred_calls[b"PUT", b"/maintenance/exit"] = self.exit

    # ---- reading ----

    def in_force(self) -> dict[str, Any]:
        """The version in force, since when and why; part of `GET /fleet` too."""
        service = self.service
        service.rules_stamp()
        force, acts = service.core.effective_settings, service.core.effective
        return {
            "mode": acts.mode,
            "version": acts.version,
            "book": service.core.store.state.version,
            "since_s": round((service.now() - force.since) / 1e9, 3),
            "why": acts.degraded_reason,
        }

    def status(self) -> bytes:
        """The answer to `GET /settings`."""
        service, pages = self.service, self.service.core.store.state
        options = service.core.options
        shared = service.agree.core.shared
        from dykeshift.node.versions import timing_bounds

        reply = {
            "self": service.host.configuration.name,
            "number": service.core.number,
            **self.in_force(),
            "history": f"{shared.epoch[0]:08x}",
            "epoch": shared.epoch[1],
            "digest": hashlib.blake2s(service.core.store.snapshot(), digest_size=8).hexdigest(),
            "stamp": service.core.effective_settings.stamp,
            "by": pages.rules.by,
            **timing_bounds(service.options, options.lease / 1e9, options.drift),
            "leader": service.core.history.leader(),
            "pending": self._pending(pages.pending),
            "out": msgspec.to_builtins(pages.out),
            "out_here": sorted(service.core.uncommitted_bans),
            "preferred": pages.preferred,
            "closed": pages.closed,
            "wary": pages.wary,
            "doubt": pages.doubt,
            "leaving": len(service.leaving),
            "ignored": service.core.lists.ignored,
            "outcomes": msgspec.to_builtins(pages.outcomes),
            "file": service.file_difference,
            "strange": service.core.store.unknown_entries,
            "dropped": service.core.dropped,
        }
        return _json(reply)

    def _pending(self, pending: Pending | None) -> dict[str, Any] | None:
        if pending is None:
            return None
        own, pages = self.service.core.local_settings, self.service.core.store.state
        try:
            current = own.read(pages.rules.settings)
            changed = differences(current, own.read(pending.rules.settings))
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

    def rules(self) -> bytes:
        """The answer to `GET /settings/rules`: settings in force, pending ones, and those of the own file."""
        pages = self.service.core.store.state
        pending = pages.pending.rules if pages.pending is not None else None
        return _json(
            {
                "in_force": _rules_json(pages.rules),
                "comes": _rules_json(pending) if pending else None,
                "file": json.loads(self.service.core.local_settings.shared),
            }
        )

    def history(self) -> bytes:
        """The answer to `GET /settings/history`."""
        pages = self.service.core.store.state
        return _json(
            {
                "rules": [_rules_json(r) for r in (pages.rules, *pages.past)],
                "outcomes": msgspec.to_builtins(pages.outcomes),
            }
        )

    def members(self, body: bytes, done: Done) -> None:
        """What each balancer has reported to the leader; 409 at a balancer that is not the leader."""
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
                "ago_s": round((now - m.received_at) / 1e9, 3),
            }
            for number, m in sorted(core.rollout.members.items())
        ]
        done(
            200,
            _json(
                {
                    "members": rows,
                    "alive": sorted(core.history.status().alive),
                    "evidence": round(core.rollout.trial.evidence, 3),
                }
            ),
        )

    def figures(self) -> dict[str, Any]:
        """The metrics for `[tally]`."""
        status = self.in_force()
        return {
            "mode": status["mode"],
            "version": status["version"],
            "book": status["book"],
            "since_s": status["since_s"],
            "leaving": len(self.service.leaving),
        }

    # ---- changing ----

    def _change_call(self, make: Callable[[Any], Change]) -> Callable[[bytes, Done], None]:
        def call(body: bytes, done: Done) -> None:
            try:
                request = json.loads(body or b"{}")
                if not isinstance(request, dict):
                    raise ValueError("the body must be an object")
                change = make(request)
            except (ValueError, RecursionError, msgspec.ValidationError, SettingsError) as exc:
                done(400, _json({"reason": str(exc)}))
            except No as exc:
                done(409, _json({"reason": str(exc)}))
            else:
                self._commit(change, done)

        return call

    def _commit(self, change: Change, done: Done) -> None:
        service, book = self.service, self.service.core.store
        why = book.objection(change)
        if why:
            done(409, _json({"reason": why}))
            return

        def answered(answer: Answer) -> None:
            reply = {"version": answer.version, "id": f"{number:016x}"}
            if answer.status == COMMITTED:
                done(200, _json(reply))
            else:
                done(409 if answer.status == REFUSED else 503, _json({**reply, "reason": answer.text}))

        number: int = service.core.rng.getrandbits(64) or 1
        service.agree.runner.propose(
            pack(change), book.state.version, int(CALL_TIMEOUT_S * 1e9), number, answered
        )

    def _proposal(self, request: dict[str, Any]) -> Change:
        raw = request.get("settings")
        if not isinstance(raw, dict):
            raise ValueError('the body must be an object with "settings", an object')
        text = shared_part(raw)
        self.service.core.local_settings.read(text)  # settings that are not valid are not proposed
        stages = request.get("stages", [])
        fleet_size = len(self.service.agree.core.shared.places)
        if not isinstance(stages, list) or any(
            not isinstance(g, list) or not g or any(type(n) is not int or not 0 <= n < fleet_size for n in g)
            for g in stages
        ):
            raise ValueError(f"stages must be groups of balancer numbers, 0 to {fleet_size - 1}")
        return Propose(
            msgspec.Raw(text.encode()),
            str(request.get("by", ""))[:200],
            tuple(tuple(g) for g in stages),
            request.get("dry") is True,
        )

    def _rollback(self, request: dict[str, Any]) -> Change:
        version = request.get("version")
        found = self.service.core.store.find(version) if isinstance(version, int) else None
        if found is None:
            raise No(f"version {version} is not among those that are kept")
        return Propose(
            msgspec.Raw(found.settings.encode()), str(request.get("by", ""))[:200], of=found.version
        )

    def _halt(self, request: dict[str, Any]) -> Change:
        pending = self.service.core.store.state.pending
        if pending is None:
            raise No("no change is pending")
        return Halt(pending.rules.version, str(request.get("reason") or "by hand")[:200])

    def _lists(self, request: dict[str, Any]) -> Change:
        change = msgspec.convert({"do": "lists", **request}, Lists)
        classes = set(active_classes(self.service.core.effective.settings))
        unknown = sorted(set(change.closed or ()) - classes)
        if unknown:
            raise No(f"there is no class {unknown[0]}; there are {', '.join(sorted(classes))}")
        return change

    def alone(self, body: bytes, done: Done) -> None:
        """Make this balancer the only voter: the operator states that the others are gone for good."""
        service = self.service
        try:
            service.agree.runner.carry(service.agree.core.rescue(service.now(), 1))
        except No as exc:
            done(409, _json({"reason": str(exc)}))
        else:
            done(200, self.status())

    # ---- bans by operators ----

    def enter(self, body: bytes, done: Done) -> None:
        """Ban a server: here at once, at all others once it is committed; it is proposed again until then."""
        service, backend, name = (
            self.service,
            self.service.host.offers.backends[0],
            _upstream_name(body, done),
        )
        if not name:
            return
        out = {instance_number(n) for n in service.core.store.state.out}
        out |= service.host.driver.pool.banned
        why = ban_objection(instance_number(name), frozenset(out), service.observe())
        known = name in service.core.store.state.out
        try:
            if why and not known:
                done(409, _json({"reason": why}))
            elif not known and not backend.enter(name):
                done(404, _json({"reason": "no upstream of that name was ever listed"}))
            else:
                if not known:
                    service.core.ban(name)
                    service.tick()
                self._await_ban(name, service.now() + BAN_ANSWER_NS, done)
        except OSError as exc:
            done(500, _json({"reason": f"it could not be written down, nothing has changed: {exc.strerror}"}))

    def _await_ban(self, name: str, until: int, done: Done) -> None:
        """Answer once the ban is committed, or when the time for an answer is over."""
        known = name in self.service.core.store.state.out
        if known or self.service.now() >= until:
            done(200, _json({"here": True, "fleet": known}))
        else:
            self.service.host.loop.call_later(BAN_POLL_S, self._await_ban, name, until, done)

    def exit(self, body: bytes, done: Done) -> None:
        """Lift a ban: a ban of the fleet once that is committed, one that is known here only at once.

        Another balancer may have banned the server a moment ago: unless the ban is known here, a majority is
        asked before the answer.
        """
        service, backend, name = (
            self.service,
            self.service.host.offers.backends[0],
            _upstream_name(body, done),
        )
        if not name:
            return

        def on_read(version: int | None) -> None:
            here = (
                name in service.core.uncommitted_bans
                or instance_number(name) in service.host.driver.pool.banned
            )
            if name in service.core.store.state.out:
                service.core.unban(name)
                self._commit(Unban(name, service.host.configuration.name), done)
            elif version is None and not here:
                done(503, _json({"reason": "no majority of the history's voters is in reach: it may be out"}))
            else:
                service.core.unban(name)
                back = backend.exit(name)
                done(
                    200 if back else 404,
                    _json(
                        {"here": True, "fleet": False}
                        if back
                        else {"reason": "no upstream of that name was ever listed"}
                    ),
                )

        if name in service.core.store.state.out:
            on_read(None)
        else:
            service.agree.runner.read(int(CALL_TIMEOUT_S * 1e9), on_read)


def _upstream_name(body: bytes, done: Done) -> str:
    """The server that a call names.

    Without one the call is answered with an error and the result is empty.
    """
    try:
        return name_of(body)
    except CallError as exc:
        done(exc.status, _json({"reason": str(exc)}))
        return ""


def _rules_json(rules: Rules) -> dict[str, Any]:
    return {
        "version": rules.version,
        "by": rules.by,
        "settings": json.loads(rules.settings) if rules.settings else None,
    }


def _json(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()
