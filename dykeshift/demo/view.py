"""The demo's live view, made anew a few times a second."""

from __future__ import annotations

from rich.console import Group
from rich.table import Table
from rich.text import Text

from dykeshift.rig.installation import Installation

KEYS = {
    "h": "hang",
    "s": "slow",
    "d": "drain",
    "x": "kill-sender",
    "k": "kill-balancer",
    "r": "restart-balancer",
}


def _state(sender: object) -> str:
    for word, sign in (("down", "gone"), ("draining", "drains")):
        if getattr(sender, word):
            return sign
    mood = sender.mood  # type: ignore[attr-defined]
    return "hangs" if mood.hang else "slow" if mood.slow > 1 else ""


def picture(home: Installation, elapsed: float, rate: float) -> Group:
    """What is to be seen of an installation `elapsed` seconds after its start; requests come at `rate`."""
    tally = home.tally
    spent = sorted(tally.latencies)
    median = 1000 * spent[len(spent) // 2] if spent else 0.0
    worst = 1000 * spent[int(len(spent) * 0.99)] if spent else 0.0
    asked = sum(tally.classes.values())
    head = (
        f"lifttrail demo   {elapsed:5.1f} s   {asked} requests, {rate:.0f} a second   "
        f"half within {median:.0f} ms, 99 of 100 within {worst:.0f} ms"
    )
    facts = Table.grid(padding=(0, 2))
    facts.add_row("answers", "   ".join(f"{name} {n}" for name, n in sorted(tally.answers.items())))
    broken = Text(f"{len(tally.broken_rules)} BROKEN", "bold red") if tally.broken_rules else Text("all kept")
    facts.add_row("rules", broken)
    states = (
        f"{b.name} {'runs' if b.running else 'down'}, console {b.console[0]}:{b.console[1]}"
        for b in home.balancers
    )
    facts.add_row("balancers", "   ".join(states))
    keys = "   ".join(f"{key} {name}" for key, name in KEYS.items()) + "   q quit"
    return Group(Text(head, "bold"), facts, _senders(home), *map(Text, tally.notes), Text(keys, "dim"))


def _senders(home: Installation) -> Table:
    table = Table("sender", "rack", "speed", "slots", "wait", "warm", "state")
    for sender in home.senders:
        bar = "#" * len(sender.running) + "." * (sender.shape.slots - len(sender.running))
        warmth = sender.warmth() if hasattr(sender, "loop") else 1.0
        table.add_row(
            sender.name,
            str(sender.cell),
            f"{sender.shape.speed:.1f}",
            bar,
            str(len(sender.queue)),
            f"{100 * warmth:3.0f}%",
            _state(sender),
        )
    return table
