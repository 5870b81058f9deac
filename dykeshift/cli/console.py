"""`lifttrail console`: the operators' calls to a running balancer, as its console answers them."""

from __future__ import annotations

import http.client
import json
import sys
from typing import Any

import click

from dykeshift.cli import Usage

WAIT = 3.0  # seconds for an answer: the console owes it in one


@click.group(no_args_is_help=False)
def command() -> None:
    """Ask and steer a running balancer at its console. A no is exit 1, no answer exit 2."""


def ask(at: str, path: str) -> dict[str, Any]:
    """A JSON answer; Usage in one line where there is none."""
    status, text = exchange(at, "GET", path, None)
    found = _parsed(text)
    if status != 200 or not isinstance(found, dict):
        raise Usage(f"lifttrail console: no ({status}): {text}")
    return found


def _call(at: str, method: str, path: str, name: str | None, as_json: bool) -> int:
    status, text = exchange(at, method, path, None if name is None else json.dumps({"name": name}))
    yes = 200 <= status < 300
    if as_json:
        said = _parsed(text) if yes else text
        print(json.dumps({"yes": yes, "status": status, "said": said}))
    elif yes:
        print(_readable(text))
    else:
        print(f"lifttrail console: no ({status}): {text}", file=sys.stderr)
    return 0 if yes else 1


def exchange(at: str, method: str, path: str, body: str | None) -> tuple[int, str]:
    """Status and text of one call; Usage in one line where there is no answer."""
    from dykeshift.engine.config import read_address

    try:
        host, port = read_address(at)
    except ValueError as exc:
        raise Usage(f"lifttrail console: {exc}") from None
    connection = http.client.HTTPConnection(host, port, timeout=WAIT)
    try:
        connection.request(method, path, body, {"Content-Type": "application/json"} if body else {})
        got = connection.getresponse()
        return got.status, got.read().decode("utf-8", "replace").strip()
    except (OSError, http.client.HTTPException) as exc:
        raise Usage(f"lifttrail console: no answer from {at}: {exc or type(exc).__name__}") from None
    finally:
        connection.close()


def _parsed(text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        return text


def _readable(text: str) -> str:
    """Figures as a table, anything else as it is."""
    figures = _parsed(text)
    if not isinstance(figures, dict):
        return text
    calls = figures.pop("calls", {})
    lines = [f"{'class':<20}{'success':>12}{'busy':>12}{'failure':>12}"] if calls else []
    lines += [
        f"{name:<20}{row['success']:>12}{row['busy']:>12}{row['failure']:>12}" for name, row in calls.items()
    ]
    return "\n".join(lines + [f"{name:<20}{value:>12}" for name, value in figures.items()])


def _add(word: str, about: str, method: str, path: str, named: bool) -> None:
    def run(at: str, as_json: bool, name: str | None = None) -> int:
        return _call(at, method, path, name, as_json)

    made: Any = click.option("--json", "as_json", is_flag=True, help="Print JSON.")(run)
    made = click.option("--at", required=True, metavar="HOST:PORT", help="The balancer's console.")(made)
    if named:
        made = click.argument("name")(made)
    command.command(word, help=about)(made)


_add("status", "Whether the process can serve.", "GET", "/status", False)
_add("metrics", "The figures since the process started.", "GET", "/status/metrics", False)
_add("enter", "Send nothing more to upstream NAME.", "PUT", "/maintenance/enter", True)
_add("exit", "Put upstream NAME back.", "PUT", "/maintenance/exit", True)
_add("standby", "Drain: let go of the clients.", "PUT", "/standby", False)
_add("active", "Take clients again.", "PUT", "/active", False)
