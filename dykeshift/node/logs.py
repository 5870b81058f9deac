"""`[logs]`: the daemon's log as structured records (structlog): an event's name, its fields, when, how grave.

Without the section the log stays lines of the standard library, as the platform expects. The calls are the
same: a record that carries `event` and `fields` (logging's `extra`) keeps them apart from its sentence.
"""

from __future__ import annotations

import logging
import sys
from collections.abc import MutableMapping
from typing import TYPE_CHECKING, Any, Literal

import structlog
from msgspec import Struct
from structlog.typing import Processor

from dykeshift.node.quiet import Still, carrier, check, connections, objection

if TYPE_CHECKING:
    from dykeshift.node.features import Host

__all__ = ["Options", "carrier", "check", "connections", "formatter", "objection", "start"]

Event = MutableMapping[str, Any]


class Options(Struct, frozen=True, forbid_unknown_fields=True):
    form: Literal["auto", "lines", "json"] = "auto"  # auto: lines on a terminal, JSON elsewhere
    level: Literal["debug", "info", "warning", "error"] = "info"


async def start(options: Options, host: Host) -> Still:
    lines = sys.stderr.isatty() if options.form == "auto" else options.form == "lines"
    handler = logging.StreamHandler()
    handler.setFormatter(formatter(lines))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(options.level.upper())
    return Still()


def formatter(lines: bool) -> logging.Formatter:
    """For people (`lines`) or for programs: JSON, one object a line."""
    render: Processor = structlog.processors.JSONRenderer()
    if lines:
        render = structlog.dev.ConsoleRenderer(event_key="message")
    return structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=[
            structlog.stdlib.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
        ],
        processors=[
            _named,
            structlog.stdlib.ProcessorFormatter.remove_processors_meta,
            structlog.processors.format_exc_info,
            render,
        ],
    )


def _named(logger: Any, method: str, event: Event) -> Event:
    """The sentence becomes `message`, the event's own name `event`, its fields stand beside."""
    record: logging.LogRecord = event["_record"]
    event["message"] = event.pop("event")
    event["event"] = getattr(record, "event", record.name)
    return {**getattr(record, "fields", {}), **event}
