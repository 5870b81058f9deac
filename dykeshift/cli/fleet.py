"""`lifttrail fleet`: the balancers as one of them sees them, asked at its console."""

from __future__ import annotations

import json
import time
from typing import Any

import click

from dykeshift.cli.console import ask

AT = click.option("--at", required=True, metavar="HOST:PORT", help="A balancer's console.")
JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
COLOURS = {"alive": "green", "suspect": "yellow", "unreachable": "magenta", "dead": "red", "left": "dim"}


@click.group(no_args_is_help=False)
def command() -> None:
    """The balancers as one of them sees them (feature [view])."""


def headline(view: dict[str, Any]) -> str:
    """One line for people: whether the view is settled, and the bounds on the number of members."""
    state = "settled" if view["settled"] else "not settled"
    lease = "holds the lease" if view["holds_lease"] else "holds no lease"
    return (
        f"{view['self']}: {state} for {view['since_s']:.1f} s, {view['at_least']} to {view['at_most']} "
        f"at work, {lease}, digest {view['digest']}"
    )


def table(view: dict[str, Any]) -> Any:
    """The members as a rich table, with `headline` as its title."""
    from rich.table import Table

    made = Table("member", "number", "state", "for", "incarnation", "settings", title=headline(view))
    for row in view["members"]:
        colour = COLOURS[row["state"]]
        made.add_row(
            row["name"],
            str(row["number"]),
            f"[{colour}]{row['state']}[/]",
            f"{row['since_s']:.1f} s",
            f"{row['incarnation']:x}",
            row["settings"],
        )
    return made


@command.command("members")
@AT
@JSON
def members(at: str, as_json: bool) -> int:
    """Who is there, and how sure that is. 1 where the view is not settled."""
    from rich.console import Console

    view = ask(at, "/fleet")
    if as_json:
        print(json.dumps(view))
    else:
        Console().print(table(view))
    return 0 if view["settled"] else 1


@command.command("watch")
@AT
@click.option(
    "--every",
    default=1.0,
    metavar="S",
    show_default=True,
    type=click.FloatRange(0.1, 60.0),
    help="Seconds between two looks.",
)
@click.option("--looks", default=0, metavar="N", type=click.IntRange(0), help="So many; 0: no end.")
@JSON
def watch(at: str, every: float, looks: int, as_json: bool) -> int:
    """The same again and again; a line of JSON a look with --json."""
    from rich.live import Live

    if as_json:
        for _ in _times(looks, every):
            print(json.dumps(ask(at, "/fleet")), flush=True)
        return 0
    with Live(table(ask(at, "/fleet")), auto_refresh=False) as live:
        for _ in _times(looks, every):
            live.update(table(ask(at, "/fleet")), refresh=True)
    return 0


def _times(looks: int, every: float) -> Any:
    done = 0
    while not looks or done < looks:
        yield done
        done += 1
        if not looks or done < looks:
            time.sleep(every)
