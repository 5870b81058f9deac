"""`lifttrail check FILE`: what is wrong with a configuration, a line for each finding."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import click

from dykeshift.cli import Usage

OPTIONAL_KEYS = ("console", "known")  # beside the documented ones


@click.command()
@click.argument("file")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def command(file: str, as_json: bool) -> int:
    """Say what is wrong with a configuration (JSON) or a feature file (TOML).

    Ends with 0: nothing found; 1: findings; 2: no file that could be looked over.
    """
    if file.endswith(".toml"):
        return _features(file, as_json)
    try:
        raw = json.loads(Path(file).read_text(encoding="utf-8"))
    except OSError as exc:
        raise Usage(f"lifttrail check: cannot read {file}: {exc.strerror}") from None
    except ValueError as exc:
        raise Usage(f"lifttrail check: {file} is no JSON: {exc}") from None
    errors = list(findings(raw))
    hints = [] if errors else list(doubts(raw))
    if as_json:
        print(json.dumps({"file": file, "errors": errors, "doubts": hints}))
    else:
        for text in errors:
            print(f"{file}: error: {text}")
        for text in hints:
            print(f"{file}: doubtful: {text}")
        if not errors:
            print(f"{file}: usable" + (f", {len(hints)} doubts" if hints else ""))
    return 1 if errors else 0


def _features(file: str, as_json: bool) -> int:
    """A feature file, looked over without the settings that it will meet."""
    from dykeshift.engine.config import ConfigError
    from dykeshift.node import features

    if not Path(file).exists():
        raise Usage(f"lifttrail check: cannot read {file}: No such file or directory")
    try:
        on, error = (
            {
                module.__name__: (module, options)
                for module, options in features.load(file, True, None).enabled
            },
            "",
        )
    except ConfigError as exc:
        on, error = {}, str(exc)
    times = _times(on)
    if as_json:
        print(json.dumps({"file": file, "errors": [error] if error else [], "features": len(on), **times}))
        return 1 if error else 0
    print(f"{file}: error: {error}" if error else f"{file}: usable, {len(on)} features on")
    if times:
        print(
            f"{file}: no two balancers act on contradicting rules for longer than "
            f"{times['contradiction_s']} s (C, lease_s of [agree]); a change that contradicts takes "
            f"{times['change_s']} s after the check"
        )
    return 1 if error else 0


def _times(on: dict[str, Any]) -> dict[str, float]:
    """The stated times of settings in versions, where these are on."""
    versions, agree = on.get("dykeshift.node.versions"), on.get("dykeshift.node.agree")
    view = on.get("dykeshift.node.view")
    if versions is None or agree is None or view is None:
        return {}
    found: dict[str, float] = versions[0].timing_bounds(versions[1], agree[1].lease_s, view[1].drift)
    return found


def findings(raw: Any) -> Iterator[str]:
    """What keeps the balancer from starting with it, or makes it drop a part."""
    from dykeshift.clock import SYSTEM
    from dykeshift.engine import config
    from dykeshift.engine.discovery import ListReader
    from dykeshift.settings import MalformedError

    if not isinstance(raw, dict):
        yield "it is no JSON object"
        return
    try:
        given = config.parse(raw)
    except (MalformedError, ValueError, TypeError, AttributeError) as exc:
        yield str(exc)
        return
    if given.cached_list is not None:
        try:
            ListReader(SYSTEM, given.zones, given.kinds).read(given.cached_list)
        except ValueError as exc:
            yield f"known: {exc}"


def doubts(raw: dict[str, Any]) -> Iterator[str]:
    """What can be used and is hardly meant."""
    from dykeshift.engine import config

    given = config.parse(raw)
    for key in raw:
        if key not in (*config.DOCUMENTED_KEYS, *OPTIONAL_KEYS) and not key.startswith("//"):
            yield f"the key {key!r} is not known and is skipped"
    for klass in given.settings.classes:
        if klass.aim > klass.deadline:
            yield f"class {klass.name}: its aim lies behind its deadline"
    if given.settings.attempt_limit > 3:
        yield f"bounds.maxAttempts is {given.settings.attempt_limit}; the rules allow 3"
    if given.listen == given.discovery:
        yield "listen and discovery are the same address"
    if not 0 <= given.settings.zone < max(1, len(given.zones)):
        yield f"settings.az is {given.settings.zone}, and {len(given.zones)} zones are named"
    if given.connections < 20:
        yield f"limits leave {given.connections} connections of either kind"
