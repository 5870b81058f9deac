"""The feature `[agree]`: the log that the balancers replicate by consensus (docs/operators/agree.md)."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Annotated, Any, Literal

from msgspec import Meta, Struct

from dykeshift.agree.core import Agree, No
from dykeshift.agree.keep import KIND, Spoilt, known, pack, replay, whole
from dykeshift.agree.keep import Kept as SavedState
from dykeshift.agree.log import Sort
from dykeshift.agree.proposals import COMMITTED, REFUSED, Answer
from dykeshift.agree.shell import Kept, Runner
from dykeshift.agree.state import Event, Latest, Record
from dykeshift.agree.state import Options as CoreOptions
from dykeshift.agree.wire import is_ours
from dykeshift.engine.config import ConfigError
from dykeshift.interface import Settings
from dykeshift.node.defaults import PassiveService, carrier, connections, objection
from dykeshift.store.log import Log, LogError, Recovered
from dykeshift.store.records import LogFormatError
from dykeshift.view.wire import UNNUMBERED, State

if TYPE_CHECKING:
    from dykeshift.node.features import Host
    from dykeshift.node.view import Service as View

__all__ = ["Options", "PEERING", "Service", "carrier", "check", "connections", "objection", "start"]

log = logging.getLogger(__name__)

PEERING = True
LOG_FILE = "agree.log"
COMPACT_ABOVE_BYTES = 1 << 20  # a larger file is rewritten with only the records that are still needed
CALL_TIMEOUT_S = 2.5  # of console calls: the operators' clients time out after 3 s
MAX_CHANGES_SHOWN = 20  # by `GET /agree/log`
LOG_LEVELS = {
    "stranger": logging.ERROR,
    "lost": logging.ERROR,
    "forgotten": logging.WARNING,
    "fenced": logging.WARNING,
    "founded": logging.WARNING,
    "committed": logging.DEBUG,
}


class Options(Struct, frozen=True, forbid_unknown_fields=True):
    """The options of the section `[agree]`."""

    voters: Literal[1, 3, 5, 7] = 5
    beat_s: Annotated[float, Meta(ge=0.02, le=5)] = 0.2
    lease_s: Annotated[float, Meta(ge=0.5, le=3600)] = 10.0
    replace_s: Annotated[float, Meta(ge=1, le=86_400)] = 60.0
    keep: Annotated[int, Meta(ge=16, le=65_536)] = 256
    folder: str = ""
    datagrams_s: Annotated[float, Meta(ge=40, le=10_000)] = 100.0
    bytes_s: Annotated[float, Meta(ge=8192, le=2_560_000)] = 20_000.0


def check(options: Options, settings: Settings | None) -> None:
    """Raises ValueError with one line of text for a bad combination of options."""
    if options.lease_s < 20 * options.beat_s:
        raise ValueError("lease_s is under 20 beats: no lease could be renewed in time")
    if options.replace_s < 20 * options.beat_s:
        raise ValueError("replace_s is under 20 beats: a voter would be replaced after a short silence")
    if options.datagrams_s * options.beat_s < 4 * options.voters:
        raise ValueError("datagrams_s is too low for a leader with this number of voters")


class DiskWriter:
    """Writes the records to disk in a worker thread, outside the event loop."""

    def __init__(self, host: Host, log: Log, snapshot: Callable[[], list[bytes]]) -> None:
        self.worker, self.log, self.snapshot = host.disk.worker(host.loop), log, snapshot

    def write(self, records: list[Record], done: Kept) -> None:
        """Write the records; `done` gets whether they are durable. A large file is compacted instead."""
        payloads = [pack(record) for record in records]
        compacted = self.snapshot() if self.log.size > COMPACT_ABOVE_BYTES else None

        def work() -> None:
            if compacted is not None:
                self.log.compact(compacted)
                return
            for payload in payloads:
                self.log.append(payload)
            self.log.commit()

        def on_done(_: Any, error: BaseException | None) -> None:
            if error is not None:
                log.error(
                    "agreement log cannot be written, continuing without persistence: %s",
                    error,
                    extra={"event": "agree.diskless", "fields": {"reason": str(error)}},
                )
            done(error is None)

        self.worker.run(work, on_done)

    def close(self) -> None:
        """Finish the queued writes and close the file."""
        self.worker.close()
        self.log.close()


class Service(PassiveService):
    """This process's member of the consensus group, with its console calls."""

    def __init__(self, host: Host, view: View, core: Agree) -> None:
        self.host, self.view, self.core = host, view, core
        self.listeners: list[Callable[[Event], None]] = []  # features that act on the log's events
        self.runner = Runner(host.loop, host.clock, core, view.port.send, self._on_event)
        self.disk_writer: DiskWriter | None = None

    def begin(self) -> None:
        """Register with the view, the console and the other features, and start the timers."""
        host = self.host
        self.view.port.claims.append((is_ours, self.runner.take))
        self.view.watchers.append(self._update_members)
        host.offers.immediate_calls.update({b"/agree": self.status, b"/agree/log": self.changes})
        host.offers.deferred_calls.update(
            {
                (b"PUT", b"/agree/propose"): self.propose,
                (b"GET", b"/agree/read"): self.read,
                (b"PUT", b"/agree/rescue"): self.rescue,
            }
        )
        host.metrics["agree"] = self.figures
        host.services["agree"] = self
        self._update_members()
        self.runner.start()

    def _update_members(self) -> None:
        view = self.view.view
        alive, addresses = {view.me.number}, {}
        for member in view.table:
            number = member.entry.number
            if number != UNNUMBERED and member.address is not None:
                addresses[number] = member.address
                if member.state in (State.ALIVE, State.SUSPECT):
                    alive.add(number)
        self.core.on_roster(alive, addresses)

    # ---- console calls ----

    def summary(self) -> dict[str, Any]:
        """The state of this member, by name."""
        return {"self": self.host.configuration.name, **self.core.summary(self.host.clock.monotonic_ns())}

    def status(self) -> bytes:
        """The answer to `GET /agree`."""
        return _json(self.summary())

    def changes(self) -> bytes:
        """The latest changes that have not been folded into the snapshot, newest first."""
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
            if len(found) == MAX_CHANGES_SHOWN:
                break
        return _json({"committed": shared.log.version_at(shared.commit), "changes": found})

    def propose(self, body: bytes, done: Callable[[int, bytes], None]) -> None:
        """Handle `PUT /agree/propose`: 200 committed, 409 refused, 503 not known in time."""
        try:
            entry, expect, ident = _proposal(body)
        except ValueError as exc:
            done(400, _json({"reason": str(exc)}))
            return

        def answered(answer: Answer) -> None:
            status = {COMMITTED: 200, REFUSED: 409}.get(answer.status, 503)
            reply = {"version": answer.version, "id": f"{number:016x}"}
            done(status, _json(reply if status == 200 else {**reply, "reason": answer.text}))

        number = ident or self.core.shared.rng.getrandbits(64) or 1
        self.runner.propose(entry, expect, int(CALL_TIMEOUT_S * 1e9), number, answered)

    def read(self, body: bytes, done: Callable[[int, bytes], None]) -> None:
        """Handle `GET /agree/read`: the state as a majority confirms it, or 503."""

        def answered(version: int | None) -> None:
            if version is None:
                done(503, _json({"reason": "no majority of the voters is in reach"}))
            else:
                done(200, _json({"version": version, "entry": _text(self.core.shared.machine.snapshot())}))

        self.runner.read(int(CALL_TIMEOUT_S * 1e9), answered)

    def rescue(self, body: bytes, done: Callable[[int, bytes], None]) -> None:
        """Handle `PUT /agree/rescue`: replace the lost voters on an operator's request."""
        try:
            request = json.loads(body or b"{}")
            voters, force = request.get("voters"), request.get("force", False)
            if not isinstance(force, bool) or voters is not None and voters not in (1, 3, 5, 7):
                raise ValueError("voters must be 1, 3, 5 or 7, and force true or false")
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
        """The metrics for `[tally]`."""
        summary = self.summary()
        names = ("role", "epoch", "term", "leader", "committed", "lease_s")
        return {
            **{name: summary[name] for name in names},
            **summary["sent"],
            "dropped": sum(summary["dropped"].values()),
        }

    def _on_event(self, event: Event) -> None:
        for listener in self.listeners:
            listener(event)
        shared = self.core.shared
        fields = {"epoch": shared.epoch[1], "term": self.core.voter.term, "entry": shared.commit}
        if event.version:
            fields["version"] = event.version
        log.log(
            LOG_LEVELS.get(event.kind, logging.INFO),
            "agree: %s %s",
            event.kind,
            event.text or event.version or "",
            extra={"event": "agree." + event.kind, "fields": {**fields, "text": event.text}},
        )

    # ---- shutdown ----

    def drain(self) -> None:
        """Hand the voter's seat, and the leadership, to others while clients are drained."""
        self.runner.carry(self.core.retire(self.host.clock.monotonic_ns()))

    def busy(self) -> bool:
        """Whether the seat or the leadership is still being handed over."""
        return self.core.handing_over(self.host.clock.monotonic_ns())

    def close(self) -> None:
        """Stop the timers and close the log file."""
        self.runner.close()
        if self.disk_writer is not None:
            self.disk_writer.close()


def _json(value: dict[str, Any]) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()


def _text(body: bytes) -> str:
    return body.decode("utf-8", "backslashreplace")


def _proposal(body: bytes) -> tuple[bytes, int, int | None]:
    """Entry, expected version, and the id if the proposal is repeated.

    Raises ValueError with one line of text.
    """
    try:
        request = json.loads(body)
    except (ValueError, RecursionError):
        raise ValueError("the body is not JSON") from None
    entry = request.get("entry") if isinstance(request, dict) else None
    expect = request.get("expect") if isinstance(request, dict) else None
    is_version = isinstance(expect, int) and not isinstance(expect, bool) and 0 <= expect < 1 << 31
    if not isinstance(entry, str) or not isinstance(expect, int) or not is_version:
        raise ValueError('the body must be an object with "entry", a text, and "expect", a version')
    ident = request.get("id")
    if ident is None:
        return entry.encode(), expect, None
    try:
        number = int(ident, 16) if isinstance(ident, str) else 0
    except ValueError:
        number = 0
    if not 0 < number < 1 << 64:
        raise ValueError('"id" must be an id from an earlier answer')
    return entry.encode(), expect, number


async def start(options: Options, host: Host) -> Service:
    """Raises ConfigError if `[view]` is off or the folder cannot be used."""
    view: View | None = host.services.get("view")
    peering = host.configuration.peering
    if view is None or peering is None:
        raise ConfigError("[agree] requires [view]")
    core_options = CoreOptions(
        options.voters,
        int(options.beat_s * 1e9),
        int(options.lease_s * 1e9),
        view.view.options.drift,
        int(options.replace_s * 1e9),
        options.keep,
        options.datagrams_s,
        options.bytes_s,
    )
    number = None if view.view.me.number == UNNUMBERED else view.view.me.number
    addresses = dict(enumerate(peering.peers)) if number is not None else {}
    rng = Random(f"agree/{host.configuration.seed}/{host.clock.time_ns()}")
    file, saved = _open_log(options.folder, host) if options.folder else (None, None)
    machine = host.services.get("machine") or Latest()
    core = Agree(core_options, view.view.seal, number, addresses, rng, machine, file is not None)
    if saved is not None and known(saved):
        core.restore(saved)
    service = Service(host, view, core)
    if file is not None:
        service.disk_writer = DiskWriter(host, file, lambda: whole(core.life()))
        service.runner.keep = service.disk_writer.write
    service.begin()
    return service


def _open_log(folder: str, host: Host) -> tuple[Log | None, SavedState | None]:
    """The log file and the state saved in it.

    Neither if another process of this balancer has locked the folder.
    """
    try:
        files = host.disk.open(folder)
    except BlockingIOError:
        log.warning(
            "folder %s is locked by another process: this process keeps its agreement log in memory only",
            folder,
            extra={"event": "agree.locked", "fields": {"folder": folder}},
        )
        return None, None
    except OSError as exc:
        raise ConfigError(f"[agree] cannot use the folder {folder!r}: {exc.strerror or exc}") from None
    file = Log(files, LOG_FILE, KIND)
    try:
        found = file.open()
        try:
            return file, _replayed(found)
        except Spoilt as exc:
            log.error(
                "agreement log is corrupt, this balancer rejoins as a new member without its votes: %s",
                exc,
                extra={"event": "agree.spoilt", "fields": {"reason": str(exc)}},
            )
            file.compact([])
            return file, None
    except (LogError, LogFormatError) as exc:
        raise ConfigError(f"[agree] cannot use {folder}/{LOG_FILE}: {exc}") from None


def _replayed(found: Recovered) -> SavedState | None:
    if found.holes:
        raise Spoilt(f"{len(found.holes)} ranges of the file are lost")
    return replay(found.payloads)
