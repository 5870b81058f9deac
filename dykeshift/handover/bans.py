"""Which upstreams are out by hand, as text that outlives processes: no files here.

Times are Unix milliseconds.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

VERSION = 1
KEPT = 600_000  # milliseconds that the end of a ban is remembered: far longer than anything is cold


class Spoilt(Exception):
    """Part of the text can't be read; `bans` holds what could."""

    def __init__(self, text: str, bans: Bans) -> None:
        super().__init__(text)
        self.bans = bans


@dataclass(slots=True)
class Bans:
    out: dict[str, int] = field(default_factory=dict)  # name of an upstream: since when
    back: dict[str, tuple[int, int]] = field(default_factory=dict)  # of one put back: its ban's begin and end

    def enter(self, name: str, now: int) -> None:
        """Repeated, it is one ban."""
        self.out.setdefault(name, now)

    def exit(self, name: str, now: int) -> None:
        since = self.out.pop(name, None)
        if since is not None:
            self.back[name] = since, now
        self.back = {n: ban for n, ban in self.back.items() if now - ban[1] < KEPT}

    def text(self) -> str:
        return json.dumps({"v": VERSION, "out": self.out, "back": self.back})


def read(text: str) -> Bans:
    """Spoilt says what is wrong and brings every ban that can be read: dropping one breaks its promise."""
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError) as exc:
        raise Spoilt(f"it is no JSON: {exc}", Bans()) from None
    if not isinstance(raw, dict):
        raise Spoilt("it is no object", Bans())
    bans, wrong = Bans(), [] if raw.get("v") == VERSION else [f"its version is {raw.get('v')!r}"]
    out, back = raw.get("out"), raw.get("back")
    for name, since in out.items() if isinstance(out, dict) else ():
        sound = _is_time(since)
        bans.out[name] = since if sound else 0
        wrong += [] if sound else [f"{name!r} is out since {since!r}"]
    for name, ban in back.items() if isinstance(back, dict) else ():
        if isinstance(ban, list) and len(ban) == 2 and all(map(_is_time, ban)):
            bans.back[name] = ban[0], ban[1]
        else:
            wrong.append(f"{name!r} is back from {ban!r}")
    if not isinstance(out, dict) or not isinstance(back, dict):
        wrong.append("`out` or `back` is no object")
    if wrong:
        raise Spoilt("; ".join(wrong), bans)
    return bans


def _is_time(value: Any) -> bool:
    return type(value) is int and 0 < value < 1 << 62
