"""`lifttrail init`: a commented example configuration, ready to run."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import click

from dykeshift.cli import Usage

MS = 1_000_000


def example() -> dict[str, Any]:
    """The configuration as data. Keys that begin with `//` are comments: the program skips them."""

    def service(name: str, about: str, aim: int, deadline: int, idempotency: str) -> dict[str, Any]:
        return {
            "//": about,
            "name": name,
            "goalTimeNs": aim * MS,
            "deadlineNs": deadline * MS,
            "idempotency": idempotency,
            "group": "cell",
            "windowNs": 4000 * MS,
            "worth": 1.0,
            "lateShare": 0.2,
            "stream": False,
        }

    return {
        "//": "For `NODE_CONFIG=FILE python -m dykeshift.node`. Times in settings are nanoseconds.",
        "name": "n0",
        "listen": "127.0.0.1:8081",
        "discovery": "127.0.0.1:8500",
        "// console": "where operators call, as 127.0.0.1:8090; it asks for no password; null: none",
        "console": None,
        "// seed": "of the random choices; use another at each balancer and each start",
        "seed": "example-1",
        "limits": {
            "//": "what this balancer may use; connections are bounded by it",
            "cores": 1.0,
            "memory_mb": 192,
            "sockets": 1024,
        },
        "// known": "the list of senders as last seen, in discovery's form; null: none",
        "known": None,
        "settings": {
            "az": 0,
            "balancers": 1,
            "discovery": "ask",
            "stepNs": 2 * MS,
            "valueBy": "request",
            "goal": {"worstClass": 0.0},
            "failureDomains": ["zone-1", "zone-2"],
            "kinds": ["standard"],
            "report": {"fields": ["cpu_share"], "how": "piggyback"},
            "services": [
                service("status-check", "safe to repeat: GET", 250, 1000, "pure"),
                service(
                    "reminder-set",
                    "a rack drops the repeats of a key: POST with Idempotency-Key",
                    400,
                    800,
                    "token",
                ),
                service("sms-send", "must never run twice: POST", 400, 1500, "side_effect"),
            ],
            "bounds": {
                "//": "what attempts may do",
                "cancelling": True,
                "maxAttempts": 3,
                "secondCopies": True,
                "retryAfter": True,
                "maxRetryAfterNs": 750 * MS,
                "keepaliveNs": 10_000 * MS,
                "connectTimeoutNs": 120 * MS,
            },
            "obligations": {
                "//": "the figures of the rules",
                "answerSlackNs": 8 * MS,
                "askEveryNs": 10_000 * MS,
                "coldFrom": 0.12,
                "coldNs": 23_000 * MS,
                "drainGraceNs": 250 * MS,
                "fallNs": 3000 * MS,
                "tipMultiple": 3.0,
            },
        },
    }


def _bare(value: Any) -> Any:
    if isinstance(value, dict):
        return {k: _bare(v) for k, v in value.items() if not k.startswith("//")}
    return [_bare(v) for v in value] if isinstance(value, list) else value


@click.command()
@click.argument("file", required=False)
@click.option("--force", is_flag=True, help="Write over a file that is there.")
@click.option("--json", "as_json", is_flag=True, help="The same without the comments.")
def command(file: str | None, force: bool, as_json: bool) -> int:
    """Write a commented example configuration to FILE, or to standard output."""
    config = example()
    text = json.dumps(_bare(config) if as_json else config, indent=2) + "\n"
    if file is None:
        sys.stdout.write(text)
        return 0
    try:
        with Path(file).open("w" if force else "x", encoding="utf-8") as to:
            to.write(text)
    except FileExistsError:
        raise Usage(f"lifttrail init: {file} is there already; --force writes over it") from None
    except OSError as exc:
        raise Usage(f"lifttrail init: cannot write {file}: {exc.strerror}") from None
    print(f"wrote {file}; `lifttrail check {file}` looks it over", file=sys.stderr)
    return 0
