"""What a voter with a disk keeps: its records as payloads of the project's log, and what a log file is worth.

A torn tail is what was never synced, so nobody was told of it: the process goes on under its birth. A hole is
a record that was synced and is lost: what it promised is no longer known. Such a process takes another birth
and keeps nothing of the file but that it was there; its seat comes back by a majority of the others.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from dykeshift.agree.log import Base, Entry, Log, pack_base, unpack_base
from dykeshift.agree.state import NO_EPOCH, Record
from dykeshift.agree.wire import Epoch, Seat

KIND = b"AG"  # of the log's payloads


class Spoilt(Exception):
    """The payloads are no whole life of a voter; the text says why."""


@dataclass(slots=True)
class Kept:
    """A life as a disk holds it."""

    epoch: Epoch
    birth: int
    term: int
    vote: Seat | None
    log: Log
    heard: Epoch = NO_EPOCH  # the latest epoch that it knew of


def pack(record: Record) -> bytes:
    kind, *values = record
    if kind == "entry":
        entry: Entry = values[0]
        values = [entry.term, int(entry.sort), entry.ident, entry.body]
    elif kind == "base":
        values = [pack_base(values[0])]
    return msgspec.msgpack.encode((kind, *values))


def replay(payloads: list[bytes]) -> Kept | None:
    """None: nothing was ever kept. Spoilt: these can't have been written in this order."""
    state: Kept | None = None
    for payload in payloads:
        try:
            kind, *rest = msgspec.msgpack.decode(payload)
            state = _apply(state, kind, rest)
        except (msgspec.DecodeError, ValueError, TypeError, IndexError) as exc:
            raise Spoilt(f"a record is no record: {exc}") from None
    return state


def _apply(state: Kept | None, kind: str, values: list[Any]) -> Kept:
    if kind == "me":
        epoch = _parse_epoch(values[0])
        if state is None:
            return Kept(epoch, int(values[1]), 0, None, Log(Base()))
        if (epoch, values[1]) != (state.epoch, state.birth):
            log = state.log if state.epoch == epoch else Log(Base())
            return Kept(epoch, int(values[1]), 0, None, log, state.heard)
        return state
    if state is None:
        raise ValueError("it begins in the middle")
    if kind == "heard":
        state.heard = _parse_epoch(values[0])
    elif kind == "vote":
        state.term, state.vote = int(values[0]), (values[1][0], values[1][1]) if values[1] else None
    elif kind == "entry":
        state.log.append(Entry(*values))
    elif kind == "cut":
        state.log.truncate(values[0])
    elif kind == "base":
        state.log.reset_to_base(unpack_base(values[0]))
    else:
        raise ValueError(f"{kind!r} is none")
    return state


def _parse_epoch(value: Any) -> Epoch:
    history, number, founder = value
    return int(history), int(number), int(founder)


def whole(state: Kept) -> list[bytes]:
    """The records that this life comes down to, for a file that is written anew."""
    records: list[Record] = [
        ("me", state.epoch, state.birth),
        ("heard", state.heard),
        ("base", state.log.base),
        ("vote", state.term, state.vote),
    ]
    return [pack(record) for record in records + [("entry", entry) for entry in state.log.entries]]


def known(state: Kept) -> bool:
    """Whether it belonged to a history."""
    return state.epoch != NO_EPOCH
