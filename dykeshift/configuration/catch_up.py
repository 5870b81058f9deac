"""How a subscriber gets what it lacks: parts in the order of versions, staged, and shown only when whole.

Theory of operation. A scope's resources have an order: by the version that wrote them, then by key. Whatever
changes moves to the end of that order. So a *position* in it says all about what a subscriber has: everything
up to there, as it is in the store now or was when it was sent; what has changed since stands behind it.

A *part* is what follows a position, up to a few kilobytes. The last one leads up to the store's version of
that moment (`target`) and carries the digest of the whole scope. Until then the parts are staged beside what
the subscriber acts on. A replica needs no memory of earlier parts, so any replica goes on where another
stopped, and a part that was lost on the way is the only thing that is sent twice.

From nothing (`fresh`) the order begins at version 0; tombstones are needed only of what was deleted since
the staging began (`floor`). Otherwise it begins at the version that the subscriber shows, which is the floor
too. Where the store has forgotten tombstones from before the floor, the staging begins anew from nothing.

Promises:
 1. Staged parts up to a last one, on top of what was shown (or of nothing), are the scope at `target`.
 2. A part that does not continue the position, is out of order or outside the scope changes nothing.
 3. Neither side holds more than a part beyond what is staged.
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

PART_BYTES = 8192  # of a part's resources; a single larger one goes alone
CHECKSUM_BYTES = 8
DIGEST_MASK = (1 << 64) - 1  # of a scope's digest, the part that is sent


class Source(Protocol):
    """What a replica reads: the store, as `dykeshift.configuration.store.ConfigStore` has it."""

    @property
    def version(self) -> int:
        """Of the last change."""

    def snapshot_needed(self, version: int) -> bool:
        """Whether the changes since a version are not known any more."""

    def changes_since(self, version: int, scope: Scope) -> tuple[Resource, ...]:
        """In the order of versions, tombstones too."""

    def scoped(self, scope: Scope) -> tuple[Resource, ...]:
        """All live resources of a scope in the order of versions."""

    def digest(self, scope: Scope) -> int:
        """A number that tells what a scope holds."""


class Position(Struct, frozen=True, array_like=True):
    """How far a subscriber has come: everything up to `version`, of that version up to `key` (None: all).

    `floor`: tombstones up to this version are not needed. `fresh`: what is staged stands alone, it does not
    build on what is shown.
    """

    floor: int = 0
    version: int = 0
    key: Key | None = None
    fresh: bool = True


NOTHING = Position()


def shown_position(version: int) -> Position:
    """The position of who shows a version and has staged nothing."""
    return Position(version, version, None, fresh=False) if version else NOTHING


class Part(Struct, frozen=True, array_like=True):
    """What follows `start`. `after`: the position behind it; None: this is the last part up to `target`."""

    start: Position
    after: Position | None
    target: int
    digest: int
    resources: tuple[Resource, ...]


class PartError(Exception):
    """Bytes that are no part, or a part that does not continue what is staged; its text says why."""


_encoder = msgspec.msgpack.Encoder()
_part_decoder = msgspec.msgpack.Decoder(Part)
_position_decoder = msgspec.msgpack.Decoder(Position)


def _checksum(data: bytes) -> bytes:
    return hashlib.blake2s(data, digest_size=CHECKSUM_BYTES).digest()


def pack_part(part: Part) -> bytes:
    """The bytes of a part, with a checksum over all of it."""
    data = _encoder.encode(part)
    return data + _checksum(data)


def unpack_part(data: bytes) -> Part:
    """PartError where the bytes are none."""
    body, checksum = data[:-CHECKSUM_BYTES], data[-CHECKSUM_BYTES:]
    if _checksum(body) != checksum:
        raise PartError("its checksum is another")
    try:
        return _part_decoder.decode(body)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise PartError(f"no part: {error}") from None


def pack_position(position: Position) -> bytes:
    """The bytes of a position; where its key is too long for a datagram, of the one before its version."""
    data = _encoder.encode(position)
    if len(data) <= LONGEST_CURSOR:
        return data
    return _encoder.encode(Position(position.floor, position.version - 1, None, position.fresh))


def unpack_position(data: bytes) -> Position:
    """The position; what is none is that of who has nothing."""
    try:
        return _position_decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return NOTHING


def _order(resource: Resource) -> tuple[int, Key]:
    return resource.version, resource.key


def _is_behind(resource: Resource, position: Position) -> bool:
    """Whether the resource follows the position."""
    if resource.version != position.version:
        return resource.version > position.version
    return position.key is not None and resource.key > position.key


def remaining(source: Source, scope: Scope, position: Position) -> list[Resource]:
    """All that follows a position whose floor the store remembers, in order."""
    first = position.version - 1 if position.key is not None else position.version
    found: Iterable[Resource]
    if position.version and not source.snapshot_needed(first):
        found = source.changes_since(first, scope)
    else:
        tombstones = (r for r in source.changes_since(position.floor, scope) if not r.live)
        found = sorted([*source.scoped(scope), *tombstones], key=_order)
    return [r for r in found if _is_behind(r, position) and (r.live or r.version > position.floor)]


def start_of(source: Source, position: Position) -> Position:
    """Where to go on from: the position itself, or nothing where the store can't continue it."""
    if position.version == 0 or position.version > source.version or source.snapshot_needed(position.floor):
        return Position(floor=source.version)
    return position


def build_part(source: Source, scope: Scope, position: Position, most_bytes: int = PART_BYTES) -> Part:
    """The part that follows a position."""
    start = start_of(source, position)
    left = remaining(source, scope, start)
    count, size = 0, 0
    for resource in left:
        size += len(_encoder.encode(resource))
        if count and size > most_bytes:
            break
        count += 1
    if count == len(left):
        return Part(start, None, source.version, source.digest(scope) & DIGEST_MASK, tuple(left))
    last = left[count - 1]
    after = Position(start.floor, last.version, last.key, start.fresh)
    return Part(start, after, source.version, 0, tuple(left[:count]))


class Staging:
    """The parts that a subscriber has taken beside what it shows."""

    def __init__(self, scope: Scope, shown: int, most_bytes: int) -> None:
        """`most_bytes`: of all that may be staged."""
        self.scope = scope
        self.most_bytes = most_bytes
        self.reset(shown)

    def reset(self, shown: int) -> None:
        """Nothing is staged on top of what is shown."""
        self.position = shown_position(shown)
        self.resources: dict[Key, Resource] = {}
        self.size = 0

    def take(self, part: Part) -> bool:
        """Stage a part; whether it was the last one. PartError where it does not fit; it changes nothing."""
        restarts = part.start.fresh and part.start.version == 0
        part = self._without_known(part)
        if part.start != self.position and not restarts:
            raise PartError("it does not continue what is staged")
        self._check(part, restarts)
        if restarts:
            self.reset(0)
        for resource in part.resources:
            self.resources[resource.key] = resource
        self.size += sum(_footprint(resource) for resource in part.resources)
        self.position = part.after if part.after is not None else self.position
        if restarts and part.after is None:
            self.position = part.start
        return part.after is None

    def _without_known(self, part: Part) -> Part:
        """A part from an earlier shown version on: without what the one that is shown now has already."""
        shown, start = self.position.version, part.start
        if self.position != shown_position(shown) or start != shown_position(start.version):
            return part
        if start.fresh or not start.version < shown <= part.target:
            return part
        newer = tuple(resource for resource in part.resources if resource.version > shown)
        return Part(self.position, part.after, part.target, part.digest, newer)

    def _check(self, part: Part, restarts: bool) -> None:
        previous = part.start
        for resource in part.resources:
            if not _is_behind(resource, previous) or resource.version > part.target:
                raise PartError(f"{resource.key} is out of order")
            if not self._belongs(resource):
                raise PartError(f"{resource.key} is outside the scope")
            previous = Position(previous.floor, resource.version, resource.key, previous.fresh)
        if part.after is not None and (not part.resources or part.after != previous):
            raise PartError("it does not end where it says")
        staged = 0 if restarts else self.size
        if staged + sum(_footprint(r) for r in part.resources) > self.most_bytes:
            raise PartError(f"more than {self.most_bytes} bytes would be staged")

    def _belongs(self, resource: Resource) -> bool:
        try:
            return not resource.live or self.scope.matches(resource)
        except BodyError:
            return False


def _footprint(resource: Resource) -> int:
    """Bytes that a resource counts for: its texts and what Python's objects need beside them."""
    joint = resource.joint.body if resource.joint is not None else None
    return 200 + len(resource.key.name) + len(resource.body or b"") + len(joint or b"")
