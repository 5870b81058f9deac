"""What the rig's record shows: each view held against the truth. Knows the record only.

A record is a list of lines in the order of time. `truth`: who runs, stands still, hears whom, from now on.
`view`: what one process answered. `rest`: all that reach one another should have settled. Times do not count;
how long something may take is told in protocol periods that the process concerned has counted itself.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from dykeshift.rig.plan import Limits

Line = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Breach:
    """A broken rule, and at which line of the record it shows."""

    rule: str
    line: int  # of the record
    text: str


RULES = {
    "at-most": "at_most is never below the number of processes that hold the lease, nor, while no lease has "
    "run out, below the number that run",
    "at-least": "at_least is not above what ran within the lag",
    "removed": "nobody at work and in reach both ways is held for lost for longer than the lag",
    "settled": "all that reach one another come to one settled view that holds just them for alive",
    "ended": "no process ends that nobody has ended",
    "twin": "two processes under one name are said",
}


@dataclass(slots=True)
class Life:
    """One process as the record has it."""

    last: Line = field(default_factory=dict)  # its newest view
    joined: bool = False  # it was settled once in this life
    marks: list[tuple[int, frozenset[str]]] = field(default_factory=list)  # its period, who ran


@dataclass(slots=True)
class Judge:
    """Reads the record line by line and collects breaches."""

    limits: Limits
    breaches: list[Breach] = field(default_factory=list)
    lives: dict[int, Life] = field(default_factory=dict)
    truth: Line = field(default_factory=dict)
    number: int = 0
    # Removals, whose, and how often that one had woken: its next view has yet to confirm them, as while it
    # stood still it was silent in truth.
    held: list[tuple[Breach, int, int]] = field(default_factory=list)

    def read(self, line: Line) -> None:
        """Take the next line of the record."""
        getattr(self, "_" + line["what"], lambda _: None)(line)
        self.number += 1

    def _breach(self, rule: str, text: str) -> None:
        self.breaches.append(Breach(rule, self.number, text))

    def _truth(self, line: Line) -> None:
        self.truth = line
        self.held.clear()
        for place in line["born"]:
            self.lives[place] = Life()
        for life in self.lives.values():
            life.marks.append((life.last.get("periods", 0), frozenset(line["names"].values())))

    def _view(self, line: Line) -> None:
        life = self.lives.setdefault(line["place"], Life())
        self.breaches += [
            b for b, place, woken in self.held if place == line["place"] and woken == line["woken"]
        ]
        self.held = [one for one in self.held if one[1] != line["place"]]
        life.last = line
        life.joined = life.joined or line["settled"] and not line["alone"]
        self._check_most(line)
        self._check_least(line, life)
        self._check_removed(line, life)

    def _runs(self) -> list[int]:
        return [p for p in self.truth["names"] if p not in self.truth["stopped"]]

    def _check_most(self, line: Line) -> None:
        names = self.truth["names"]
        holding = {names[p] for p in self._runs() if self.lives.get(p, Life()).last.get("holds_lease")}
        if line["at_most"] < len(holding):
            self._breach(
                "at-most",
                f"{line['self']} says at most {line['at_most']}, " f"and {len(holding)} hold the lease",
            )
        if not self.truth["long"]:
            joined = {names[p] for p in names if self.lives.get(p, Life()).joined} | {line["self"]}
            if line["at_most"] < len(joined):
                self._breach(
                    "at-most", f"{line['self']} says at most {line['at_most']}, " f"and {len(joined)} run"
                )

    def _check_least(self, line: Line, life: Life) -> None:
        since = line["periods"] - self.limits.lag
        recent = [n for n, (at, _) in enumerate(life.marks) if at >= since]
        lately = set(self.truth["names"].values())  # and who ran before the first change within the lag
        for _, names in life.marks[max(0, (recent[0] if recent else len(life.marks)) - 1) :]:
            lately |= names
        allowed = len(lately)
        if line["at_least"] > allowed:
            self._breach(
                "at-least", f"{line['self']} says at least {line['at_least']}, " f"and {allowed} ran lately"
            )

    def _check_removed(self, line: Line, life: Life) -> None:
        changed = max(life.marks[-1][0] if life.marks else 0, line["woken_at"])
        if line["periods"] - changed <= self.limits.lag or self.truth["one_way"]:
            return
        near = [p for p in self.group(line["place"]) if self.lives.get(p, Life()).joined]
        for place in near:
            name = self.truth["names"][place]
            state = line["members"].get(name)
            last = self.lives[place].last
            awake = last["periods"] - last["woken_at"] > self.limits.lag
            if state in ("unreachable", "dead", "left") and awake:
                text = f"{line['self']} holds {name} for {state}, which runs and is in reach"
                self.held.append((Breach("removed", self.number, text), place, last["woken"]))

    def group(self, place: int) -> list[int]:
        """Those that run and that it reaches, through others too."""
        return next((g for g in self.groups() if place in g), [place])

    def groups(self) -> list[list[int]]:
        """The running processes, parted into those that reach one another."""
        left, found = self._runs(), list[list[int]]()
        blocked = {tuple(pair) for pair in self.truth["one_way"]}
        parted = [frozenset(g) for g in self.truth["groups"]]

        def linked(a: int, b: int) -> bool:
            return (
                (a, b) not in blocked
                and (b, a) not in blocked
                and (not parted or any(a in g and b in g for g in parted))
            )

        while left:
            group = [left.pop()]
            for one in group:
                near = [p for p in left if linked(one, p)]
                group += near
                left = [p for p in left if p not in near]
            found.append(sorted(group))
        return found

    def unsettled(self) -> str:
        """Why those that reach one another have not settled yet; empty where they have."""
        for group in self.groups():
            names = {self.truth["names"][p] for p in group}
            views = [self.lives.get(p, Life()).last for p in group]
            for view in views:
                if not view or view["seen"] < self.truth["seen"]:
                    return f"one of {group} has not been heard since"
                if not view["settled"] and not (view["twin"] and len(names) < len(group)):
                    return f"{view['self']} is not settled"
                alive = {n for n, s in view["members"].items() if s == "alive"} | {view["self"]}
                if alive != names and not view["yielded"]:
                    return f"{view['self']} holds {sorted(alive)} for alive, and {sorted(names)} are"
                if view["at_least"] != len(names) and not view["yielded"]:
                    return f"{view['self']} says at least {view['at_least']}, and {len(names)} are there"
            digests = {view["digest"] for view in views if not view["yielded"]}
            if len(digests) > 1:
                return f"{sorted(names)} have {len(digests)} digests"
        return ""

    def not_given_up(self) -> str:
        """Whether some group with a majority still counts those that are lost."""
        for group in self.groups():
            names = {self.truth["names"][p] for p in group}
            for view in (self.lives[p].last for p in group):
                if 2 * len(names) > self.truth["places"] and view["at_most"] != len(names):
                    return f"{view['self']} says at most {view['at_most']}, and {len(names)} are left"
        return ""

    def _ended(self, line: Line) -> None:
        self._breach("ended", f"the process at place {line['place']} has ended by itself")

    def _rest(self, line: Line) -> None:
        why = self.unsettled() or (self.not_given_up() if line["given_up"] else "")
        if why:
            self._breach("settled", why)
        if line["twins"] and not any(life.last.get("twin") for life in self.lives.values()):
            self._breach("twin", "nobody says that two processes have one name")
