"""`lifttrail settings`: the settings and lists on which the balancers agree, asked and changed at one of
them."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from typing import Any

import click

from dykeshift.cli import Usage
from dykeshift.cli.console import ask, exchange
from dykeshift.cli.fleet import AT, JSON

LOOK = 0.3  # seconds between two looks at how far a proposal has come


@click.group(no_args_is_help=False)
def command() -> None:
    """Settings and lists in versions (feature [versions]). A no is exit 1, not known or no answer exit 2."""


def headline(told: dict[str, Any]) -> str:
    """One line for people: the version in force here, the mode, and the digest of the book."""
    acts = f"{told['self']} acts on version {told['version']}, {told['mode']} for {told['since_s']:.1f} s"
    why = f" ({told['why']})" if told["why"] else ""
    return f"{acts}{why}; book {told['book']}, digest {told['digest']}"


def details(told: dict[str, Any]) -> list[str]:
    """Lines on the change under way, bans, lists and the settings file, each only where there is any."""
    lines, pending = [], told["pending"]
    if pending is not None:
        changed = ", ".join(pending["guarded"]) or "nothing that contradicts what is in force"
        by = pending["by"] or "nobody"
        lines.append(f"version {pending['version']} comes: {pending['phase']}, by {by}; changes {changed}")
    if told["out"]:
        lines.append("out by hand: " + ", ".join(sorted(told["out"])))
    if told["out_here"]:
        lines.append("out here, not yet everywhere: " + ", ".join(told["out_here"]))
    lines += [f"{name}: " + ", ".join(told[name]) for name in ("preferred", "closed", "wary") if told[name]]
    if told["file"]:
        lines.append(told["file"])
    lines.append(
        f"no two act on contradicting rules for longer than {told['contradiction_s']:.1f} s; a "
        f"change that contradicts takes {told['change_s']:.1f} s and the check before it"
    )
    return lines


@command.command("show")
@AT
@click.option("--members", is_flag=True, help="What each has reported; ask whoever leads.")
@click.option("--rules", is_flag=True, help="The settings themselves.")
@JSON
def show(at: str, members: bool, rules: bool, as_json: bool) -> int:
    """What this balancer acts on. 1 where it is in doubt."""
    if members:
        return _members(at, as_json)
    told = ask(at, "/settings/rules" if rules else "/settings")
    if as_json or rules:
        print(json.dumps(told, indent=None if as_json else 2))
        return 0
    print(headline(told))
    print("\n".join(details(told)))
    return 1 if told["mode"] == "doubtful" else 0


def _members(at: str, as_json: bool) -> int:
    status, told = _exchange(at, "GET", "/settings/members")
    if as_json:
        print(json.dumps({"status": status, **told}))
    elif status == 200:
        for row in told["members"]:
            here = "" if row["number"] in told["alive"] else ", not in reach"
            said = f", says {row['verdict']} {row['reason']}" if row["verdict"] != "none" else ""
            print(
                f"{row['number']:>5}  book {row['book']:>5}  {row['mode']}{here}{said}, "
                f"{row['answers']} answers, {row['bad']} bad, {row['ago_s']:.1f} s ago"
            )
    else:
        print(f"lifttrail settings: {told['reason']}", file=sys.stderr)
    return 0 if status == 200 else 1


@command.command("history")
@AT
@JSON
def history(at: str, as_json: bool) -> int:
    """Versions that can be gone back to, and what became of the latest proposals."""
    told = ask(at, "/settings/history")
    if as_json:
        print(json.dumps(told))
        return 0
    for n, held in enumerate(told["rules"]):
        what = "each balancer's own file" if held["settings"] is None else f"by {held['by'] or 'nobody'}"
        print(f"{held['version']:>6}  {'in force' if n == 0 else 'before'}  {what}")
    for one in told["outcomes"]:
        print(f"{one['version']:>6}  {one['how']}  {one['reason']}")
    return 0


@command.command("diff")
@AT
@click.argument("file")
@JSON
def diff(at: str, file: str, as_json: bool) -> int:
    """What FILE would change of what is in force there, field by field. 1 where anything is guarded."""
    from dykeshift.versions.own import LocalSettings
    from dykeshift.versions.terms import CLASS, FREE, SETTINGS, differences, active_classes

    told = ask(at, "/settings/rules")
    raw = told["in_force"]["settings"] or told["file"]
    mine = {"az": 0, "discovery": "ask"}
    try:
        old, new = LocalSettings({**raw, **mine}).settings, LocalSettings({**_read(file), **mine}).settings
    except Exception as exc:
        raise Usage(f"lifttrail settings: {file}: {exc}") from None
    guarded, free = differences(old, new), differences(old, new, FREE)
    names = {
        "gone": sorted(set(active_classes(old)) - set(active_classes(new))),
        "new": sorted(set(active_classes(new)) - set(active_classes(old))),
    }
    if as_json:
        print(json.dumps({"guarded": guarded, "free": free, **names}))
    else:
        for name in guarded:
            term = CLASS.get(name.partition(".")[2]) or SETTINGS[name]
            print(f"{name}: goes through the middle: {term.explanation}")
        for name in free:
            print(f"{name}: at once")
        for how, some in names.items():
            for name in some:
                print(f"class {name}: {how}")
    return 1 if guarded else 0


def _read(file: str) -> dict[str, Any]:
    """Settings from a file of them, or from a whole configuration."""
    try:
        raw = json.loads(Path(file).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as exc:
        raise Usage(f"lifttrail settings: cannot read {file}: {exc}") from None
    except ValueError as exc:
        raise Usage(f"lifttrail settings: {file} is no JSON: {exc}") from None
    if not isinstance(raw, dict):
        raise Usage(f"lifttrail settings: {file} holds no object")
    inner = raw.get("settings")
    return inner if isinstance(inner, dict) else raw


WAIT = click.option(
    "--wait",
    default=0.0,
    metavar="SECONDS",
    type=click.FloatRange(0, 86_400),
    help="Until it is in force or refused; 2 when it is neither by then.",
)
BY = click.option("--by", default="", metavar="NAME", help="Who wants it, for the history.")


@command.command("propose")
@AT
@click.argument("file")
@WAIT
@BY
@JSON
def propose(at: str, file: str, wait: float, by: str, as_json: bool) -> int:
    """Make the settings of FILE the next version: all check it, then through the middle where it
    contradicts."""
    return _put(at, "/settings/propose", {"settings": _read(file), "by": by}, wait, as_json)


@command.command("stage")
@AT
@click.argument("file")
@click.argument("groups", nargs=-1, required=True)
@WAIT
@BY
@JSON
def stage(at: str, file: str, groups: tuple[str, ...], wait: float, by: str, as_json: bool) -> int:
    """The same in stages: GROUPS act on it one after the other, then all. A group is numbers of balancers
    (0 or 1,2,3), or a zone of the view (zone:2)."""
    stages = [_group(at, group) for group in groups]
    return _put(at, "/settings/propose", {"settings": _read(file), "by": by, "stages": stages}, wait, as_json)


def _group(at: str, text: str) -> list[int]:
    try:
        if not text.startswith("zone:"):
            return [int(n) for n in text.split(",")]
        zone = int(text.removeprefix("zone:"))
    except ValueError:
        raise Usage(f"lifttrail settings: {text} is no group: 0, 1,2,3 or zone:2") from None
    members = ask(at, "/fleet")["members"]
    found = [row["number"] for row in members if row["zone"] == zone and row["number"] >= 0]
    if not found:
        raise Usage(f"lifttrail settings: {at} knows nobody in zone {zone}")
    return found


@command.command("check")
@AT
@click.argument("file")
@click.option("--wait", default=30.0, metavar="SECONDS", show_default=True, type=click.FloatRange(0.5, 3600))
@JSON
def check(at: str, file: str, wait: float, as_json: bool) -> int:
    """Ask every balancer in reach whether it could act on FILE; nothing changes. 1: one says no, and why."""
    return _put(at, "/settings/propose", {"settings": _read(file), "dry": True}, wait, as_json)


@command.command("rollback")
@AT
@click.argument("version", type=click.IntRange(1))
@WAIT
@BY
@JSON
def rollback(at: str, version: int, wait: float, by: str, as_json: bool) -> int:
    """Make the settings of an earlier VERSION the next one; they go the same way as any other."""
    return _put(at, "/settings/rollback", {"version": version, "by": by}, wait, as_json)


@command.command("halt")
@AT
@click.argument("reason")
@JSON
def halt(at: str, reason: str, as_json: bool) -> int:
    """Take back what is under way; the version in force before holds again."""
    return _put(at, "/settings/halt", {"reason": reason}, 0.0, as_json)


@command.command("lists")
@AT
@click.option("--preferred", metavar="NAMES", help="Servers, with commas; empty: none.")
@click.option("--closed", metavar="NAMES", help="Classes that are turned away.")
@click.option("--wary", metavar="NAMES", help="Servers that a balancer in doubt leaves alone.")
@click.option("--doubt", type=click.Choice(["serve", "refuse"]), help="What a balancer in doubt does.")
@JSON
def lists(
    at: str, preferred: str | None, closed: str | None, wary: str | None, doubt: str | None, as_json: bool
) -> int:
    """Change the lists of the whole fleet; what is not named stays."""
    named = {"preferred": preferred, "closed": closed, "wary": wary}
    body: dict[str, Any] = {
        name: [n for n in text.split(",") if n] for name, text in named.items() if text is not None
    }
    if doubt is not None:
        body["doubt"] = doubt
    if not body:
        raise Usage("lifttrail settings: lists changes at least one of them")
    return _put(at, "/settings/lists", body, 0.0, as_json)


@command.command("alone")
@AT
@JSON
def alone(at: str, as_json: bool) -> int:
    """All others are gone for good: this balancer goes on by itself, in a new epoch of the history."""
    return _put(at, "/settings/alone", {}, 0.0, as_json)


def _exchange(at: str, method: str, path: str, body: Any = None) -> tuple[int, dict[str, Any]]:
    status, text = exchange(at, method, path, None if body is None else json.dumps(body))
    try:
        told: dict[str, Any] = json.loads(text)
    except ValueError:
        raise Usage(f"lifttrail settings: no ({status}): {text}") from None
    return status, told


def _put(at: str, path: str, body: dict[str, Any], wait: float, as_json: bool) -> int:
    status, told = _exchange(at, "PUT", path, body)
    code = {200: 0, 503: 2}.get(status, 1)
    outcome: dict[str, Any] = {}
    if status == 200 and wait:
        outcome, code = _await(at, told["version"], wait)
    if as_json:
        print(json.dumps({"status": status, **told, **({"outcome": outcome} if outcome else {})}))
    elif status != 200:
        said = "not known" if status == 503 else "no"
        print(f"lifttrail settings: {said}: {told['reason']}", file=sys.stderr)
    elif outcome:
        print(f"version {told['version']}: {outcome['how']} {outcome['reason']}".rstrip())
    else:
        print(f"committed as version {told['version']}" if "id" in told else headline(told))
    return code


def _await(at: str, version: int, wait: float) -> tuple[dict[str, Any], int]:
    """What became of a proposal; the code says whether that is a yes."""
    until = time.monotonic() + wait
    while time.monotonic() < until:
        found = [one for one in ask(at, "/settings")["outcomes"] if one["version"] == version]
        if found:
            yes = found[0]["how"] == "in force" or (
                found[0]["how"] == "checked" and found[0]["reason"].startswith("all ")
            )
            return found[0], 0 if yes else 1
        time.sleep(LOOK)
    return {"version": version, "how": "under way", "reason": "still"}, 2
