"""The command line: one module a command, loaded only when it is asked for.

A command's module has `SUMMARY` through this table, `arguments(parser)` and `run(options) -> int`. Bad input
raises `Usage`, which becomes one line on standard error and exit code 2.
"""

from __future__ import annotations

import argparse
import importlib
import sys
from collections.abc import Sequence

COMMANDS = {
    "demo": "a whole installation on this machine's loopback, with a live view and faults to order",
    "init": "write a commented example configuration",
    "check": "say what is wrong with a configuration",
    "mllp": "send, answer and make HL7 messages over MLLP; look into a journal",
    "sim": "play the balancer on a virtual clock against faults drawn from seeds",
}


class Usage(Exception):
    """What the user asked for cannot be done as asked; its text is one line."""


class _Parser(argparse.ArgumentParser):
    def error(self, message: str) -> None:  # type: ignore[override]
        raise Usage(f"{self.prog}: {message}")


def _overview() -> str:
    width = max(map(len, COMMANDS))
    lines = [f"  {name.ljust(width)}  {text}" for name, text in COMMANDS.items()]
    return "\n".join(["usage: lifttrail COMMAND ...", "", "commands:", *lines, "",
                      "lifttrail COMMAND --help tells more."])


def main(arguments: Sequence[str]) -> int:
    """Run a command; its exit code."""
    if not arguments or arguments[0] in ("-h", "--help"):
        print(_overview())
        return 0 if arguments else 2
    name = arguments[0]
    try:
        if name not in COMMANDS:
            raise Usage(f"lifttrail: there is no command {name!r}; the commands are {', '.join(COMMANDS)}")
        command = importlib.import_module(f"dykeshift.cli.{name}")
        parser = _Parser(prog=f"lifttrail {name}", description=COMMANDS[name])
        command.arguments(parser)
        return int(command.run(parser.parse_args(arguments[1:])))
    except Usage as exc:
        print(exc, file=sys.stderr)
        return 2
    except BrokenPipeError:
        sys.stderr.close()
        return 1
    except KeyboardInterrupt:
        return 130


def console() -> int:
    """The entry point of the console command."""
    return main(sys.argv[1:])
