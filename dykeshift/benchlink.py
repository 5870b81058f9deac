"""Adapter between a simulator's line protocol and the decision module, of which it hosts several instances.

Run as `python -m dykeshift.benchlink`. Standard output carries the protocol only.
"""

from __future__ import annotations

import gc
import sys
from collections.abc import Callable, Iterator
from typing import Any, TextIO

from dykeshift.interface import (
    Action,
    AttemptEnd,
    Cancel,
    Fail,
    ListKind,
    LoadReport,
    Log,
    Outcome,
    Refuse,
    Request,
    Send,
    ServerEntry,
    ServerList,
    ServerState,
    SetTimer,
    Watch,
)
from dykeshift.rules import Balancer
from dykeshift.settings import REPORT_FIELDS, MalformedError, enum_value, load_report, read_settings

_LIST_KINDS = {
    "diff": ListKind.DELTA,
    "snapshot": ListKind.FULL,
    "disk": ListKind.CACHED,
    "error": ListKind.FAILED,
}
_STATES = {"live": ServerState.READY, "quiescing": ServerState.DRAINING, "dead": ServerState.GONE}
_OUTCOMES = {
    "done": Outcome.OK,
    "err": Outcome.ERROR,
    "busy": Outcome.FULL,
    "etimedout": Outcome.TIMEOUT,
    "econnrefused": Outcome.CONNECT_FAILED,
    "econnreset": Outcome.RESET,
    "ecanceled": Outcome.CANCELLED,
    "skipped": Outcome.NOT_SENT,
}
_FIELDS = {  # number of fields of each event line, including its name
    "CONFIGURE": 4,
    "SHUTDOWN": 2,
    "ANNOUNCE": 5,
    "SUBMIT": 10,
    "STREAMING": 6,
    "ANSWER": 9,
    "GONE": 3,
    "REMINDER": 3,
    "PROBE_DONE": 6,
    "NEIGHBOUR_SAYS": 4,
    "M": 8,
}


def _int_or_zero(text: str) -> int:
    return 0 if text == "-" else int(text)


def _report(text: str) -> LoadReport | None:
    pairs = (pair.partition(":") for pair in text.split(","))
    return load_report({name: float(value) for name, _, value in pairs if name in REPORT_FIELDS})


def _encode(instance: int, actions: list[Action], out: list[str]) -> None:
    for action in actions:
        if isinstance(action, Send):
            out.append(f"PLACE\t{instance}\t{action.request_id}\t{action.server}\t{action.timeout}\n")
        elif isinstance(action, SetTimer):
            out.append(f"TIMER\t{instance}\t{action.token}\t{action.at}\n")
        elif isinstance(action, Cancel):
            out.append(f"WITHDRAW\t{instance}\t{action.request_id}\t{action.attempt}\n")
        elif isinstance(action, Refuse):
            out.append(f"DENY\t{instance}\t{action.request_id}\t{action.retry_after}\n")
        elif isinstance(action, Fail):
            out.append(f"FINISH_ERROR\t{instance}\t{action.request_id}\n")
        elif isinstance(action, Watch):
            out.append(f"WATCH\t{instance}\t1\n")
        elif isinstance(action, Log):
            out.append(f"EMIT\t{instance}\t{' '.join(action.text.split())}\n")


class DecisionError(Exception):
    """The decision module raised an exception."""


def _call_module(method: Callable[..., list[Action]], *args: Any) -> list[Action]:
    try:
        return method(*args)
    except Exception as exc:
        raise DecisionError(f"{type(exc).__name__}: {exc}") from exc


def _submit(balancer: Balancer, now: int, parts: list[str], entries: list[list[str]]) -> list[Action]:
    if not 0 <= _int_or_zero(parts[6]) < len(balancer.settings.classes):
        raise MalformedError(f"kind {parts[6]} is no class of the settings")
    request = Request(
        id=parts[2],
        klass=_int_or_zero(parts[6]),
        deadline=int(parts[8]),
        cost_hint=_int_or_zero(parts[7]),
        retry=parts[5] == "1",
        tenant=_int_or_zero(parts[4]),
        key=None if parts[9] == "-" else parts[9],
    )
    return _call_module(balancer.on_request, now, request)


def _answer(balancer: Balancer, now: int, parts: list[str], entries: list[list[str]]) -> list[Action]:
    end = AttemptEnd(
        request_id=parts[2],
        attempt=int(parts[3]),
        server=int(parts[4]),
        outcome=enum_value(_OUTCOMES, parts[5], "how"),
        latency=_int_or_zero(parts[6]),
        final=parts[7] == "1",
        report=_report(parts[8]),
    )
    return _call_module(balancer.on_attempt_end, now, end)


def _timer(balancer: Balancer, now: int, parts: list[str], entries: list[list[str]]) -> list[Action]:
    return _call_module(balancer.on_timer, now, parts[2])


def _gone(balancer: Balancer, now: int, parts: list[str], entries: list[list[str]]) -> list[Action]:
    return _call_module(balancer.on_client_gone, now, parts[2])


def _streaming(balancer: Balancer, now: int, parts: list[str], entries: list[list[str]]) -> list[Action]:
    return _call_module(balancer.on_stream_started, now, parts[2], int(parts[3]))


def _announce(balancer: Balancer, now: int, parts: list[str], entries: list[list[str]]) -> list[Action]:
    rows = tuple(
        ServerEntry(
            id=int(row[5]),
            zone=_int_or_zero(row[7]),
            cell=_int_or_zero(row[1]),
            kind=_int_or_zero(row[2]),
            state=enum_value(_STATES, row[3], "availability"),
            weight=1.0 if row[4] == "-" else float(row[4]),
            started=_int_or_zero(row[6]),
        )
        for row in entries
    )
    return _call_module(balancer.on_list, now, ServerList(enum_value(_LIST_KINDS, parts[3], "kind"), rows))


# PROBE_DONE and NEIGHBOUR_SAYS are ignored: this module sends no probes and no messages to neighbours.
_HANDLERS = {
    "SUBMIT": _submit,
    "ANSWER": _answer,
    "REMINDER": _timer,
    "GONE": _gone,
    "STREAMING": _streaming,
    "ANNOUNCE": _announce,
}


class InstanceHost:
    """Hosts the instances and passes each event to the one that it is for."""

    def __init__(self) -> None:
        self.instances: dict[int, Balancer] = {}

    def event(self, now: int, parts: list[str], entries: list[list[str]]) -> list[Action]:
        """Passes one event to its instance and returns the actions."""
        name, instance = parts[0], int(parts[1])
        if name == "CONFIGURE":
            seed, settings = int(parts[2]), read_settings(parts[3])
            self.instances[instance] = Balancer(settings, seed)
            return _call_module(self.instances[instance].on_start, now)
        if name == "SHUTDOWN":
            self.instances.pop(instance, None)
            return []
        balancer = self.instances.get(instance)
        if balancer is None:
            raise MalformedError(f"instance {instance} has no CONFIGURE yet")
        handler = _HANDLERS.get(name)
        return handler(balancer, now, parts, entries) if handler is not None else []


def _split_fields(line: str, number: int) -> list[str]:
    name = line.partition("\t")[0]
    count = _FIELDS.get(name)
    if count is None:
        raise MalformedError(f"line {number}: unknown event {name[:40]!r}")
    parts = line.split("\t", count - 1) if name == "CONFIGURE" else line.split("\t")
    if len(parts) != count:
        raise MalformedError(f"line {number}: {name} has {len(parts) - 1} fields, expected {count - 1}")
    return parts


def _parse_sync(head: str, number: int) -> tuple[int, str]:
    """The time in nanoseconds and the number of a batch, from its first line."""
    sync = head.split("\t")
    if sync[0] != "SYNC" or len(sync) != 3 or not sync[1].isdigit() or not sync[2].isdigit():
        raise MalformedError(f"line {number}: expected SYNC, clock time and batch number, got {head[:60]!r}")
    return int(sync[1]), sync[2]


def _handle_event(
    host: InstanceHost, now: int, number: int, line: str, lines: Iterator[tuple[int, str]], out: list[str]
) -> int:
    """Handles the event that begins with this line; returns the number of its last line."""
    parts, where = _split_fields(line, number), number
    try:
        if parts[0] == "M":
            raise MalformedError("list entry outside an ANNOUNCE")
        entries = []
        for _ in range(int(parts[4]) if parts[0] == "ANNOUNCE" else 0):
            where, row = next(lines, (where, ""))
            if row.partition("\t")[0] != "M":
                raise MalformedError("expected a list entry M")
            entries.append(_split_fields(row, where))
        _encode(int(parts[1]), host.event(now, parts, entries), out)
    except DecisionError as fault:
        out.append(f"BUG\t{parts[1]}\t{fault}\n".replace("\r", " "))
    except MalformedError as exc:
        text = str(exc)
        raise MalformedError(text if text.startswith("line ") else f"line {where}: {text}") from None
    except ValueError as exc:
        raise MalformedError(f"line {where}: {parts[0]} expects a number: {exc}") from None
    return where


def serve(source: TextIO, sink: TextIO) -> None:
    """Answers one batch after another until the input ends."""
    host = InstanceHost()
    lines: Iterator[tuple[int, str]] = enumerate((raw.rstrip("\r\n") for raw in source), 1)
    for number, head in lines:
        now, batch = _parse_sync(head, number)
        out = list[str]()
        while True:
            number, line = next(lines, (number, ""))
            if line == "END":
                break
            if not line:
                raise MalformedError(f"line {number}: batch {batch} was cut short, expected an event or END")
            number = _handle_event(host, now, number, line, lines, out)
        out.append(f"END\t{batch}\n")
        sink.write("".join(out))
        sink.flush()


def main() -> int:
    """Serves standard input until it ends. Returns 2, with one line on standard error, for invalid input."""
    gc.disable()  # the module creates no reference cycles; a collection would only cost time
    try:
        serve(sys.stdin, sys.stdout)
    except MalformedError as exc:
        print(f"benchlink: {exc}", file=sys.stderr)
        return 2
    except UnicodeDecodeError as exc:
        print(f"benchlink: input is not UTF-8: {exc}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 0
    return 0


if __name__ == "__main__":
    sys.exit(main())
