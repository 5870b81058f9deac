"""Headers and fields as HL7 v2.5.1 words them, any bytes, and acknowledgements that echo exactly."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dykeshift.mllp import acks
from dykeshift.mllp.acks import Code, Problem
from dykeshift.mllp.message import MessageError, Separators, escape, read, unescape

SIU = (
    b"MSH|^~\\&|CLINIC|DORNOD|LIFTTRAIL|CHOIBALSAN|20261201093000||SIU^S12^SIU_S12|MSG00001|P|2.5.1"
    b"|||AL|NE||UNICODE UTF-8\r"
    b"SCH|10345^10345|2196178^2196178|||10345|OFFICE^Office visit|reason\\T\\more\\X41\\|OFFICE|60|m\r"
    b"PID|1||42^^^MRN~43||B\xd0\xb0\xd1\x82^Ganbold\\S\\x\r"
)


def header(**fields: bytes) -> bytes:
    values = {"3": b"A", "4": b"B", "5": b"C", "6": b"D", "9": b"SIU^S12", "10": b"1", "12": b"2.5.1"}
    values |= {name[1:]: value for name, value in fields.items()}
    return b"|".join([b"MSH", b"^~\\&", *(values.get(str(n), b"") for n in range(3, 19))]) + b"\r"


def test_what_routing_needs_is_read() -> None:
    message = read(SIU)
    assert message.header.trigger == "SIU^S12" and message.header.control_id == b"MSG00001"
    assert message.header.raw(18) == b"UNICODE UTF-8" and message.header.enhanced
    assert message.value("SCH-1.1") == b"10345" and message.value("SCH-7") == b"reason&moreA"
    assert message.value("PID-3.1") == b"42" and message.value("PID-5.2") == b"Ganbold^x"
    assert message.value("PID-5.1") == b"B\xd0\xb0\xd1\x82"
    assert message.value("ARQ-1") == b"" == message.value("PID-77") == message.value("PID-5.9")


def test_a_message_with_separators_of_its_own_is_read_by_them() -> None:
    message = read(b"MSH#*!?%#A#B#C#D###ORM*O01#id-9#P#2.3\rPID#1##7*x!8\r")
    assert message.header.trigger == "ORM^O01" and message.value("PID-3.1") == b"7"
    assert unescape(b"a?S?b", message.header.separators) == b"a*b"


@pytest.mark.parametrize(
    ("content", "code"),
    [
        (b"", 100),
        (b"PID|1\r", 100),
        (b"MSH", 102),
        (b"MSH|\r", 102),
        (b"MSH|^~\r", 102),
        (b"MSH|^^\\&|A\r", 102),
        (b"MSHA^~\\&A\r", 102),
        (b"MSH\x01^~\\&\x01A\r", 102),
        (b"MSH|||||||\r", 102),
        (b"MSH|^~\\&|" + b"x" * 5000, 102),
        (header(f9=b""), 101),
        (header(f10=b""), 101),
        (header(f10=b"9" * 200), 102),
        (b"\x00" * 50, 100),
    ],
)
def test_what_cannot_be_routed_is_told_with_its_code(content: bytes, code: int) -> None:
    with pytest.raises(MessageError) as caught:
        read(content)
    assert caught.value.code == code and caught.value.text


@given(st.binary(max_size=300))
def test_any_bytes_are_read_or_unreadable(content: bytes) -> None:
    for data in (content, b"MSH" + content, b"MSH|^~\\&|" + content, header() + content):
        try:
            message = read(data)
        except MessageError:
            continue
        for path in ("SCH-1.1", "PID-3", "MSH-9.2"):
            message.value(path)


@given(st.binary(max_size=80))
def test_what_is_escaped_comes_back(text: bytes) -> None:
    signs = Separators()
    put = escape(text, signs)
    assert not set(put) & set(b"|^~&\r\n") and unescape(put, signs) == text


@given(st.binary(min_size=1, max_size=30).filter(lambda b: not set(b) & set(b"|\r\n")))
def test_an_acknowledgement_echoes_the_control_id_byte_for_byte(control: bytes) -> None:
    message = read(header(f10=control))
    ack = acks.parse(acks.build(message.header, Code.AA, "L1", "20261201093001"))
    assert (ack.code, ack.control_id) == (Code.AA, control)


def test_an_acknowledgement_names_the_problem_and_swaps_the_parties() -> None:
    message = read(SIU)
    problem = Problem(acks.NO_EVENT, "no|mapping", "MSH^1^9")
    got = acks.build(message.header, Code.AR, "L7", "20261201093001", problem)
    lines = got.split(b"\r")
    assert lines[0] == (
        b"MSH|^~\\&|LIFTTRAIL|CHOIBALSAN|CLINIC|DORNOD|20261201093001||ACK^S12^ACK|L7|P|2.5.1"
        b"||||||UNICODE UTF-8"
    )
    assert lines[1] == b"MSA|AR|MSG00001"
    assert lines[2] == b"ERR||MSH^1^9|201^Unsupported event code^HL70357|E||||no\\F\\mapping"
    assert read(got).header.trigger == "ACK^S12" and acks.is_ack(got) and not acks.is_ack(SIU)


def test_what_cannot_be_read_is_answered_all_the_same() -> None:
    problem = Problem(acks.SEQUENCE, "the first segment is not MSH")
    got = acks.build(None, Code.AR, "L8", "20261201093001", problem)
    assert acks.parse(got).control_id == b"" and b"|ACK|L8|P|2.5.1\r" in got


@pytest.mark.parametrize(
    ("accept", "application", "given"),
    [
        (b"", b"", {"AA", "AE", "AR"}),
        (b"AL", b"NE", {"CA", "CE", "CR"}),
        (b"AL", b"AL", {c.value for c in Code}),
        (b"ER", b"SU", {"CE", "CR", "AA"}),
        (b"NE", b"NE", set()),
        (b"", b"AL", {"AA", "AE", "AR"}),
    ],
)
def test_who_is_acknowledged_when(accept: bytes, application: bytes, given: set[str]) -> None:
    one = read(header(f15=accept, f16=application)).header
    assert {code.value for code in Code if acks.wanted(one, code)} == given


@pytest.mark.parametrize("content", [SIU, header() + b"MSA|AA\r", header() + b"MSA|ZZ|1\r", b"MSA|AA|1\r"])
def test_what_is_no_acknowledgement_is_told(content: bytes) -> None:
    with pytest.raises(MessageError):
        acks.parse(content)
