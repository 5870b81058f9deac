"""Catch-up of subscribers: missing changes are sent in parts, staged, and applied only when complete.

Theory of operation. The resources of a scope are ordered by the version that last wrote them, then by key. A
change moves a resource to the end of that order. So a *position* in it describes completely what a subscriber
has received: everything up to there, in its current state or as it was when sent; whatever has changed since
comes after the position.

A *part* contains the resources after a position, up to a few kilobytes. The last part reaches the current
version of the store (`target`) and carries the digest of the whole scope. Until then the parts are staged
separately from the version that the subscriber acts on (the *shown* version). A replica keeps no state about
earlier parts, so any replica can continue where another one stopped, and only lost parts are sent again.

Starting from nothing (`fresh`), the order begins at version 0, and tombstones are needed only for deletions
after the staging began (`floor`). Otherwise it begins at the shown version, which is also the floor. If the
store no longer has the tombstones since the floor, staging starts over from nothing.

Invariants:
 1. The staged parts up to a last one, on top of the shown state or of nothing, give the scope at `target`.
 2. A part that does not continue the position, is out of order or outside the scope changes nothing.
 3. Neither side holds more than one part in addition to what is staged.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from typing import Protocol

import msgspec
from msgspec import Struct

from dykeshift.configuration.resources import BodyError, Key, Resource
from dykeshift.configuration.scope import Scope
from dykeshift.configuration.wire import LONGEST_CURSOR

PART_BYTES = 8192  # of the resources in a part; a larger resource is sent in a part of its own
CHECKSUM_BYTES = 8
DIGEST_MASK = (1 << 64) - 1  # the bits of a scope's digest that are sent


class Source(Protocol):
    """The part of `dykeshift.configuration.store.ConfigStore` that a replica reads."""

    @property
    def version(self) -> int:
        """The version of the store."""

    def snapshot_needed(self, version: int) -> bool:
        """Whether changes since a version may have been compacted away."""

    def changes_since(self, version: int, scope: Scope) -> tuple[Resource, ...]:
        """The changes in a scope since a version, including tombstones, in version order."""

    def scoped(self, scope: Scope) -> tuple[Resource, ...]:
        """All live resources of a scope in version order."""

    def digest(self, scope: Scope) -> int:
        """A digest of the live resources of a scope."""


class Position(Struct, frozen=True, array_like=True):
    """How far a subscriber has caught up: up to `version` and, within that version, up to `key` (None: all).

    `floor`: tombstones up to this version are not needed. `fresh`: the staged parts start from nothing and
    replace the shown state instead of changing it.
    """

    floor: int = 0
    version: int = 0
    key: Key | None = None
    fresh: bool = True


NOTHING = Position()


def shown_position(version: int) -> Position:
    """The position of a subscriber that shows a version and has staged nothing."""
    return Position(version, version, None, fresh=False) if version else NOTHING


class Part(Struct, frozen=True, array_like=True):
    """The resources after `start`. `after`: the position at the end; None: the last part, up to `target`."""

    start: Position
    after: Position | None
    target: int
    digest: int
    resources: tuple[Resource, ...]


class PartError(Exception):
    """A part is malformed or does not continue the staged ones; the text says why."""


_encoder = msgspec.msgpack.Encoder()
_part_decoder = msgspec.msgpack.Decoder(Part)
_position_decoder = msgspec.msgpack.Decoder(Position)


def _checksum(data: bytes) -> bytes:
    return hashlib.blake2s(data, digest_size=CHECKSUM_BYTES).digest()


def pack_part(part: Part) -> bytes:
    """Encode a part, followed by a checksum."""
    data = _encoder.encode(part)
    return data + _checksum(data)


def unpack_part(data: bytes) -> Part:
    """Decode a part; raises PartError if it is malformed."""
    body, checksum = data[:-CHECKSUM_BYTES], data[-CHECKSUM_BYTES:]
    if _checksum(body) != checksum:
        raise PartError("checksum mismatch")
    try:
        return _part_decoder.decode(body)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise PartError(f"malformed part: {error}") from None


def pack_position(position: Position) -> bytes:
    """Encode a position; if its key is too long for a datagram, the position before its version."""
    data = _encoder.encode(position)
    # Without the key, the whole version is sent again.
    if len(data) <= LONGEST_CURSOR:
        return data
    return _encoder.encode(Position(position.floor, position.version - 1, None, position.fresh))


def unpack_position(data: bytes) -> Position:
    """Decode a position; malformed bytes give the position of a subscriber that has nothing."""
    try:
        return _position_decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return NOTHING


def _order(resource: Resource) -> tuple[int, Key]:
    return resource.version, resource.key


def _comes_after(resource: Resource, position: Position) -> bool:
    """Whether a resource comes after a position."""
    if resource.version != position.version:
        return resource.version > position.version
    return position.key is not None and resource.key > position.key


def remaining(source: Source, scope: Scope, position: Position) -> list[Resource]:
    """All resources after a position, in order; the store must still have the tombstones since the floor."""
    first = position.version - 1 if position.key is not None else position.version
    found: Iterable[Resource]
    if position.version and not source.snapshot_needed(first):
        found = source.changes_since(first, scope)
    else:
        tombstones = (r for r in source.changes_since(position.floor, scope) if not r.live)
        found = sorted([*source.scoped(scope), *tombstones], key=_order)
    return [r for r in found if _comes_after(r, position) and (r.live or r.version > position.floor)]


def start_of(source: Source, position: Position) -> Position:
    """The position to continue from: the given one, or the beginning if the store cannot continue it."""
    if position.version == 0 or position.version > source.version or source.snapshot_needed(position.floor):
        # Starting from nothing needs tombstones only for deletions after the present version.
        return Position(floor=source.version)
    return position


def build_part(source: Source, scope: Scope, position: Position, max_bytes: int = PART_BYTES) -> Part:
    """Build the part that follows a position."""
    start = start_of(source, position)
    left = remaining(source, scope, start)
    count, size = 0, 0
    for resource in left:
        size += len(_encoder.encode(resource))
        if count and size > max_bytes:
            break
        count += 1
    if count == len(left):
        return Part(start, None, source.version, source.digest(scope) & DIGEST_MASK, tuple(left))
    last = left[count - 1]
    after = Position(start.floor, last.version, last.key, start.fresh)
    # Only the last part carries the digest of the scope.
    return Part(start, after, source.version, 0, tuple(left[:count]))


class Staging:
    """The parts that a subscriber has received but does not act on yet."""

    def __init__(self, scope: Scope, shown: int, max_bytes: int) -> None:
        """`max_bytes`: limit for all staged resources."""
        self.scope = scope
        self.max_bytes = max_bytes
        self.reset(shown)

    def reset(self, shown: int) -> None:
        """Drop everything staged; `shown` is the version that the subscriber acts on."""
        self.position = shown_position(shown)
        self.resources: dict[Key, Resource] = {}
        self.size = 0

    def take(self, part: Part) -> bool:
        """Stage a part; returns whether it was the last. Raises PartError, changing nothing, if invalid."""
        restarts = part.start.fresh and part.start.version == 0
        part = self._without_shown(part)
        if part.start != self.position and not restarts:
            raise PartError("part does not continue the staged position")
        self._check(part, restarts)
        if restarts:
            self.reset(0)
        for resource in part.resources:
            self.resources[resource.key] = resource
        self.size += sum(_footprint(resource) for resource in part.resources)
        self.position = part.after if part.after is not None else self.position
        # A restart that is complete in one part keeps the floor of its start; `reset` has set it to 0.
        if restarts and part.after is None:
            self.position = part.start
        return part.after is None

    def _without_shown(self, part: Part) -> Part:
        """Drop resources that are already shown from a part that was built for an earlier shown version."""
        shown, start = self.position.version, part.start
        # Only if nothing is staged and the part starts at a shown version, not in the middle of a catch-up.
        if self.position != shown_position(shown) or start != shown_position(start.version):
            return part
        if start.fresh or not start.version < shown <= part.target:
            return part
        newer = tuple(resource for resource in part.resources if resource.version > shown)
        return Part(self.position, part.after, part.target, part.digest, newer)

    def _check(self, part: Part, restarts: bool) -> None:
        previous = part.start
        for resource in part.resources:
            if not _comes_after(resource, previous) or resource.version > part.target:
                raise PartError(f"{resource.key} is out of order")
            if not self._in_scope(resource):
                raise PartError(f"{resource.key} is outside the scope")
            previous = Position(previous.floor, resource.version, resource.key, previous.fresh)
        if part.after is not None and (not part.resources or part.after != previous):
            raise PartError("part does not end at the position that it states")
        staged = 0 if restarts else self.size
        if staged + sum(_footprint(r) for r in part.resources) > self.max_bytes:
            raise PartError(f"staging limit of {self.max_bytes} bytes exceeded")

    def _in_scope(self, resource: Resource) -> bool:
        try:
            return not resource.live or self.scope.matches(resource)
        except BodyError:
            return False


def _footprint(resource: Resource) -> int:
    """Estimated memory of a resource: its name and bodies, plus a flat 200 bytes for the Python objects."""
    joint = resource.joint.body if resource.joint is not None else None
    return 200 + len(resource.key.name) + len(resource.body or b"") + len(joint or b"")
