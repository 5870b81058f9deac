"""The JSON text in which bans by operators outlive a process. It does no I/O. Times are Unix milliseconds."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

VERSION = 1
ENDED_BAN_RETENTION_MS = 600_000  # far longer than a server that has been put back counts as cold


class BansFormatError(Exception):
    """Part of the text cannot be read; `bans` holds the bans that could be."""

    def __init__(self, text: str, bans: Bans) -> None:
        super().__init__(text)
        self.bans = bans


@dataclass(slots=True)
class Bans:
    """The bans in force, and those that ended lately."""

    out: dict[str, int] = field(default_factory=dict)  # upstream: begin of its ban
    back: dict[str, tuple[int, int]] = field(default_factory=dict)  # upstream: begin and end of its last ban

    def enter(self, name: str, now: int) -> None:
        """Ban an upstream; of one that is banned already the ban stays as it is."""
        self.out.setdefault(name, now)

    def exit(self, name: str, now: int) -> None:
        """End a ban, and forget ends older than ENDED_BAN_RETENTION_MS."""
        since = self.out.pop(name, None)
        if since is not None:
            self.back[name] = since, now
        self.back = {n: ban for n, ban in self.back.items() if now - ban[1] < ENDED_BAN_RETENTION_MS}

    def text(self) -> str:
        """The text that `read` takes."""
        return json.dumps({"v": VERSION, "out": self.out, "back": self.back})


def read(text: str) -> Bans:
    """Parse the text.

    BansFormatError says what is wrong and holds every readable ban, so that none is lost.
    """
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError) as exc:
        raise BansFormatError(f"not JSON: {exc}", Bans()) from None
    if not isinstance(raw, dict):
        raise BansFormatError("not an object", Bans())
    bans, errors = Bans(), [] if raw.get("v") == VERSION else [f"its version is {raw.get('v')!r}"]
    out, back = raw.get("out"), raw.get("back")
    for name, since in out.items() if isinstance(out, dict) else ():
        valid = _is_time(since)
        bans.out[name] = since if valid else 0
        errors += [] if valid else [f"{name!r} is out since {since!r}"]
    for name, ban in back.items() if isinstance(back, dict) else ():
        if isinstance(ban, list) and len(ban) == 2 and all(map(_is_time, ban)):
            bans.back[name] = ban[0], ban[1]
        else:
            errors.append(f"{name!r} is back from {ban!r}")
    if not isinstance(out, dict) or not isinstance(back, dict):
        errors.append("`out` or `back` is no object")
    if errors:
        raise BansFormatError("; ".join(errors), bans)
    return bans


def _is_time(value: Any) -> bool:
    return type(value) is int and 0 < value < 1 << 62
