"""Towards MLLP servers: what each answer proves, and which connections are trusted again. On loopback."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dykeshift.mllp.acks import Code
from dykeshift.mllp.carrier import Dialogue
from dykeshift.mllp.framing import frame
from dykeshift.mllp.message import MessageError
from dykeshift.standins import hl7
from tests.mllp.test_front import message, place
from tests.node.messages import Message, request
from tests.node.stubs import Stub, run, wait_until


def ack(code: str, content: bytes, other: str = "") -> bytes:
    return hl7.block(hl7.ack(code, other or hl7.read_note(content).control_id, "own"))


class Says:
    """Answers each message with these codes; `@` is another control id, `!` a reset, `.` nothing."""

    def __init__(self, *codes: str) -> None:
        self.codes = codes

    async def __call__(self, stub: Stub, got: Message, writer: asyncio.StreamWriter) -> None:
        for code in self.codes:
            if code == "!":
                writer.transport.abort()
            elif code == "@":
                writer.write(ack("AA", got.body, "another"))
            elif code != ".":
                writer.write(ack(code, got.body))


@pytest.mark.parametrize(
    ("codes", "heard", "sent"),
    [(("AA",), "AA", 1), (("AE",), "AE", 1), (("@",), "AE", 1), (("!",), "AE", 1), (("CA",), "AE", 1)],
)
def test_what_an_answer_proves_and_that_what_may_have_run_goes_once(
    codes: tuple[str, ...], heard: str, sent: int
) -> None:
    async def main() -> None:
        async with place(Says(*codes), mllp=True) as here:
            clinic = await here.clinic()
            assert [await clinic.say(message()) for _ in range(2)] == [heard] * 2
            assert len(here.stub.seen) == sent and here.stub.seen[0].body == message()

    run(main())


def test_a_rejection_proves_that_it_was_not_done_so_it_may_come_again() -> None:
    async def main() -> None:
        async with place(Says("AR"), mllp=True) as here:
            clinic = await here.clinic()
            assert await clinic.say(message()) == "AR"
            here.stub.handler = Says("AA")
            while await clinic.say(message()) != "AA":
                pass
            assert len(here.stub.seen) >= 2

    run(main())


def test_an_accept_acknowledgement_without_the_other_is_no_answer_and_is_not_repeated() -> None:
    async def main() -> None:
        async with place(Says("CA"), mllp=True) as here:
            rule = here.front.mapping.rules["ORM"]
            here.front.mapping.rules["ORM"] = type(rule)("ORM", rule.klass, 200_000_000)
            clinic = await here.clinic()
            clinic.writer.write(frame(message(accept="AL", application="AL")))
            assert [a.code.value for a in await clinic.hear(2)] == ["CA", "AE"]
            clinic.writer.write(frame(message(accept="AL", application="AL")))
            assert [a.code.value for a in await clinic.hear(2)] == ["CA", "AE"]
            assert len(here.stub.seen) == 1

    run(main())


def test_where_only_acceptance_is_wanted_it_is_the_answer_and_where_none_is_the_message_is_rejected() -> None:
    async def main() -> None:
        async with place(Says("CA"), mllp=True) as here:
            clinic = await here.clinic()
            clinic.writer.write(frame(message(accept="AL", application="NE")))
            assert (await clinic.hear())[0].code is Code.CA
            for accept, application in (("ER", "ER"), ("AL", "SU")):
                clinic.writer.write(frame(message(f"n{accept}", accept=accept, application=application)))
            assert [a.code.value for a in await clinic.hear(2)] == ["CR", "CR"]
            assert len(here.stub.seen) == 1

    run(main())


def test_the_answer_of_a_server_reaches_the_clinic_as_it_came() -> None:
    async def main() -> None:
        async with place(Says("AA"), mllp=True) as here:
            clinic = await here.clinic()
            clinic.writer.write(frame(message()))
            data = await clinic.reader.readuntil(b"\x1c\r")
            assert data == ack("AA", message())

    run(main())


def test_a_connection_that_answered_out_of_step_is_not_trusted_again() -> None:
    async def main() -> None:
        async with place(Says("AA", "AA"), mllp=True) as here:
            clinic = await here.clinic()
            assert await clinic.say(message("m1")) == "AA"
            here.stub.handler = Says(".", "AA")
            assert await clinic.say(message("m2")) == "AA"
            assert len(here.stub.writers) == 2

    run(main())


def test_http_clients_before_mllp_servers() -> None:
    async def main() -> None:
        async with place(Says("AA"), mllp=True) as here:
            got = await here.node.ask(request(body=message("h1")))
            assert got.start.split()[1] == "200" and hl7.read_ack(got.body) == ("AA", "h1")
            assert got.headers["content-type"] == "application/hl7-v2"
            for asked in (
                request("check", "r2"),
                request(rid="r3", body=b"no HL7"),
                request("set", "r4", body=message("other")),
                request(rid="r5", body=b"MSH|\x0b"),
                request(rid="r6", body=message("n", accept="NE", application="NE")),
            ):
                assert (await here.node.ask(asked)).start.split()[1] == "422"
            keyed = request("set", "r7", body=message("k-r7", "SIU^S12"))
            assert (await here.node.ask(keyed)).start.split()[1] == "200"
            assert len(here.stub.seen) == 2

    run(main())


def test_a_class_drained_in_mid_frame_is_rejected_and_comes_again() -> None:
    async def main() -> None:
        async with place(Says("AA"), mllp=True) as here:
            clinic = await here.clinic()
            whole = frame(message())
            clinic.writer.write(whole[:40])
            await wait_until(lambda: any(line.session.deframer.unfinished() for line in here.front.lines))
            driver = here.node.front.driver
            for upstream in driver.pool.upstreams.values():
                upstream.open_to_new = False
            clinic.writer.write(whole[40:])
            assert (await clinic.hear())[0].code is Code.AR and not here.stub.seen
            for upstream in driver.pool.upstreams.values():
                upstream.open_to_new = True
            while await clinic.say(message()) != "AA":
                pass

    run(main())


@given(st.binary(max_size=80), st.sampled_from([("", ""), ("AL", "AL"), ("AL", "NE"), ("NE", "AL")]))
def test_a_dialogue_answers_or_says_out_of_step_whatever_comes(content: bytes, mode: tuple[str, str]) -> None:
    dialogue = Dialogue(message(accept=mode[0], application=mode[1]))
    for tail in (content, b"MSH|^~\\&|\rMSA|CA|m1\r", b"MSH|^~\\&|||||||ACK|1\rMSA|AA|m1\r"):
        try:
            answer = dialogue.hear(tail)
        except MessageError:
            continue
        assert answer is None or answer.ack.control_id == b"m1"


def test_a_frame_cut_at_any_byte_is_not_taken_and_its_resend_is() -> None:
    async def main() -> None:
        async with place(Says("AA"), mllp=True) as here:
            whole = frame(message())
            for at in range(len(whole)):
                clinic = await here.clinic()
                clinic.writer.write(whole[:at])
                clinic.writer.write_eof()
                assert await clinic.reader.read() == b""
                clinic.writer.close()
            assert not here.stub.seen
            assert await (await here.clinic()).say(message()) == "AA" and len(here.stub.seen) == 1

    run(main())


def test_an_acknowledgement_cut_at_any_byte_proves_nothing() -> None:
    async def main() -> None:
        async with place(Says("AA"), mllp=True) as here:
            clinic = await here.clinic()
            for at in range(len(ack("AA", message("m100")))):
                here.stub.handler = Says("AA")  # a sender that only fails would be left alone for a while
                while await clinic.say(message(f"g{at}")) != "AA":
                    pass
                before = len(here.stub.seen)

                async def cut(stub: Stub, got: Message, writer: asyncio.StreamWriter, at: int = at) -> None:
                    writer.write(ack("AA", got.body)[:at])
                    writer.close()

                here.stub.handler = cut
                assert [await clinic.say(message(f"m{100 + at}")) for _ in range(2)] == ["AE"] * 2
                assert len(here.stub.seen) == before + 1

    run(main())
