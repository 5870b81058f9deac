"""Frames come out whole, once and in order, whatever the split; what is wrong is told and costs no memory."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dykeshift.mllp.framing import MOST_NOISE, Broken, Deframer, Flaw, Frame, frame

CONTENT = st.binary(max_size=60).map(lambda b: b.replace(b"\x0b", b"").replace(b"\x1c", b""))


def fed(data: bytes, size: int = 1 << 20, max_frame: int = 100) -> list[Frame | Broken]:
    deframer, out = Deframer(max_frame), list[Frame | Broken]()
    for at in range(0, len(data), size):
        out += deframer.feed(0, data[at : at + size])
    return out


@given(st.lists(CONTENT, max_size=6), st.integers(1, 20), st.sampled_from([b"", b"\r", b"\n", b"\r\n"]))
def test_frames_survive_any_split(contents: list[bytes], size: int, between: bytes) -> None:
    stream = b"".join(frame(content) + between for content in contents)
    assert fed(stream, size) == [Frame(content) for content in contents]


@given(st.binary(max_size=400), st.integers(1, 30))
def test_any_bytes_give_the_same_whatever_the_split_and_raise_nothing(data: bytes, size: int) -> None:
    assert fed(data, size) == fed(data)


@given(
    st.lists(st.sampled_from([b"\x0b", b"\x1c", b"\r", b"\n", b"a", b"\x00", b"x" * 40]), max_size=60),
    st.integers(1, 5),
)
def test_the_same_with_bytes_that_matter(pieces: list[bytes], size: int) -> None:
    data = b"".join(pieces)
    assert fed(data, size) == fed(data)


@pytest.mark.parametrize(
    ("data", "said"),
    [
        (b"\x0bhalf\x0bwhole\x1c\r", [Broken(Flaw.START_INSIDE), Frame(b"whole")]),
        (b"\x0bone\x1cx\x0btwo\x1c\r", [Broken(Flaw.BAD_END), Broken(Flaw.NOISE), Frame(b"two")]),
        (b"\x0bone\x1c\x0btwo\x1c\r", [Broken(Flaw.BAD_END), Frame(b"two")]),
        (b"\x0bone\x1c\ntwo", [Broken(Flaw.BAD_END), Broken(Flaw.NOISE)]),
        (b"GET / HTTP/1.1\r\n\r\n", [Broken(Flaw.NOISE)]),
        (b"\x0b" + b"x" * 101 + b"\x1c\r\x0bnext\x1c\r", [Broken(Flaw.TOO_LONG), Frame(b"next")]),
        (b"\x0b" + b"x" * 101 + b"\x0bnext\x1c\r", [Broken(Flaw.TOO_LONG), Frame(b"next")]),
        (b"\x0b\x1c\r", [Frame(b"")]),
        (b"\x0ba\x00b\rc\nd\x1c\r", [Frame(b"a\x00b\rc\nd")]),
        (b"\r\n\x1c\r", [Broken(Flaw.NOISE)]),
    ],
)
def test_what_stands_out_of_place_is_told(data: bytes, said: list[Frame | Broken]) -> None:
    for size in (1, 2, 3, 1000):
        assert fed(data, size) == said


def test_a_frame_without_end_of_60_mb_is_told_once_and_not_kept() -> None:
    deframer, out = Deframer(1 << 20), list[Frame | Broken]()
    out += deframer.feed(0, b"\x0b")
    for _ in range(60):
        out += deframer.feed(0, b"x" * (1 << 20))
        assert len(deframer._content) <= 1 << 20
    assert out == [Broken(Flaw.TOO_LONG)] and deframer.unfinished()


def test_noise_without_end_is_no_mllp() -> None:
    assert fed(b"?" * MOST_NOISE * 2) == [Broken(Flaw.NOISE), Broken(Flaw.NO_MLLP)]


def test_a_block_that_trickles_in_is_late() -> None:
    deframer = Deframer()
    deframer.feed(100, b"\r\n")
    assert not deframer.late(10_000, 50) and not deframer.unfinished()
    deframer.feed(200, b"\x0ba")
    deframer.feed(240, b"b")
    assert not deframer.late(250, 50) and deframer.late(251, 50)
    assert deframer.feed(260, b"\x1c\r") == [Frame(b"ab", began=200)]
    assert not deframer.late(10_000, 50)


def test_content_that_would_end_its_block_is_not_framed() -> None:
    for content in (b"a\x0bb", b"a\x1cb"):
        with pytest.raises(ValueError, match="block character"):
            frame(content)
