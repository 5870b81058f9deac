"""`lifttrail scale page`: the capacity page from its results file: printed, written or checked."""

from __future__ import annotations

import shlex
from pathlib import Path
from typing import Any

import click

from dykeshift.cli import Usage
from dykeshift.cli.scale_options import RESULTS, load_results


@click.command("page")
@click.option("--check", "action", flag_value="check", help="1 where the page is not what the file gives.")
@click.option("--write", "action", flag_value="write", help="Write the page.")
@click.option(
    "--page", "page_path", default="docs/CAPACITY.md", metavar="PAGE", show_default=True, help="The page."
)
@RESULTS
def command(action: str | None, page_path: str, path: str) -> int:
    """Render the capacity page from the results file: print, write or check it."""
    from dykeshift.scale import audit
    from dykeshift.scale.page import render

    held = load_results(path)
    if action == "write":
        try:
            Path(page_path).write_text(render(held), encoding="utf-8")
        except OSError as exc:
            raise Usage(f"lifttrail scale page: {page_path}: {exc.strerror}") from None
        return 0
    if action is None:
        click.echo(render(held), nl=False)
        return 0
    try:
        text = Path(page_path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise Usage(f"lifttrail scale page: {page_path}: {exc}") from None
    found = audit.faults(text, held) + stale_commands(held)
    if audit.stale(text, held):
        found.append(f"{page_path} is not what {path} gives: lifttrail scale page --write")
    for fault in found:
        click.echo(fault, err=True)
    return 1 if found else 0


def stale_commands(held: Any) -> list[str]:
    """Commands of measurements that no longer exist, or not with these options, in a line each."""
    return [
        f"{one.id}: {fault}: {one.command}"
        for one in held.measurements
        if (fault := command_fault(one.command)) is not None
    ]


def command_fault(text: str) -> str | None:
    """Why that is no command of this program; None where it is one. Nothing is run."""
    from dykeshift.cli import cli

    words = shlex.split(text)
    if words[:2] == ["python", "-m"] and len(words) > 2:
        there = Path(*words[2].split(".")).with_suffix(".py").exists()
        return None if there else "no such module"
    if not words or words[0] != "lifttrail":
        return "not a command of this repository"
    group: click.Command = cli
    context = click.Context(cli)
    rest = words[1:]
    while isinstance(group, click.Group):
        found = group.get_command(context, rest[0]) if rest else None
        if found is None:
            return "no such command"
        group, rest = found, rest[1:]
    known = {name for option in group.params for name in (*option.opts, *option.secondary_opts)}
    strange = [word for word in rest if word.startswith("--") and word.split("=")[0] not in known]
    return f"no option {strange[0]}" if strange else None
