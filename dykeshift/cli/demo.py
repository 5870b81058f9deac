"""`lifttrail demo`: a whole installation on loopback, with a live view on a terminal."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import sys
import time
from dataclasses import dataclass
from typing import Any

import click
from rich.live import Live

from dykeshift.cli import Usage

FAULTS = ("hang", "slow", "drain", "kill-sender", "kill-balancer", "restart-balancer")
FRAME = 0.25  # seconds between two pictures
FIRST_FAULT = 1.0  # seconds until the first fault that a flag orders, and between two


@dataclass(frozen=True)
class Wanted:
    """The command's options; `seconds` None plays until it is interrupted, `rate` is requests a second."""

    seconds: float | None
    faults: tuple[str, ...]
    rate: float
    senders: int
    balancers: int
    seed: int
    as_json: bool


@click.command()
@click.option("--seconds", type=float, metavar="N", help="End after so long; else with q or Ctrl-C.")
@click.option("--fault", "faults", multiple=True, type=click.Choice(FAULTS), help="May be given often.")
@click.option("--rate", type=float, default=60.0, metavar="N", show_default=True, help="Requests a second.")
@click.option("--senders", type=int, default=12, metavar="N", show_default=True)
@click.option("--balancers", type=int, default=2, metavar="N", show_default=True)
@click.option("--seed", type=int, default=1, metavar="N", help="Of what clients ask and when.")
@click.option("--json", "as_json", is_flag=True, help="No view; print one JSON object at the end.")
def command(**given: Any) -> int:
    """Run a whole installation on this machine's loopback, with a live view and faults to order."""
    options = Wanted(**given)
    if options.seconds is not None and not 0 < options.seconds <= 86_400:
        raise Usage("lifttrail demo: --seconds is more than 0 and at most a day")
    if not (0 < options.rate <= 2000 and 1 <= options.senders <= 100 and 1 <= options.balancers <= 8):
        raise Usage("lifttrail demo: up to 2000 requests a second, 1 to 100 senders and 1 to 8 balancers")
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    report = asyncio.run(_demo(options))
    broken = report["broken_rules"]
    if options.as_json:
        print(json.dumps(report))
    else:
        answers = ", ".join(f"{n} {name}" for name, n in sorted(report["answers"].items()))
        print(f"{report['requests']} requests in {report['seconds']} s: {answers}")
        for text in broken:
            print(f"BROKEN: {text}")
        print("no rule was broken" if not broken else f"{len(broken)} rules were broken")
    return 1 if broken else 0


async def _demo(options: Wanted) -> dict[str, Any]:
    from dykeshift.demo import view
    from dykeshift.rig.installation import Installation

    home = Installation(options.seed, options.senders, options.balancers, options.rate)
    live = not options.as_json and sys.stdout.isatty()
    began = time.monotonic()
    try:
        await home.start()
        began = time.monotonic()
        screen = Live(screen=True, auto_refresh=False) if live else None
        with _keys(home, live) as quit_asked, screen or contextlib.nullcontext():
            orders = asyncio.create_task(_order(home, options.faults))
            before, then = 0, began
            while not quit_asked.is_set():
                now = time.monotonic()
                if options.seconds is not None and now - began >= options.seconds and orders.done():
                    break
                if screen is not None:
                    asked = sum(home.tally.classes.values())
                    rate = (asked - before) / max(now - then, 1e-3)
                    screen.update(view.picture(home, now - began, rate), refresh=True)
                    before, then = asked, now
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(quit_asked.wait(), FRAME)
            orders.cancel()
    except TimeoutError:
        raise Usage("lifttrail demo: the balancers did not come up; are their logs readable?") from None
    finally:
        seconds = time.monotonic() - began
        await home.stop()
    tally = home.tally
    return {
        "seconds": round(seconds, 1),
        "requests": sum(tally.classes.values()),
        "classes": dict(tally.classes),
        "answers": dict(tally.answers),
        "broken_rules": tally.broken_rules,
        "notes": list(tally.notes),
    }


async def _order(home: Any, faults: tuple[str, ...]) -> None:
    for name in faults:
        await asyncio.sleep(FIRST_FAULT)
        await home.fault(name)


@contextlib.contextmanager
def _keys(home: Any, live: bool) -> Any:
    """Faults by key, where there is a terminal to press them on."""
    quit_asked = asyncio.Event()
    if not (live and sys.stdin.isatty()):
        yield quit_asked
        return
    import termios
    import tty

    from dykeshift.demo.view import KEYS

    loop, tasks = asyncio.get_running_loop(), set[asyncio.Task[Any]]()

    def pressed() -> None:
        key = sys.stdin.read(1)
        if key in ("q", "\x03"):
            quit_asked.set()
        elif key in KEYS:
            task = loop.create_task(home.fault(KEYS[key]))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    before = termios.tcgetattr(sys.stdin)
    tty.setcbreak(sys.stdin.fileno())
    loop.add_reader(sys.stdin.fileno(), pressed)
    try:
        yield quit_asked
    finally:
        loop.remove_reader(sys.stdin.fileno())
        termios.tcsetattr(sys.stdin, termios.TCSADRAIN, before)
