"""Clinics' messages through the real driver on loopback: each frame one answer, no effect twice."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from dykeshift.mllp import acks
from dykeshift.mllp.framing import Deframer, Frame, frame
from dykeshift.mllp.front import Line, MllpFront
from dykeshift.mllp.mapping import Mapping, MappingError, Rule, made
from dykeshift.mllp.message import read
from dykeshift.mllp.session import Session
from dykeshift.node import mllp as feature
from dykeshift.node.features import Features
from dykeshift.node.mllp import Options
from dykeshift.standins.disk import Disk
from tests.node.messages import answer, read_message, request
from tests.node.stubs import Handler, Node, Stub, answers_with, node, resets, run, silent, wait_until
from tests.store.memory_disk import MemoryDisk

SECOND = 1_000_000_000
ROUTES = [
    {"trigger": "SIU^S12", "class": "set", "target": "/hl7/reminder"},
    {"trigger": "ORM", "class": "send", "target": "/hl7/send"},
    {"trigger": "SIU^S15", "class": "set", "key": "PID-3"},
]
MADE = time.strftime("%Y%m%d%H%M%S", time.gmtime())  # one for all: a resend is the same


def message(
    control: str = "m1",
    trigger: str = "ORM^O01",
    text: str = "Ganbold",
    accept: str = "",
    application: str = "",
) -> bytes:
    head = f"MSH|^~\\&|CLINIC|DORNOD|LT|CH|{MADE}||{trigger}|{control}|P|2.5.1|||{accept}|{application}"
    return f"{head}\rPID|1||42||{text}\r".encode()


class Clinic:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.deframer = reader, writer, Deframer()
        self.got: list[acks.Ack] = []

    async def hear(self, count: int = 1) -> list[acks.Ack]:
        """So many further acknowledgements."""
        while len(self.got) < count:
            data = await self.reader.read(4096)
            if not data:
                raise ConnectionResetError
            for event in self.deframer.feed(0, data):
                assert isinstance(event, Frame)
                self.got.append(acks.parse(event.content))
        heard, self.got = self.got[:count], self.got[count:]
        return heard

    async def say(self, content: bytes) -> str:
        self.writer.write(frame(content))
        return (await self.hear())[0].code.value


class Place:
    def __init__(self, balancer: Node, stub: Stub) -> None:
        self.front: MllpFront = balancer.services[0].front
        self.address = balancer.services[0].servers[0].address
        self.node, self.stub = balancer, stub

    async def clinic(self) -> Clinic:
        return Clinic(*await asyncio.open_connection(*self.address))


@asynccontextmanager
async def place(
    handler: Handler, complete: bool = True, mllp: bool = False, disk: Disk | None = None, **changes: Any
) -> AsyncIterator[Place]:
    """The whole balancer with `[mllp]` on, one stub as its only upstream."""
    stub = await Stub(handler, mllp=mllp).start()
    routes = [route for route in ROUTES if not (mllp and "key" in route)]
    section = {"listen": ["127.0.0.1:0"], "map": routes, "upstreams": "mllp" if mllp else "http", **changes}
    if disk is not None:
        section["journal"] = "/journal"
    options = msgspec.convert(section, Options)
    beside = Features(((feature, options),), MemoryDisk(disk) if disk is not None else None)
    async with node(stub, beside=beside) as balancer:
        here = Place(balancer, stub)
        if complete and disk is None:
            here.front.memory.horizon = -1
        try:
            yield here
        finally:
            balancer.services[0].drain()
            balancer.services[0].close()


def test_a_message_is_served_and_a_resend_hears_the_same_and_is_not_sent() -> None:
    async def main() -> None:
        async with place(answers_with(answer())) as here:
            clinic = await here.clinic()
            assert await clinic.say(message()) == "AA"
            assert await clinic.say(message()) == "AA"
            assert await (await here.clinic()).say(message()) == "AA"
            assert len(here.stub.seen) == 1
            sent = here.stub.seen[0]
            assert sent.start == "POST /hl7/send HTTP/1.1" and sent.body == message()
            assert await clinic.say(message("m2", "SIU^S12")) == "AA"
            assert here.stub.seen[1].headers["idempotency-key"] == here.stub.seen[1].headers["x-request-id"]

    run(main())


def test_an_acknowledgement_lost_after_the_sender_took_it_is_given_to_the_resend() -> None:
    async def main() -> None:
        gate = asyncio.Event()

        async def slow(_: Stub, __: object, writer: asyncio.StreamWriter) -> None:
            await gate.wait()
            writer.write(answer())

        async with place(slow) as here:
            first = await here.clinic()
            first.writer.write(frame(message()))
            await wait_until(lambda: len(here.stub.seen) == 1)
            first.writer.transport.abort()  # it will never hear
            second = await here.clinic()
            second.writer.write(frame(message()))
            third = await here.clinic()
            third.writer.write(frame(message()))
            await wait_until(
                lambda: any(len(entry.waiting) == 3 for entry in here.front.memory.open.values())
            )
            gate.set()
            assert [a.code.value for a in await second.hear() + await third.hear()] == ["AA", "AA"]
            assert len(here.stub.seen) == 1

    run(main())


@pytest.mark.parametrize(
    ("handler", "code"), [(resets, "AE"), (answers_with(answer(b"", "500 Internal Server Error")), "AE")]
)
def test_what_may_have_run_is_an_error_for_good_and_never_sent_again(handler: Handler, code: str) -> None:
    async def main() -> None:
        async with place(handler) as here:
            clinic = await here.clinic()
            assert [await clinic.say(message()) for _ in range(3)] == [code] * 3
            assert len(here.stub.seen) == 1

    run(main())


def test_what_was_refused_has_not_run_and_may_come_again() -> None:
    async def main() -> None:
        turned = answers_with(answer(b"", "503 Service Unavailable", X_Not_Run="1"))
        async with place(turned) as here:
            clinic = await here.clinic()
            assert await clinic.say(message()) == "AR"
            here.stub.handler = answers_with(answer())
            while await clinic.say(message()) != "AA":
                pass
            assert len([m for m in here.stub.seen if m.body == message()]) >= 2

    run(main())


def test_other_content_under_a_known_control_id_is_rejected_unsent() -> None:
    async def main() -> None:
        async with place(answers_with(answer())) as here:
            clinic = await here.clinic()
            assert await clinic.say(message()) == "AA"
            assert await clinic.say(message(text="Other")) == "AR"
            assert len(here.stub.seen) == 1

    run(main())


def test_a_balancer_just_restarted_says_that_it_cannot_know() -> None:
    async def main() -> None:
        async with place(answers_with(answer()), complete=False) as here:
            here.front.memory.horizon -= 3600 * SECOND  # it began an hour ago, before MADE
            clinic = await here.clinic()
            old = message().replace(message().split(b"|")[6], b"20200101000000")
            assert await clinic.say(old) == "AE" and not here.stub.seen
            assert await clinic.say(message("m2")) == "AA"

    run(main())


def test_three_frames_in_one_read_are_answered_in_order_each_once() -> None:
    async def main() -> None:
        async with place(answers_with(answer()), pipelined=2) as here:
            clinic = await here.clinic()
            clinic.writer.write(
                b"".join(
                    frame(m)
                    for m in (
                        message("m1"),
                        b"nonsense",
                        message("m3", "ADT^A01"),
                        message("m4"),
                        message("m5"),
                    )
                )
            )
            heard = await clinic.hear(5)
            assert [(a.code.value, a.control_id) for a in heard] == [
                ("AA", b"m1"),
                ("AR", b""),
                ("AR", b"m3"),
                ("AA", b"m4"),
                ("AA", b"m5"),
            ]

    run(main())


def test_a_frame_byte_by_byte_and_a_client_that_closes_in_mid_frame() -> None:
    async def main() -> None:
        async with place(answers_with(answer())) as here:
            clinic = await here.clinic()
            for byte in frame(message()):
                clinic.writer.write(bytes([byte]))
                await asyncio.sleep(0)
            assert (await clinic.hear())[0].code.value == "AA"
            clinic.writer.write(frame(message("m2"))[:-9])
            clinic.writer.close()
            await wait_until(lambda: not here.front.lines)
            assert len(here.stub.seen) == 1

    run(main())


def test_enhanced_mode_tells_first_that_it_is_taken() -> None:
    async def main() -> None:
        async with place(answers_with(answer())) as here:
            clinic = await here.clinic()
            clinic.writer.write(frame(message(accept="AL", application="AL")))
            assert [a.code.value for a in await clinic.hear(2)] == ["CA", "AA"]
            clinic.writer.write(frame(message("m2", "ADT^A01", accept="AL", application="AL")))
            assert [a.code.value for a in await clinic.hear(1)] == ["CR"]

    run(main())


def test_a_drain_answers_what_was_taken_takes_nothing_more_and_closes() -> None:
    async def main() -> None:
        gate = asyncio.Event()

        async def slow(_: Stub, __: object, writer: asyncio.StreamWriter) -> None:
            await gate.wait()
            writer.write(answer())

        async with place(slow) as here:
            clinic, idle = await here.clinic(), await here.clinic()
            clinic.writer.write(frame(message()) + frame(message("m2"))[:20])
            await wait_until(lambda: len(here.stub.seen) == 1 and len(here.front.lines) == 2)
            here.front.drain()
            clinic.writer.write(frame(message("m2"))[20:] + frame(message("m3")))
            gate.set()
            assert (await clinic.hear())[0].control_id == b"m1"
            for one in (clinic, idle):
                with pytest.raises((ConnectionResetError, OSError)):
                    await one.hear()
            assert len(here.stub.seen) == 1

    run(main())


def test_a_silent_upstream_is_an_error_in_time() -> None:
    async def main() -> None:
        async with place(silent) as here:
            here.front.mapping.rules["ORM"] = Rule("ORM", 2, SECOND // 5)
            assert await (await here.clinic()).say(message()) == "AE"

    run(main())


# ---- the parts by themselves ----


@given(st.lists(st.integers(0, 9), max_size=12), st.integers(1, 3), st.randoms(use_true_random=False))
def test_answers_leave_in_the_order_of_frames_whatever_the_order_they_come_in(
    contents: list[int], limit: int, random: object
) -> None:
    session = Session(limit, 100)
    open_slots = session.receive(0, b"".join(frame(b"%d" % n) for n in contents))
    out = b""
    while open_slots:
        assert len(session.open) <= limit
        slot = open_slots.pop(random.randrange(len(open_slots)))  # type: ignore[attr-defined]
        wrote, more = session.answer(slot, slot.content)
        out += wrote
        open_slots += more
    assert out == b"".join(frame(b"%d" % n) for n in contents) and not session.open


def test_a_mapping_that_cannot_be_used_is_said() -> None:
    from tests.harness import KEYED_ALL, KEYED_CELL, SAFE

    for rules, said in (
        ([Rule("ADT", 7, 1)], "no class 7"),
        ([Rule("ADT", 0, 1)], "safe to repeat"),
        ([Rule("ADT", 1, 1), Rule("ADT", 1, 1)], "mapped twice"),
        ([Rule("ADT", 2, 1)], "refused after it ran"),
    ):
        with pytest.raises(MappingError, match=said):
            Mapping((SAFE, KEYED_CELL, KEYED_ALL), rules)
    for bad, said in (
        ({"trigger": "sms"}, "no trigger"),
        ({"deadline": 0}, "not positive"),
        ({"target": b"hl7"}, "no path"),
        ({"key": "SCH"}, "names no field"),
    ):
        with pytest.raises(MappingError, match=said):
            Rule(**{"trigger": "ADT", "klass": 1, "deadline": 1, **bad})  # type: ignore[arg-type]
    with pytest.raises(MappingError, match="by its control id"):
        Mapping((SAFE, KEYED_CELL), [Rule("ADT", 1, 1, key="SCH-1")], to_mllp=True)


@pytest.mark.parametrize(
    ("text", "when"),
    [
        ("20261201093000", 1796117400),
        ("202612010930", 1796117400),
        ("20261201173000+0800", 1796117400),
        ("20261201093000.25", 1796117400.25),
        ("20261201", None),
        ("", None),
        ("yesterday", None),
        ("20261301093000", None),
        ("20261201093000+9", None),
        ("20261201093000+9900", None),
    ],
)
def test_when_a_message_was_made(text: str, when: float | None) -> None:
    header = read(f"MSH|^~\\&|A|B|C|D|{text}||ORM|1\r".encode()).header
    assert made(header) == (int(when * 4) * SECOND // 4 if when is not None else None)


# ---- more of the hard cases ----


def test_a_frame_of_60_mb_without_end_costs_its_connection_and_no_memory() -> None:
    async def main() -> None:
        async with place(answers_with(answer()), max_frame_kb=64) as here:
            clinic = await here.clinic()
            clinic.writer.write(frame(message()))
            assert (await clinic.hear())[0].code.value == "AA"
            clinic.writer.write(b"\x0b")
            with pytest.raises((ConnectionError, OSError)):
                for _ in range(60):
                    clinic.writer.write(b"x" * (1 << 20))
                    await clinic.writer.drain()
                await clinic.hear()
            await wait_until(lambda: not here.front.lines)

    run(main())


@pytest.mark.parametrize(
    "content",
    [
        b"MSH",
        b"MSH|",
        b"MSH|^~",
        b"MSHx^~\\&x",
        b"MSH|aaaa|",
        b"",
        b"\x00" * 300,
        b"MSH|^~\\&|||||||ORM^O01||P|2.5",
        b"MSH|^~\\&|" + b"x" * 3000,
        b"PID|1\rMSH|^~\\&|",
    ],
)
def test_what_has_no_usable_header_is_rejected_and_the_connection_goes_on(content: bytes) -> None:
    async def main() -> None:
        async with place(answers_with(answer())) as here:
            clinic = await here.clinic()
            assert await clinic.say(content) == "AR"
            assert await clinic.say(message()) == "AA" and len(here.stub.seen) == 1

    run(main())


def test_odd_separators_and_charsets_go_through_unchanged() -> None:
    async def main() -> None:
        async with place(answers_with(answer())) as here:
            clinic = await here.clinic()
            odd = message().replace(b"|", b"$").replace(b"^", b"%") + "NTE$1$$Бат\r".encode("cp1251")
            clinic.writer.write(frame(odd))
            assert (await clinic.hear())[0].code.value == "AA" and here.stub.seen[0].body == odd

    run(main())


def test_a_key_is_taken_from_the_field_that_the_mapping_names() -> None:
    async def main() -> None:
        async with place(answers_with(answer())) as here:
            clinic = await here.clinic()
            for control in ("a", "b"):
                assert await clinic.say(message(control, "SIU^S15")) == "AA"
            first, second = (m.headers for m in here.stub.seen)
            assert first["idempotency-key"] == second["idempotency-key"]
            assert first["x-request-id"] != second["x-request-id"]
            assert await clinic.say(message("c", "SIU^S15").replace(b"42", b"")) == "AR"

    run(main())


def test_what_an_http_sender_calls_hl7_is_not_taken_for_an_acknowledgement() -> None:
    async def main() -> None:
        handler = answers_with(answer(b"\x0bnone\x1c", Content_Type="application/hl7-v2"))
        async with place(handler) as here:
            assert await (await here.clinic()).say(message()) == "AA"

    run(main())


def test_an_acknowledgement_is_not_acknowledged() -> None:
    async def main() -> None:
        async with place(answers_with(answer())) as here:
            clinic = await here.clinic()
            clinic.writer.write(frame(b"MSH|^~\\&|A|B|C|D|||ACK|7|P|2.5\rMSA|AA|m1\r") + frame(message()))
            heard = await clinic.hear()
            assert heard[0].control_id == b"m1" and not clinic.got

    run(main())


def test_a_drained_connection_ends_with_its_answer_though_more_came_unread() -> None:
    async def main() -> None:
        gate = asyncio.Event()

        async def slow(_: Stub, __: object, writer: asyncio.StreamWriter) -> None:
            await gate.wait()
            writer.write(answer())

        async with place(slow, pipelined=1) as here:
            clinic = await here.clinic()
            clinic.writer.write(frame(message()))
            await wait_until(lambda: len(here.stub.seen) == 1)
            clinic.writer.write(frame(message("m2")) * 50)
            here.front.drain()
            gate.set()
            assert (await clinic.hear())[0].control_id == b"m1"
            assert await clinic.reader.read() == b""  # an end, not a reset
            assert len(here.stub.seen) == 1

    run(main())


def test_over_the_limit_the_longest_idle_makes_room_and_who_waits_for_an_answer_stays() -> None:
    async def main() -> None:
        gate = asyncio.Event()

        async def slow(_: Stub, __: object, writer: asyncio.StreamWriter) -> None:
            await gate.wait()
            writer.write(answer())

        async with place(slow, connections=2) as here:
            busy, idle = await here.clinic(), await here.clinic()
            busy.writer.write(frame(message()))
            await wait_until(lambda: len(here.stub.seen) == 1 and len(here.front.lines) == 2)
            for line in here.front.lines:
                line.since -= 10
            other = await here.clinic()
            assert await idle.reader.read() == b""
            gate.set()
            assert await other.say(message("m2")) == "AA"
            assert (await busy.hear())[0].code.value == "AA"

    run(main())


def test_a_client_that_reads_no_answers_is_not_read_either() -> None:
    async def main() -> None:
        async with place(answers_with(answer())) as here:
            clinic = await here.clinic()
            await wait_until(lambda: bool(here.front.lines))
            line = next(iter(here.front.lines))
            line.pause_writing()
            assert line.stopped
            clinic.writer.write(frame(message()))
            line.resume_writing()
            assert not line.stopped and (await clinic.hear())[0].code.value == "AA"

    run(main())


def test_with_a_journal_a_restarted_balancer_gives_the_same_answer_and_sends_nothing() -> None:
    async def main() -> None:
        disk = Disk()
        async with place(answers_with(answer()), disk=disk) as here:
            here.front.memory.horizon = -1
            clinic = await here.clinic()
            clinic.writer.write(frame(message(accept="AL", application="AL")))
            assert [a.code.value for a in await clinic.hear(2)] == ["CA", "AA"]
            first = here.front.memory.answered
        disk.power_cut()
        async with place(answers_with(answer()), disk=disk) as here:
            known = here.front.memory.answered
            assert [e.answer for e in known.values()] == [e.answer for e in first.values()]
            clinic = await here.clinic()
            clinic.writer.write(frame(message(accept="AL", application="AL")))
            assert [a.code.value for a in await clinic.hear(2)] == ["CA", "AA"] and not here.stub.seen

    run(main())


def test_a_full_disk_sends_nothing_and_says_send_it_again() -> None:
    async def main() -> None:
        disk = Disk()
        async with place(answers_with(answer()), disk=disk) as here:
            here.front.memory.horizon = -1
            disk.room, journal = 0, here.front.journal
            assert journal is not None
            clinic = await here.clinic()
            assert [await clinic.say(message()) for _ in range(2)] == ["AR", "AR"] and not here.stub.seen
            disk.room = None
            journal._recover()
            await wait_until(lambda: not journal.failed)
            assert await clinic.say(message()) == "AA" and len(here.stub.seen) == 1

    run(main())


HALF = b"\x0b" + message("half") + b"Z" * 200_000
BUDGET = 500_000


def is_kept_or_dropped(line: Line) -> bool:
    return line.session.deframer.kept == len(HALF) - 1 or line.transport is None


# Guards against clinics with half a frame each that take more memory than the process may have.
def test_unfinished_frames_stay_within_a_common_budget_and_others_are_served() -> None:
    async def main() -> None:
        async with place(answers_with(answer())) as here:
            here.front.budget.limit = BUDGET
            calm = await here.clinic()
            assert await calm.say(message("m0")) == "AA"
            halves = []
            for number in range(6):
                halves.append(await here.clinic())
                halves[-1].writer.write(HALF)
                await wait_until(partial(is_kept_or_dropped, next(reversed(here.front.lines))))
                assert here.front.budget.total <= BUDGET
                assert await calm.say(message(f"m{number + 1}")) == "AA"
            assert here.front.budget.total >= BUDGET // 2
            with pytest.raises(ConnectionError):
                await halves[0].hear()  # it has held the most for longest

    run(main())


def test_over_the_budget_connections_with_messages_in_work_are_not_read_and_all_are_answered() -> None:
    async def main() -> None:
        gate = asyncio.Event()

        async def slow(_: Stub, __: object, writer: asyncio.StreamWriter) -> None:
            await gate.wait()
            writer.write(answer())

        async with place(slow) as here:
            clinic = await here.clinic()
            clinic.writer.write(frame(message("m1", text="Z" * 200_000)))
            await wait_until(lambda: len(here.stub.seen) == 1)
            (line,) = here.front.lines
            here.front.budget.limit = 100_000
            here.front.note_kept(line)
            line.settle()
            clinic.writer.write(frame(message("m2")))
            await wait_until(lambda: here.node.front.clock.has_input(line.transport))
            assert line.stopped and len(line.session.open) == 1
            gate.set()
            assert [ack.code.value for ack in await clinic.hear(2)] == ["AA", "AA"]
            assert not here.front.budget.total and not line.stopped

    run(main())


# Guards against a body that is forwarded in part to a server whose protocol needs it whole.
def test_over_the_budget_a_body_for_mllp_servers_is_kept_until_it_is_whole() -> None:
    async def main() -> None:
        async def acknowledges(_: Stub, __: object, writer: asyncio.StreamWriter) -> None:
            writer.write(frame(acks.build(read(content).header, acks.Code.AA, "a1", MADE)))

        content = message("m1", text="Z" * 20_000)
        async with place(acknowledges, mllp=True) as here:
            here.node.front.budget.limit = 0
            whole = request("send", body=content)
            caller = await here.node.open()
            caller.writer.write(whole[:-1])
            (client,) = here.node.front.clients
            await wait_until(lambda: here.node.front.budget.total == len(content) - 1)
            assert client.upload is None
            caller.writer.write(whole[-1:])
            assert "200" in (await read_message(caller.reader)).start

    run(main())
