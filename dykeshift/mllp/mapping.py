"""From a message's trigger to what the balancer knows: class, deadline, key, target. Sans-I/O.

Towards HTTP upstreams a message is the body of a POST, so a mapping names keyed and unsafe classes there; one
that is safe to repeat would have to be a GET without a body. Towards MLLP servers it goes as it is.
"""

from __future__ import annotations

import hashlib
import re
from collections.abc import Collection
from dataclasses import dataclass, replace
from datetime import datetime, timedelta, timezone, UTC

from dykeshift.interface import Idempotency, RequestClass, Scope
from dykeshift.mllp import acks
from dykeshift.mllp.memory import Identity
from dykeshift.mllp.message import Header, Message, MessageError

MEDIA_TYPE = b"application/hl7-v2"
_PATH = re.compile(r"[A-Z][A-Z0-9]{2}-[1-9][0-9]?(\.[1-9][0-9]?)?\Z")
_TRIGGER = re.compile(r"[A-Z0-9]{3}(\^[A-Z0-9]{3})?\Z")
_TARGET = re.compile(r"/[!-~]*\Z")


class MappingError(ValueError):
    """The mapping cannot be used; one line says why."""


@dataclass(frozen=True, slots=True)
class Rule:
    """What the messages of one trigger become. Raises MappingError when a field is unusable."""

    trigger: str  # `SIU^S12`, or `SIU` for all its events
    klass: int
    deadline: int  # nanoseconds
    target: bytes = b"/"  # path of the HTTP request
    key: str = ""  # where the idempotency key stands, as `SCH-1.1`; nothing: it is the message's identity

    def __post_init__(self) -> None:
        if not _TRIGGER.match(self.trigger):
            raise MappingError(f"{self.trigger!r} is no trigger such as SIU^S12 or SIU")
        if self.deadline <= 0:
            raise MappingError(f"{self.trigger}: the deadline is not positive")
        if not _TARGET.match(self.target.decode("latin-1")):
            raise MappingError(f"{self.trigger}: the target is no path such as /hl7/reminder")
        if self.key and not _PATH.match(self.key):
            raise MappingError(f"{self.trigger}: {self.key!r} names no field such as SCH-1 or PID-3.1")


@dataclass(frozen=True, slots=True)
class Asked:
    """A message as the driver takes it (`engine.terms.SubmittedRequest`)."""

    id: str
    klass: int
    client_timeout: int
    head: bytes
    body: bytes
    cost_hint: int = 0
    retry: bool = False
    early: bool = False  # a frame is taken whole, and its answer goes back in one
    streams: bool = False

    def message(self, left: int) -> bytes:
        """The HTTP request, with `left` nanoseconds until its deadline."""
        return b"%sX-Deadline-Ms: %d\r\n\r\n%s" % (self.head, max(1, left // 1_000_000), self.body)


class Mapping:
    """The rules by trigger. A rule names its class by position; its terms are those in force under its name.

    `to_mllp`: the upstreams are MLLP servers.
    """

    def __init__(self, classes: tuple[RequestClass, ...], rules: list[Rule], to_mllp: bool = False) -> None:
        self.classes, self.to_mllp = classes, to_mllp
        self.rules: dict[str, Rule] = {}
        for rule in rules:
            self._check(rule)
            self.rules[rule.trigger] = rule

    def _check(self, rule: Rule) -> None:
        if not 0 <= rule.klass < len(self.classes):
            raise MappingError(f"{rule.trigger}: there is no class {rule.klass}")
        if objection := self._class_objection(self.classes[rule.klass]):
            raise MappingError(f"{rule.trigger}: {objection}")
        if rule.key and self.to_mllp:
            raise MappingError(
                f"{rule.trigger}: MLLP servers know a message by its control id, not by " f"{rule.key}"
            )
        if rule.trigger in self.rules:
            raise MappingError(f"{rule.trigger} is mapped twice")

    def _class_objection(self, klass: RequestClass) -> str:
        """Why messages cannot be of this class; empty if they can."""
        if klass.idempotency is Idempotency.SAFE and not self.to_mllp:
            return f"class {klass.name} is safe to repeat, and a message cannot be the body of a GET"
        if (klass.idempotency, klass.scope) == (Idempotency.KEYED, Scope.ALL):
            # Refused though it may have run, as every server drops a repeat: but only within the
            # window, and a clinic sends again when it likes.
            return f"class {klass.name} may be refused after it ran"
        return ""

    def check_classes(self, classes: Collection[RequestClass]) -> None:
        """Raises MappingError if a rule's class is among these with terms that messages cannot have."""
        by_name = {klass.name: klass for klass in classes}
        for rule in self.rules.values():
            klass = by_name.get(self.classes[rule.klass].name)
            if klass is not None and (objection := self._class_objection(klass)):
                raise MappingError(f"{rule.trigger}: {objection}")

    def follow(self, classes: tuple[RequestClass, ...], retired: Collection[int]) -> None:
        """Use the classes in force from now on, by name; `retired`: the positions that are not in force.

        A class that is no longer in force, or has terms that messages cannot have, keeps its position.
        """
        in_force = {klass.name: n for n, klass in enumerate(classes) if n not in retired}
        for trigger, rule in self.rules.items():
            number = in_force.get(self.classes[rule.klass].name)
            if number is not None and not self._class_objection(classes[number]):
                self.rules[trigger] = replace(rule, klass=number)
        self.classes = classes

    def positions(self) -> set[int]:
        """The positions of the rules' classes."""
        return {rule.klass for rule in self.rules.values()}

    def choose(self, header: Header) -> Rule:
        """The rule of a message; MessageError with the code of table 0357 where there is none."""
        code = header.component(9, 1).decode("latin-1")
        rule = self.rules.get(header.trigger) or self.rules.get(code)
        if rule is not None:
            return rule
        if any(known.partition("^")[0] == code for known in self.rules):
            raise MessageError(acks.NO_EVENT, f"no mapping for {header.trigger}", "MSH^1^9^1^2")
        raise MessageError(acks.NO_TYPE, f"no mapping for {code}", "MSH^1^9^1^1")

    def ask(self, identity: Identity, message: Message) -> Asked:
        """What the driver is asked for; MessageError where the mapping has no place for the message."""
        rule = self.choose(message.header)
        klass = self.classes[rule.klass]
        if self.to_mllp:
            require_certain_answer(message.header)
        rid = identity.key()
        head = b"POST %s HTTP/1.1\r\nHost: backend.local\r\n" % rule.target
        head += b"X-Request-Id: %s\r\n" % rid.encode()
        if klass.idempotency is Idempotency.KEYED:
            head += b"Idempotency-Key: %s\r\n" % self._key(rule, rid, message).encode()
        head += b"Content-Type: %s\r\nContent-Length: %d\r\n" % (MEDIA_TYPE, len(message.content))
        return Asked(rid, rule.klass, min(rule.deadline, klass.deadline), head, message.content)

    @staticmethod
    def _key(rule: Rule, rid: str, message: Message) -> str:
        if not rule.key:
            return rid
        value = message.value(rule.key)
        if not value:
            name, _, field = rule.key.partition("-")
            raise MessageError(
                acks.MISSING, f"{rule.key} is missing", f"{name}^1^{field.replace('.', '^1^')}"
            )
        header = message.header
        text = b"\x00".join((header.raw(3), header.raw(4), rule.key.encode(), value))
        return hashlib.blake2b(text, digest_size=16, person=b"lifttrail-field").hexdigest()


def require_certain_answer(header: Header) -> None:
    """Towards MLLP servers an answer must come that settles the matter (section 2.9.3): the application's,
    or where none is wanted, that of acceptance."""
    if (
        header.enhanced
        and header.raw(16) != b"AL"
        and (header.raw(15), header.raw(16)) not in ((b"AL", b"NE"), (b"AL", b""))
    ):
        raise MessageError(
            103, "MSH-16 is AL, or MSH-15 is AL and MSH-16 is NE: else no answer need come", "MSH^1^16"
        )


def made(header: Header) -> int | None:
    """When a message was made, Unix time in nanoseconds, by MSH-7 (section 2.A.22); None: it does not say.

    Without a zone the time is taken for UTC. Anything from the minute on counts; less says too little.
    """
    text = header.component(7, 1).decode("latin-1")
    sign = max(text.rfind("+"), text.rfind("-"))
    zone = text[sign:] if sign > 0 else ""
    digits, _, fraction = (text[:sign] if zone else text).partition(".")
    if len(digits) not in (12, 14) or not (digits + fraction).isascii() or not (digits + fraction).isdigit():
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
    return int(when.timestamp()) * 1_000_000_000 + int(fraction[:9].ljust(9, "0"))
