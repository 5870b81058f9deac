"""Any bytes decode to a message or raise DatagramError; encoding round-trips; unknown fields are skipped."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dykeshift.view.wire import (
    BUCKETS,
    HEADER,
    MAX_DATAGRAM,
    REASONS,
    SEAL_SIZE,
    DatagramError,
    Entry,
    Kind,
    Message,
)
from dykeshift.view.wire import Seal, State, decode, encode

OURS = Seal("fleet", b"key")
NAMES = st.text(min_size=1, max_size=16)
ENTRIES = st.builds(
    Entry,
    NAMES,
    st.integers(0, 2**64 - 1),
    st.integers(1, 2**32 - 1),
    st.sampled_from(State),
    st.integers(0, 65535),
    st.integers(0, 65535),
    st.integers(0, 255),
    st.integers(0, 2**32 - 1),
    st.integers(0, 65535),
)
MESSAGES = st.builds(
    Message,
    st.sampled_from(Kind),
    NAMES,
    st.integers(1, 2**32 - 1),
    st.integers(0, 2**64 - 1),
    st.integers(0, 2**32 - 1),
    st.integers(0, 2**64 - 1),
    st.integers(0, 255),
    st.integers(0, 2**32 - 1),
    st.integers(0, 2**32 - 1),
    st.just("") | NAMES,
    st.just((0, 0)),
    st.just(()) | st.lists(st.integers(0, 2**32 - 1), min_size=BUCKETS, max_size=BUCKETS).map(tuple),
    st.lists(ENTRIES, max_size=1),
)


@given(MESSAGES)
def test_what_is_written_is_read(message: Message) -> None:
    data = encode(message, OURS)
    assert len(data) <= MAX_DATAGRAM
    read = decode(data, OURS)
    assert message.entries[: len(read.entries)] == read.entries
    message.entries = read.entries  # those that had room
    assert read == message


@given(st.binary(max_size=300), st.booleans())
def test_any_bytes_end_in_a_message_or_in_one_of_the_reasons(data: bytes, sealed: bool) -> None:
    if sealed and len(data) > 4:  # past the seal: the fields themselves are at fault
        data = bytes((1, data[1])) + OURS.tag.to_bytes(2, "big") + data[4 : MAX_DATAGRAM - SEAL_SIZE]
        data += OURS.mac(data)
    try:
        decode(data, OURS)
    except DatagramError as exc:
        assert str(exc) in REASONS


def test_each_reason_to_drop_a_datagram() -> None:
    data = encode(Message(Kind.PING, "n1", 1, 2, 3, 4), OURS)

    def sealed(body: bytes) -> bytes:
        return body + OURS.mac(body)

    cases = {
        "size": data[:20],
        "version": b"\x02" + data[1:],
        "fleet": encode(Message(Kind.PING, "n1", 1, 2, 3, 4), Seal("other", b"key")),
        "seal": data[:-1] + b"\x00",
        "form": sealed(bytes((1, 99)) + data[2:-SEAL_SIZE]),
    }
    for reason, bad in cases.items():
        with pytest.raises(DatagramError, match=reason):
            decode(bad, OURS)
    with pytest.raises(DatagramError, match="seal"):
        decode(data, Seal("fleet", b"another key"))


def test_fields_of_a_later_version_are_skipped() -> None:
    data = encode(Message(Kind.ACK, "n1", 1, 2, 3, 4, echo=7, entries=[Entry("n2", 5, 6)]), OURS)[:-SEAL_SIZE]
    at = HEADER.size + 2
    longer = bytearray(data)
    entry = longer.index(b"n2") + 2
    longer[entry:entry] = b"more"
    longer[longer.index(bytes((4,)), at + 6) + 1] += 4  # the new length of the entry's field
    body = bytes(longer[:at]) + b"\xee\x03new" + bytes(longer[at:])
    read = decode(body + OURS.mac(body), OURS)
    assert read.echo == 7 and read.entries == [Entry("n2", 5, 6)]
