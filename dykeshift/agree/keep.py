"""Persistence of a voter: its records as payloads of the project's log file, and the validity of such a file.

A torn tail was never synced, so no message depends on it: the process goes on under its incarnation. A hole
is a record that was synced and is lost, so it is no longer known which votes and acknowledgements were given.
Such a process takes another incarnation and uses nothing of the file but the fact that it existed; it gets a
seat again through a majority of the others.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from dykeshift.agree.log import Base, Entry, Log, pack_base, unpack_base
from dykeshift.agree.state import NO_EPOCH, Record
from dykeshift.agree.wire import Epoch, Seat

KIND = b"AG"  # kind of the payloads in the log file


class Spoilt(Exception):
    """The payloads are not the complete records of a voter; the text gives the reason."""


@dataclass(slots=True)
class Kept:
    """The durable state of a voter."""

    epoch: Epoch
    birth: int
    term: int
    vote: Seat | None
    log: Log
    heard: Epoch = NO_EPOCH  # the latest epoch that it has heard of


def pack(record: Record) -> bytes:
    """A record as a payload."""
    kind, *values = record
    if kind == "entry":
        entry: Entry = values[0]
        values = [entry.term, int(entry.sort), entry.ident, entry.body]
    elif kind == "base":
        values = [pack_base(values[0])]
    return msgspec.msgpack.encode((kind, *values))


def replay(payloads: list[bytes]) -> Kept | None:
    """The state after these payloads; None: there are none.

    Raises Spoilt if they are not valid in this order.
    """
    state: Kept | None = None
    for payload in payloads:
        try:
            kind, *rest = msgspec.msgpack.decode(payload)
            state = _apply(state, kind, rest)
        except (msgspec.DecodeError, ValueError, TypeError, IndexError) as exc:
            raise Spoilt(f"invalid record: {exc}") from None
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
        raise ValueError("the first record is not the identity")
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
        raise ValueError(f"unknown record kind {kind!r}")
    return state


def _parse_epoch(value: Any) -> Epoch:
    history, number, founder = value
    return int(history), int(number), int(founder)


def whole(state: Kept) -> list[bytes]:
    """The fewest records that give this state, for a file that is rewritten."""
    records: list[Record] = [
        ("me", state.epoch, state.birth),
        ("heard", state.heard),
        ("base", state.log.base),
        ("vote", state.term, state.vote),
    ]
    return [pack(record) for record in records + [("entry", entry) for entry in state.log.entries]]


def known(state: Kept) -> bool:
    """Whether the voter belonged to a history."""
    return state.epoch != NO_EPOCH
