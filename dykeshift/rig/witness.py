"""Days of processes with settings in versions: what senders and clients saw from outside, and what has to be
true of it. The checks know the record only.

Lines: `ran` (a sender ran a request: of which class, by which balancer, the how manieth of that request),
`rules` (what a balancer says it acts on), `text` (what a version says), `order` (an operator's call). Times
in `ran` and `rules` are this machine's monotonic clock; where the rig's own process stood still, what it saw
then may have happened as much earlier (`starved`).
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from dykeshift.standins.client import Address, Errand
from dykeshift.standins.messages import Message
from dykeshift.standins.sender import Sender

Line = dict[str, Any]
SECOND = 1_000_000_000
SEES = int(0.5 * SECOND)  # what the rig sees may have happened so much earlier
GRACE = int(0.3 * SECOND)  # a call's answer and the bytes that were on their way
FOREVER = 1 << 62
BRING = ("propose", "stage", "rollback", "alone")  # orders that can bring another version
CLASS = "status-check"  # whose terms the days change

RULES = {
    "settings": "once any balancer acts on a version by which a class must not run twice, none repeats it",
    "ban": "a server that is out gets nothing new: at once from the balancer that was told, within C from "
    "all that are not in doubt",
    "book": "two that have the same version of the book have the same book",
    "ruled": "once all is whole again, all act on one version",
}


@dataclass
class Witness:
    """Account of clients and witness of senders: it notes, and judges nothing."""

    line: Callable[[Line], None]
    names: dict[Address, str] = field(default_factory=dict)
    by: dict[str, tuple[str, str]] = field(default_factory=dict)  # request: balancer, class
    runs: Counter[str] = field(default_factory=Counter)
    repeats: Counter[str] = field(default_factory=Counter)  # runs beyond a request's first, by class
    answers: Counter[str] = field(default_factory=Counter)

    # The account of clients.

    def sent(self, errand: Errand, rid: str, to: Address) -> None:
        """Remember through which balancer, and in which class, the request went."""
        self.by[rid] = self.names.get(to, ""), errand.klass

    def answered(self, errand: Errand, rid: str, to: Address, answer: Message) -> None:
        """Count the answer by its status."""
        self.answers[str(answer.status)] += 1

    def broken(self, errand: Errand, rid: str, to: Address, begun: bool) -> None:
        """Count a request that was cut off."""
        self.answers["cut off"] += 1

    def left(self, errand: Errand, rid: str, to: Address) -> None:
        """Count a request that its client gave up."""
        self.answers["left"] += 1

    def extra(self, to: Address, data: bytes) -> None:
        """Count bytes that answer nothing."""
        self.answers["extra"] += 1

    # The witness of senders.

    def arrived(self, sender: Sender, request: Message) -> None:
        """Nothing to note."""

    def ran(self, sender: Sender, request: Message, repeat: bool) -> None:
        """Record the run, and the how manieth it is of its request."""
        rid = request.headers["x-request-id"]
        self.runs[rid] += 1
        by, klass = self.by.get(rid, ("", ""))
        self.repeats[klass] += self.runs[rid] > 1
        self.line(
            {
                "what": "ran",
                "t": time.monotonic_ns(),
                "by": by,
                "klass": klass,
                "server": sender.name,
                "nth": self.runs[rid],
            }
        )

    def turned_away(self, sender: Sender, request: Message) -> None:
        """Count a refusal by a sender."""
        self.answers["turned away by senders"] += 1

    def fell(self, sender: Sender) -> None:
        """Nothing to note."""


def judge(record: list[Line], c_s: float) -> list[tuple[str, str]]:
    """What broke: rule and words. `c_s`: the stated time C."""
    lines = _Lines(record)
    return (
        _settings(lines)
        + _bans(lines, int(c_s * SECOND))
        + _books(lines)
        + [("ruled", line["why"]) for line in record if line["what"] == "ruled" and line["why"]]
    )


class _Lines:
    def __init__(self, record: list[Line]) -> None:
        self.ran = [line for line in record if line["what"] == "ran"]
        self.rules = [line for line in record if line["what"] == "rules"]
        self.orders = [line for line in record if line["what"] == "order"]
        self.kinds = {line["version"]: line["kinds"] for line in record if line["what"] == "text"}
        self.starved = [
            (int(line["t"] - line["seconds"] * SECOND), line["t"])
            for line in record
            if line["what"] == "starved"
        ]

    def earliest(self, seen: int) -> int:
        """When what was seen then may have happened at the earliest."""
        return min([seen] + [begin for begin, end in self.starved if begin <= seen <= end + SEES]) - SEES


def _unsafe(lines: _Lines) -> list[tuple[int, int, int]]:
    """Versions by which the class must not run twice: since when some balancer surely acts on it, and until
    when none may act on another."""
    found = []
    for version, kinds in sorted(lines.kinds.items()):
        acting = [
            line["answered"]
            for line in lines.rules
            if line["mode"] == "in force" and line["version"] == version
        ]
        if kinds.get(CLASS) == "side_effect" and acting:
            since = min(acting)
            until = min(
                (
                    max(since, o["start"])
                    for o in lines.orders
                    if o["kind"] in BRING
                    and (o["end"] > since or (o["answer"] or {}).get("version", 0) > version)
                ),
                default=FOREVER,
            )
            found.append((version, since, until))
    return found


def margins(record: list[Line]) -> list[float]:
    """For each time that the class came to be unsafe: seconds from the last repeat before to the first
    balancer that acts on it. Below zero: two acted on contradicting rules for so long."""
    lines, found = _Lines(record), []
    for _, since, until in _unsafe(lines):
        again = [
            line["t"]
            for line in lines.ran
            if line["klass"] == CLASS and line["nth"] > 1 and line["t"] < until
        ]
        if again:
            found.append((since - max(again)) / SECOND)
    return found


def _settings(lines: _Lines) -> list[tuple[str, str]]:
    broken = []
    for version, since, until in _unsafe(lines):
        late = [
            line
            for line in lines.ran
            if line["klass"] == CLASS
            and line["nth"] > 1
            and since < lines.earliest(line["t"])
            and line["t"] < until
        ]
        if late:
            worst = (late[-1]["t"] - since) / SECOND
            broken.append(
                (
                    "settings",
                    f"{late[0]['by']} lets a request run again, the last {worst:.2f} s "
                    f"after version {version} is acted on",
                )
            )
    return broken


def _bans(lines: _Lines, c: int) -> list[tuple[str, str]]:
    broken = []
    for order in lines.orders:
        if order["kind"] != "ban" or order["status"] != 200:
            continue
        server = order["server"]
        until = min(
            (
                o["start"]
                for o in lines.orders
                if o["kind"] == "unban" and o["server"] == server and o["start"] > order["end"]
            ),
            default=FOREVER,
        )
        obeyed = [line["answered"] for line in lines.rules if server in line["out"]]
        committed = min((at for at in obeyed if order["start"] < at < until), default=None)
        for line in lines.ran:
            at = lines.earliest(line["t"])
            if line["server"] != server or line["t"] >= until:
                continue
            if line["by"] == order["by"] and at > order["end"] + GRACE and not _restarted(lines, line, order):
                broken.append(
                    (
                        "ban",
                        f"{line['by']} was told that {server} is out and sends to it "
                        f"{(line['t'] - order['end']) / SECOND:.2f} s later",
                    )
                )
            elif committed is not None and at > committed + c and not _in_doubt(lines, line):
                broken.append(
                    (
                        "ban",
                        f"{line['by']} sends to {server} "
                        f"{(line['t'] - committed) / SECOND:.2f} s after it was out",
                    )
                )
    return broken[:3]


def _restarted(lines: _Lines, ran: Line, order: Line) -> bool:
    """Whether the balancer is another process since: it knows of the ban from the others only."""
    return any(
        o["kind"] == "lost" and o["by"] == ran["by"] and order["start"] < o["start"] < ran["t"]
        for o in lines.orders
    )


def _in_doubt(lines: _Lines, ran: Line) -> bool:
    """As it said itself last before, or first after, or where it said nothing."""
    said = [line for line in lines.rules if line["self"] == ran["by"]]
    before = [line for line in said if line["answered"] <= ran["t"]][-1:]
    after = [line for line in said if line["asked"] >= ran["t"]][:1]
    return not before or not after or any(line["mode"] == "doubtful" for line in before + after)


def _books(lines: _Lines) -> list[tuple[str, str]]:
    digests: dict[tuple[str, int, int], tuple[str, str]] = {}
    for line in lines.rules:
        key = (line["history"], line["epoch"], line["book"])
        other = digests.setdefault(key, (line["digest"], line["self"]))
        if other[0] != line["digest"]:
            return [("book", f"{line['self']} and {other[1]} have another book of version {line['book']}")]
    return []


def unruled(last: dict[int, Line], running: list[int]) -> str:
    """Why those that run do not act on one version; empty where they do."""
    lines = [last.get(place) for place in running]
    if any(line is None for line in lines):
        return "one that runs has not been heard"
    told = [line for line in lines if line is not None]
    states = {(t["mode"], t["version"], t["pending"], tuple(sorted(t["out"])), t["digest"]) for t in told}
    if len(states) > 1 or {s[0] for s in states} != {"in force"} or {s[2] for s in states} != {None}:
        return f"they act on {sorted((t['self'], t['mode'], t['version'], t['pending']) for t in told)}"
    return ""
