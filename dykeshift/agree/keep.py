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
from dykeshift.agree.state import NOWHERE, Record
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
    heard: Epoch = NOWHERE  # the latest epoch that it knew of


def pack(record: Record) -> bytes:
    kind, *rest = record
    if kind == "entry":
        entry: Entry = rest[0]
        rest = [entry.term, int(entry.sort), entry.ident, entry.body]
    elif kind == "base":
        rest = [pack_base(rest[0])]
    return msgspec.msgpack.encode((kind, *rest))


def replay(payloads: list[bytes]) -> Kept | None:
    """None: nothing was ever kept. Spoilt: these can't have been written in this order."""
    kept: Kept | None = None
    for payload in payloads:
        try:
            kind, *rest = msgspec.msgpack.decode(payload)
            kept = _take(kept, kind, rest)
        except (msgspec.DecodeError, ValueError, TypeError, IndexError) as exc:
            raise Spoilt(f"a record is no record: {exc}") from None
    return kept


def _take(kept: Kept | None, kind: str, rest: list[Any]) -> Kept:
    if kind == "me":
        epoch = _epoch(rest[0])
        if kept is None:
            return Kept(epoch, int(rest[1]), 0, None, Log(Base()))
        if (epoch, rest[1]) != (kept.epoch, kept.birth):
            log = kept.log if kept.epoch == epoch else Log(Base())
            return Kept(epoch, int(rest[1]), 0, None, log, kept.heard)
        return kept
    if kept is None:
        raise ValueError("it begins in the middle")
    if kind == "heard":
        kept.heard = _epoch(rest[0])
    elif kind == "vote":
        kept.term, kept.vote = int(rest[0]), (rest[1][0], rest[1][1]) if rest[1] else None
    elif kind == "entry":
        kept.log.append(Entry(*rest))
    elif kind == "cut":
        kept.log.cut(rest[0])
    elif kind == "base":
        kept.log.begin_at(unpack_base(rest[0]))
    else:
        raise ValueError(f"{kind!r} is none")
    return kept


def _epoch(told: Any) -> Epoch:
    history, number, founder = told
    return int(history), int(number), int(founder)


def whole(kept: Kept) -> list[bytes]:
    """The records that this life comes down to, for a file that is written anew."""
    records: list[Record] = [
        ("me", kept.epoch, kept.birth),
        ("heard", kept.heard),
        ("base", kept.log.base),
        ("vote", kept.term, kept.vote),
    ]
    return [pack(record) for record in records + [("entry", entry) for entry in kept.log.entries]]


def known(kept: Kept) -> bool:
    """Whether it belonged to a history."""
    return kept.epoch != NOWHERE
