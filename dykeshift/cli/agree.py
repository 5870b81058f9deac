"""`lifttrail agree`: the history that balancers share, asked and changed at one of them."""

from __future__ import annotations

import json
import sys
from typing import Any

import click

from dykeshift.cli import Usage
from dykeshift.cli.console import ask, exchange
from dykeshift.cli.fleet import AT, JSON


@click.group(no_args_is_help=False)
def command() -> None:
    """The history that balancers share (feature [agree]). A no is exit 1, no answer or not known exit 2."""


def headline(told: dict[str, Any]) -> str:
    """One line for people: the balancer's role, its place in the history, and its lease."""
    leader = "no leader is known" if told["leader"] is None else f"number {told['leader']} leads"
    lease = f"lease for {told['lease_s']:.1f} s" if told["lease_s"] else "no lease"
    waits = f", waits for {len(told['waiting_for'])} places" if told["waiting_for"] else ""
    place = f"epoch {told['epoch']}, term {told['term']}, {leader}"
    has = f"version {told['committed']}, {lease}, digest {told['digest']}"
    return f"{told['self']}: {told['role']}{waits}, {place}; {has}"


@command.command("status")
@AT
@JSON
def status(at: str, as_json: bool) -> int:
    """What this balancer has of the history. 1 where it holds no lease on it."""
    told = ask(at, "/agree")
    print(json.dumps(told) if as_json else headline(told))
    return 0 if told["lease_s"] else 1


@command.command("voters")
@AT
@JSON
def voters(at: str, as_json: bool) -> int:
    """Who votes, as far as this balancer has heard. 1 where seats are empty or changing."""
    told = ask(at, "/agree")
    if as_json:
        print(json.dumps({name: told[name] for name in ("voters", "wanted", "changing", "leader", "seated")}))
    else:
        changing = ", one of them is changing" if told["changing"] else ""
        print(f"{len(told['voters'])} of {told['wanted']}: {' '.join(map(str, told['voters']))}{changing}")
    return 0 if len(told["voters"]) == told["wanted"] and not told["changing"] else 1


@command.command("log")
@AT
@JSON
def log(at: str, as_json: bool) -> int:
    """The latest changes that this balancer still has one by one, newest first."""
    told = ask(at, "/agree/log")
    if as_json:
        print(json.dumps(told))
        return 0
    print(f"committed: version {told['committed']}")
    for one in told["changes"]:
        print(f"{one['version']:>8}  {one['id']}  {one['bytes']:>6} bytes  {one['entry'][:60]}")
    return 0


@command.command("propose")
@AT
@click.argument("entry")
@click.option(
    "--expect", required=True, metavar="N", type=click.IntRange(0), help="The version it builds on."
)
@click.option(
    "--id", "ident", metavar="ID", help="Of a proposal that was not known: it is committed once at most."
)
@JSON
def propose(at: str, entry: str, expect: int, ident: str | None, as_json: bool) -> int:
    """Make ENTRY the version after N: 0 committed, 1 turned down, 2 not known (ask again with its --id)."""
    body = {"entry": entry, "expect": expect, **({"id": ident} if ident else {})}
    return _say(at, "/agree/propose", "PUT", body, as_json, "committed as version {version}, id {id}")


@command.command("read")
@AT
@JSON
def read(at: str, as_json: bool) -> int:
    """The latest version, confirmed by a majority; 2 where none is in reach."""
    return _say(at, "/agree/read", "GET", None, as_json, "version {version}: {entry}")


@command.command("rescue")
@AT
@click.option("--voters", metavar="N", type=click.Choice(["1", "3", "5", "7"]), help="So many from now on.")
@click.option(
    "--force", is_flag=True, help="Also where the history is well, or somebody in reach has more of it."
)
@JSON
def rescue(at: str, voters: str | None, force: bool, as_json: bool) -> int:
    """Go on with what this balancer has, where a majority of the voters is lost for good."""
    body = {"force": force, **({"voters": int(voters)} if voters else {})}
    return _say(at, "/agree/rescue", "PUT", body, as_json, "epoch {epoch} begins at version {committed}")


def _say(at: str, path: str, method: str, body: Any, as_json: bool, words: str) -> int:
    status, text = exchange(at, method, path, None if body is None else json.dumps(body))
    try:
        told = json.loads(text)
    except ValueError:
        raise Usage(f"lifttrail agree: no ({status}): {text}") from None
    if as_json:
        print(json.dumps({"status": status, **told}))
    elif status == 200:
        print(words.format(**told))
    else:
        known = f" (id {told['id']})" if "id" in told else ""
        print(
            f"lifttrail agree: {'not known' if status == 503 else 'no'}: {told['reason']}{known}",
            file=sys.stderr,
        )
    return {200: 0, 503: 2}.get(status, 1)
