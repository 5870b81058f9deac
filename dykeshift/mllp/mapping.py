"""From a message's trigger to what the balancer knows: class, deadline, target. Sans-I/O.

A bridge carries an HL7 message to HTTP upstreams as the body of a POST, so a mapping names keyed and unsafe
classes; one that is safe to repeat would have to be a GET without a body.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta, timezone, UTC

from dykeshift.interface import Idempotency, RequestClass, Scope
from dykeshift.mllp import acks
from dykeshift.mllp.message import Header, Message, Unreadable


class MappingError(ValueError):
    """The mapping cannot be used; one line says why."""


@dataclass(frozen=True, slots=True)
class Rule:
    trigger: str  # `SIU^S12`, or `SIU` for all its events
    klass: int
    deadline: int  # nanoseconds
    target: bytes  # path of the HTTP request


@dataclass(frozen=True, slots=True)
class Asked:
    """A message as the driver takes it (`engine.terms.Asked`): to HTTP upstreams, as a POST."""

    id: str
    klass: int
    patience: int
    head: bytes
    body: bytes
    cost_hint: int = 0
    retry: bool = False

    def message(self, left: int) -> bytes:
        return b"%sX-Deadline-Ms: %d\r\n\r\n%s" % (self.head, max(1, left // 1_000_000), self.body)


class Mapping:
    def __init__(self, classes: tuple[RequestClass, ...], rules: list[Rule]) -> None:
        self.classes = classes
        self.rules: dict[str, Rule] = {}
        for rule in rules:
            if not 0 <= rule.klass < len(classes):
                raise MappingError(f"{rule.trigger}: there is no class {rule.klass}")
            if classes[rule.klass].idempotency is Idempotency.SAFE:
                raise MappingError(f"{rule.trigger}: class {classes[rule.klass].name} is safe to repeat, "
                                   "and a message cannot be the body of a GET")
            if (classes[rule.klass].idempotency, classes[rule.klass].scope) == (Idempotency.KEYED, Scope.ALL):
                # Refused though it may have run, as every server drops a repeat: but only within the
                # window, and a clinic sends again when it likes.
                raise MappingError(f"{rule.trigger}: class {classes[rule.klass].name} may be refused "
                                   "after it ran")
            if rule.trigger in self.rules:
                raise MappingError(f"{rule.trigger} is mapped twice")
            self.rules[rule.trigger] = rule

    def choose(self, header: Header) -> Rule:
        """The rule of a message; Unreadable with the code of table 0357 where there is none."""
        code = header.component(9, 1).decode("latin-1")
        rule = self.rules.get(header.trigger) or self.rules.get(code)
        if rule is not None:
            return rule
        if any(known.partition("^")[0] == code for known in self.rules):
            raise Unreadable(acks.NO_EVENT, f"no mapping for {header.trigger}", "MSH^1^9^1^2")
        raise Unreadable(acks.NO_TYPE, f"no mapping for {code}", "MSH^1^9^1^1")

    def ask(self, rule: Rule, key: str, message: Message) -> Asked:
        klass = self.classes[rule.klass]
        head = b"POST %s HTTP/1.1\r\nHost: backend.local\r\n" % rule.target
        head += b"X-Request-Id: %s\r\n" % key.encode()
        if klass.idempotency is Idempotency.KEYED:
            head += b"Idempotency-Key: %s\r\n" % key.encode()
        head += b"Content-Type: application/hl7-v2\r\nContent-Length: %d\r\n" % len(message.content)
        return Asked(key, rule.klass, min(rule.deadline, klass.deadline), head, message.content)


def made(header: Header) -> int | None:
    """When a message was made, Unix time in nanoseconds, by MSH-7 (section 2.A.22); None: it does not say.

    Without a zone the time is taken for UTC. Anything from the minute on counts; less says too little.
    """
    text = header.component(7, 1).decode("latin-1")
    sign = max(text.rfind("+"), text.rfind("-"))
    zone = text[sign:] if sign > 0 else ""
    digits = (text[:sign] if zone else text).partition(".")[0]
    if len(digits) not in (12, 14) or not digits.isascii() or not digits.isdigit():
        return None
    offset = UTC
    if zone:
        if len(zone) != 5 or not zone[1:].isdigit():
            return None
        minutes = int(zone[1:3]) * 60 + int(zone[3:])
        if minutes >= 24 * 60:
            return None
        offset = timezone(timedelta(minutes=-minutes if zone[0] == "-" else minutes))
    try:
        when = datetime.strptime(digits.ljust(14, "0"), "%Y%m%d%H%M%S").replace(tzinfo=offset)
    except ValueError:
        return None
    return int(when.timestamp()) * 1_000_000_000
