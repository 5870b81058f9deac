"""The command line: a click group that loads a command's module only when it is asked for.

A command's module has `command`, a click command or group. Bad input raises `Usage` (or click's own errors),
which becomes one line on standard error and exit code 2. `--json` prints one JSON object on standard output.
"""

from __future__ import annotations

import importlib
import sys
from collections.abc import Sequence
from typing import Any

try:
    import click
except ImportError:  # the daemon does without
    sys.exit("lifttrail: the commands need the extra: pip install 'dykeshift[cli]'")

from dykeshift import __version__

COMMANDS = {
    "agree": "the history that balancers share: status, voters, log, propose, rescue",
    "demo": "a whole installation on this machine's loopback, with a live view and faults to order",
    "init": "write a commented example configuration",
    "check": "say what is wrong with a configuration",
    "console": "ask and steer a running balancer: figures, upstreams out by hand, standby",
    "fleet": "the balancers as one of them sees them: members, how sure that is",
    "experiment": "play policies and settings over a grid of days, compare them, report with plots",
    "load": "put a balancer under load and measure its service",
    "mllp": "send, answer and make HL7 messages over MLLP; look into a journal",
    "settings": "settings and lists on which all balancers agree: show, diff, propose, check, rollback",
    "rig": "start several balancers with faults between them, hold their views to the truth",
    "scale": "measure the installation at the size of two years: runs, costs, fits, the capacity page",
    "sim": "play the balancer on a virtual clock against faults drawn from seeds",
}


class Usage(click.ClickException):
    """What the user asked for cannot be done as asked; its text is one line."""

    exit_code = 2


class Lazy(click.Group):
    """Knows its commands by name and summary; imports one when it runs or tells of itself."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name not in COMMANDS:
            return None
        command: click.Command = importlib.import_module(f"dykeshift.cli.{name}").command
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        with formatter.section("Commands"):
            formatter.write_dl(list(COMMANDS.items()))


@click.group("lifttrail", cls=Lazy, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="lifttrail")
def cli() -> None:
    """A balancer for fleets of HTTP and MLLP servers, with its laboratory."""


def main(arguments: Sequence[str]) -> int:
    """Run a command; its exit code."""
    try:
        done: Any = cli.main(list(arguments), prog_name="lifttrail", standalone_mode=False)
        return done if isinstance(done, int) else 0
    except click.exceptions.NoArgsIsHelpError as exc:
        print(exc.format_message(), file=sys.stderr)
        return 2
    except click.ClickException as exc:
        text = " ".join(exc.format_message().split())
        ctx = getattr(exc, "ctx", None)
        print(f"{ctx.command_path}: {text}" if ctx else text, file=sys.stderr)
        return 2
    except BrokenPipeError:
        sys.stderr.close()
        return 1
    except (click.Abort, KeyboardInterrupt):
        return 130


def console() -> int:
    """The entry point of the console command. Completion: `_LIFTTRAIL_COMPLETE=bash_source lifttrail`."""
    return main(sys.argv[1:])
