"""`[agree]`: the history that this balancer shares with the others (docs/operators/agree.md)."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Annotated, Any, Literal

from msgspec import Meta, Struct

from dykeshift.agree.core import Agree, No
from dykeshift.agree.keep import KIND, Spoilt, known, pack, replay, whole
from dykeshift.agree.keep import Kept as Life
from dykeshift.agree.log import Sort
from dykeshift.agree.proposals import COMMITTED, REFUSED, Answer
from dykeshift.agree.shell import Kept, Runner
from dykeshift.agree.state import Event, Latest, Record
from dykeshift.agree.state import Options as Terms
from dykeshift.agree.wire import is_ours
from dykeshift.engine.config import ConfigError
from dykeshift.interface import Settings
from dykeshift.node.quiet import Still, carrier, connections, objection
from dykeshift.store.log import Log, LogError, Recovered
from dykeshift.store.records import LogFormatError
from dykeshift.view.wire import NOBODY, State

if TYPE_CHECKING:
    from dykeshift.node.features import Host
    from dykeshift.node.view import Service as View

__all__ = ["Options", "PEERING", "Service", "carrier", "check", "connections", "objection", "start"]

log = logging.getLogger(__name__)

PEERING = True
FILE = "agree.log"
FULL = 1 << 20  # bytes of the file: beyond them it is written anew with what still counts
WAIT = 2.5  # seconds that an answer of the console waits for the others: operators' calls give up after three
LATEST = 20  # changes that `GET /agree/log` shows
LOUD = {
    "stranger": logging.ERROR,
    "lost": logging.ERROR,
    "forgotten": logging.WARNING,
    "fenced": logging.WARNING,
    "founded": logging.WARNING,
    "committed": logging.DEBUG,
}


class Options(Struct, frozen=True, forbid_unknown_fields=True):
    """Of the section `[agree]`; each has its default."""

    voters: Literal[1, 3, 5, 7] = 5
    beat_s: Annotated[float, Meta(ge=0.02, le=5)] = 0.2
    lease_s: Annotated[float, Meta(ge=0.5, le=3600)] = 10.0
    replace_s: Annotated[float, Meta(ge=1, le=86_400)] = 60.0
    keep: Annotated[int, Meta(ge=16, le=65_536)] = 256
    folder: str = ""
    datagrams_s: Annotated[float, Meta(ge=40, le=10_000)] = 100.0
    bytes_s: Annotated[float, Meta(ge=8192, le=2_560_000)] = 20_000.0


def check(options: Options, settings: Settings | None) -> None:
    if options.lease_s < 20 * options.beat_s:
        raise ValueError("lease_s is under 20 beats: nobody could renew it in time")
    if options.replace_s < 20 * options.beat_s:
        raise ValueError("replace_s is under 20 beats: a short silence would cost a voter its seat")
    if options.datagrams_s * options.beat_s < 4 * options.voters:
        raise ValueError("datagrams_s is too little for a leader of so many voters")


class Keeper:
    """The records on a disk, written beside the loop."""

    def __init__(self, host: Host, log: Log, lives: Callable[[], list[bytes]]) -> None:
        self.worker, self.log, self.lives = host.disk.worker(host.loop), log, lives

    def keep(self, records: list[Record], done: Kept) -> None:
        payloads = [pack(record) for record in records]
        anew = self.lives() if self.log.size > FULL else None

        def work() -> None:
            if anew is not None:
                self.log.compact(anew)
                return
            for payload in payloads:
                self.log.append(payload)
            self.log.commit()

        def over(_: Any, error: BaseException | None) -> None:
            if error is not None:
                log.error(
                    "the agreement goes on without its disk: %s",
                    error,
                    extra={"event": "agree.diskless", "fields": {"reason": str(error)}},
                )
            done(error is None)

        self.worker.run(work, over)

    def close(self) -> None:
        self.worker.close()
        self.log.close()


class Service(Still):
    """The agreement in this process."""

    def __init__(self, host: Host, view: View, core: Agree) -> None:
        self.host, self.view, self.core = host, view, core
        self.listeners: list[Callable[[Event], None]] = []  # who builds on the history
        self.runner = Runner(host.loop, host.clock, core, view.port.send, self._tell)
        self.keeper: Keeper | None = None

    def begin(self) -> None:
        host = self.host
        self.view.port.claims.append((is_ours, self.runner.take))
        self.view.watchers.append(self._roster)
        host.offers.calls.update({b"/agree": self.status, b"/agree/log": self.changes})
        host.offers.orders.update(
            {
                (b"PUT", b"/agree/propose"): self.propose,
                (b"GET", b"/agree/read"): self.read,
                (b"PUT", b"/agree/rescue"): self.rescue,
            }
        )
        host.figures["agree"] = self.figures
        host.found["agree"] = self
        self._roster()
        self.runner.start()

    def _roster(self) -> None:
        view = self.view.view
        alive, places = {view.me.number}, {}
        for member in view.table:
            number = member.entry.number
            if number != NOBODY and member.address is not None:
                places[number] = member.address
                if member.state in (State.ALIVE, State.SUSPECT):
                    alive.add(number)
        self.core.on_roster(alive, places)

    # ---- what operators ask ----

    def told(self) -> dict[str, Any]:
        return {"self": self.host.given.name, **self.core.summary(self.host.clock.monotonic_ns())}

    def status(self) -> bytes:
        return _json(self.told())

    def changes(self) -> bytes:
        """The latest changes that this balancer still has one by one."""
        shared = self.core.shared
        found = []
        for index in range(shared.commit, shared.log.base.index, -1):
            entry = shared.log.entry(index)
            if entry.sort == Sort.CHANGE:
                found.append(
                    {
                        "version": shared.log.version_at(index),
                        "id": f"{entry.ident:016x}",
                        "term": entry.term,
                        "bytes": len(entry.body),
                        "entry": _text(entry.body[:200]),
                    }
                )
            if len(found) == LATEST:
                break
        return _json({"committed": shared.log.version_at(shared.commit), "changes": found})

    def propose(self, body: bytes, done: Callable[[int, bytes], None]) -> None:
        try:
            entry, expect, ident = _proposal(body)
        except ValueError as exc:
            done(400, _json({"reason": str(exc)}))
            return

        def answered(answer: Answer) -> None:
            status = {COMMITTED: 200, REFUSED: 409}.get(answer.status, 503)
            told = {"version": answer.version, "id": f"{number:016x}"}
            done(status, _json(told if status == 200 else {**told, "reason": answer.text}))

        number = ident or self.core.shared.rng.getrandbits(64) or 1
        self.runner.propose(entry, expect, int(WAIT * 1e9), number, answered)

    def read(self, body: bytes, done: Callable[[int, bytes], None]) -> None:
        def answered(version: int | None) -> None:
            if version is None:
                done(503, _json({"reason": "no majority of the voters is in reach"}))
            else:
                done(200, _json({"version": version, "entry": _text(self.core.shared.machine.snapshot())}))

        self.runner.read(int(WAIT * 1e9), answered)

    def rescue(self, body: bytes, done: Callable[[int, bytes], None]) -> None:
        try:
            given = json.loads(body or b"{}")
            voters, force = given.get("voters"), given.get("force", False)
            if not isinstance(force, bool) or voters is not None and voters not in (1, 3, 5, 7):
                raise ValueError("voters are 1, 3, 5 or 7, force is true or false")
        except (ValueError, AttributeError, RecursionError) as exc:
            done(400, _json({"reason": str(exc)}))
            return
        try:
            self.runner.carry(self.core.rescue(self.host.clock.monotonic_ns(), voters, force))
        except No as exc:
            done(409, _json({"reason": str(exc)}))
        else:
            done(200, self.status())

    def figures(self) -> dict[str, Any]:
        told = self.told()
        names = ("role", "epoch", "term", "leader", "committed", "lease_s")
        return {
            **{name: told[name] for name in names},
            **told["sent"],
            "dropped": sum(told["dropped"].values()),
        }

    def _tell(self, event: Event) -> None:
        for listener in self.listeners:
            listener(event)
        shared = self.core.shared
        fields = {"epoch": shared.epoch[1], "term": self.core.voter.term, "entry": shared.commit}
        if event.version:
            fields["version"] = event.version
        log.log(
            LOUD.get(event.kind, logging.INFO),
            "agree: %s %s",
            event.kind,
            event.text or event.version or "",
            extra={"event": "agree." + event.kind, "fields": {**fields, "text": event.text}},
        )

    # ---- ends ----

    def drain(self) -> None:
        """Its seat, and the lead, go to others while it lets go of its clients."""
        self.runner.carry(self.core.retire(self.host.clock.monotonic_ns()))

    def busy(self) -> bool:
        return self.core.handing_over(self.host.clock.monotonic_ns())

    def close(self) -> None:
        self.runner.close()
        if self.keeper is not None:
            self.keeper.close()


def _json(told: dict[str, Any]) -> bytes:
    return json.dumps(told, separators=(",", ":")).encode()


def _text(body: bytes) -> str:
    return body.decode("utf-8", "backslashreplace")


def _proposal(body: bytes) -> tuple[bytes, int, int | None]:
    """Entry, expected version, and the id of a proposal that is made again; ValueError in a line."""
    try:
        given = json.loads(body)
    except (ValueError, RecursionError):
        raise ValueError("the body is no JSON") from None
    entry = given.get("entry") if isinstance(given, dict) else None
    expect = given.get("expect") if isinstance(given, dict) else None
    counted = isinstance(expect, int) and not isinstance(expect, bool) and 0 <= expect < 1 << 31
    if not isinstance(entry, str) or not isinstance(expect, int) or not counted:
        raise ValueError('the body is no object with "entry", a text, and "expect", a version')
    ident = given.get("id")
    if ident is None:
        return entry.encode(), expect, None
    try:
        number = int(ident, 16) if isinstance(ident, str) else 0
    except ValueError:
        number = 0
    if not 0 < number < 1 << 64:
        raise ValueError('"id" is no id that was answered before')
    return entry.encode(), expect, number


async def start(options: Options, host: Host) -> Service:
    """ConfigError where the view is off, or the folder can't be used."""
    view: View | None = host.found.get("view")
    peering = host.given.peering
    if view is None or peering is None:
        raise ConfigError("[agree] wants [view]")
    terms = Terms(
        options.voters,
        int(options.beat_s * 1e9),
        int(options.lease_s * 1e9),
        view.view.options.drift,
        int(options.replace_s * 1e9),
        options.keep,
        options.datagrams_s,
        options.bytes_s,
    )
    number = None if view.view.me.number == NOBODY else view.view.me.number
    places = dict(enumerate(peering.peers)) if number is not None else {}
    rng = Random(f"agree/{host.given.seed}/{host.clock.time_ns()}")
    file, kept = _open(options.folder, host) if options.folder else (None, None)
    machine = host.found.get("machine") or Latest()
    core = Agree(terms, view.view.seal, number, places, rng, machine, file is not None)
    if kept is not None and known(kept):
        core.restore(kept)
    service = Service(host, view, core)
    if file is not None:
        service.keeper = Keeper(host, file, lambda: whole(core.life()))
        service.runner.keep = service.keeper.keep
    service.begin()
    return service


def _open(folder: str, host: Host) -> tuple[Log | None, Life | None]:
    """The file, and the life that it holds. Locked by another process of this balancer: without a disk."""
    try:
        files = host.disk.open(folder)
    except BlockingIOError:
        log.warning(
            "another process has the folder %s: this one's agreement is in memory",
            folder,
            extra={"event": "agree.locked", "fields": {"folder": folder}},
        )
        return None, None
    except OSError as exc:
        raise ConfigError(f"[agree] cannot use the folder {folder!r}: {exc.strerror or exc}") from None
    file = Log(files, FILE, KIND)
    try:
        found = file.open()
        try:
            return file, _life(found)
        except Spoilt as exc:
            log.error(
                "what was promised is no longer known, this balancer begins anew: %s",
                exc,
                extra={"event": "agree.spoilt", "fields": {"reason": str(exc)}},
            )
            file.compact([])
            return file, None
    except (LogError, LogFormatError) as exc:
        raise ConfigError(f"[agree] cannot use {folder}/{FILE}: {exc}") from None


def _life(found: Recovered) -> Life | None:
    if found.holes:
        raise Spoilt(f"{len(found.holes)} stretches of it are lost")
    return replay(found.payloads)
