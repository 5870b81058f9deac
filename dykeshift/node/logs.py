"""The feature `[logs]`: structured log records (structlog) with an event name, fields, time and level.

Without the section the log stays in the text format of the standard library, as the platform expects. The
logging calls are the same in both cases: they pass `event` and `fields` in logging's `extra`, apart from the
sentence.
"""

from __future__ import annotations

import logging
import sys
from collections.abc import MutableMapping
from typing import TYPE_CHECKING, Any, Literal

import structlog
from msgspec import Struct
from structlog.typing import Processor

from dykeshift.node.defaults import PassiveService, carrier, check, connections, objection

if TYPE_CHECKING:
    from dykeshift.node.features import Host

__all__ = ["Options", "carrier", "check", "connections", "formatter", "objection", "start"]

EventDict = MutableMapping[str, Any]


class Options(Struct, frozen=True, forbid_unknown_fields=True):
    """The options of the section `[logs]`."""

    form: Literal["auto", "lines", "json"] = "auto"  # auto: lines on a terminal, JSON elsewhere
    level: Literal["debug", "info", "warning", "error"] = "info"


async def start(options: Options, host: Host) -> PassiveService:
    """Replace the handlers of the root logger."""
    lines = sys.stderr.isatty() if options.form == "auto" else options.form == "lines"
    handler = logging.StreamHandler()
    handler.setFormatter(formatter(lines))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(options.level.upper())
    return PassiveService()


def formatter(lines: bool) -> logging.Formatter:
    """A formatter for people (`lines`) or for programs (JSON, one object per line)."""
    render: Processor = structlog.processors.JSONRenderer()
    if lines:
        render = structlog.dev.ConsoleRenderer(event_key="message")
    return structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=[
            structlog.stdlib.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
        ],
        processors=[
            _split_event,
            structlog.stdlib.ProcessorFormatter.remove_processors_meta,
            structlog.processors.format_exc_info,
            render,
        ],
    )


def _split_event(logger: Any, method: str, event: EventDict) -> EventDict:
    """Put the sentence under `message`, the event's name under `event`, and its fields as further keys."""
    record: logging.LogRecord = event["_record"]
    event["message"] = event.pop("event")
    event["event"] = getattr(record, "event", record.name)
    return {**getattr(record, "fields", {}), **event}
