"""Encoding and decoding of the datagrams between subscribers and replicas."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dykeshift.agree import wire as agree_wire
from dykeshift.configuration import wire
from dykeshift.versions import wire as versions_wire
from dykeshift.view.wire import MAX_DATAGRAM, REASONS, VERSION, DatagramError, Seal

SEAL = Seal("fleet", b"key")
U64, U32, U16 = 2**64 - 1, 2**32 - 1, 2**16 - 1
MESSAGES: list[wire.Message] = [
    wire.Hello(U64, U64, U32, U64, U64, U64, U32, "n" * 64, bytes(wire.LONGEST_CURSOR)),
    wire.Hello(1, 2, 3, 4, 5, 6, 7, "balancer-1"),
    wire.Welcome(U64, U64, U64, U64, U32),
    wire.Wait(1, 2, 3, U32, wire.WaitReason.LAGGING),
    wire.ScopePiece(9, 8, b"scope"),
    wire.Data(U64, U32, U16, U16, bytes(wire.CHUNK)),
    wire.Ack(1, 2, 3, U32, U64),
    wire.Renew(1, U32, U64),
    wire.Grant(1, 2, U64, U64, U32, U64),
    wire.Bye(1, wire.ByeReason.AUDIT),
    wire.Audit(1, b"a few services"),
    wire.Audited(U64, U64, U64, U64, wire.NO_AGE),
    wire.Gone(U64),
    wire.Fence(U16, U64, U64),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda message: type(message).__name__)
def test_every_message_round_trips_and_fits_a_datagram(message: wire.Message) -> None:
    data = wire.encode(message, SEAL)
    assert len(data) <= MAX_DATAGRAM
    assert wire.is_ours(data)
    assert wire.decode(data, SEAL) == message


def test_every_kind_is_covered() -> None:
    kinds = {wire.encode(message, SEAL)[1] for message in MESSAGES}
    assert kinds == set(wire.Kind)


def test_kinds_do_not_overlap_with_other_protocols() -> None:
    others = {*agree_wire.Kind, *versions_wire.Kind}
    assert not others & set(wire.Kind)
    assert all(wire.FIRST_KIND <= kind <= wire.LAST_KIND for kind in wire.Kind)


def test_oversized_messages_are_not_encoded() -> None:
    with pytest.raises(ValueError):
        wire.encode(wire.Data(1, 2, 3, 4, bytes(wire.CHUNK + 1)), SEAL)
    with pytest.raises(ValueError):
        wire.encode(wire.Hello(1, 2, 3, 4, 5, 6, 7, "n" * 65), SEAL)


@given(st.binary(max_size=300))
def test_arbitrary_bytes_are_rejected(data: bytes) -> None:
    with pytest.raises(DatagramError) as error:
        wire.decode(data, SEAL)
    assert error.value.args[0] in REASONS


@given(st.sampled_from(MESSAGES), st.integers(0, 255), st.integers(1, 255))
def test_changed_byte_is_detected(message: wire.Message, place: int, change: int) -> None:
    data = bytearray(wire.encode(message, SEAL))
    data[place % len(data)] ^= change
    with pytest.raises(DatagramError):
        wire.decode(bytes(data), SEAL)


@given(st.integers(0, 255), st.binary(max_size=236))
def test_sealed_arbitrary_bytes_decode_or_raise_bad(kind: int, body: bytes) -> None:
    head = wire.HEAD.pack(VERSION, kind, SEAL.tag, 7)
    data = head + body
    try:
        message = wire.decode(data + SEAL.mac(data), SEAL)
    except DatagramError as error:
        assert error.args[0] in REASONS
    else:
        assert type(message).__name__ in {type(one).__name__ for one in MESSAGES}


def test_datagrams_of_another_fleet_are_rejected() -> None:
    for message in MESSAGES:
        with pytest.raises(DatagramError):
            wire.decode(wire.encode(message, Seal("other")), SEAL)
