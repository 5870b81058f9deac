"""The virtual network keeps TCP's promises, and breaks what TCP may break."""

from __future__ import annotations

import asyncio

import pytest

from dykeshift.sim.kernel import MS, SECOND, Flavour
from dykeshift.sim.net import Cut, Endpoint
from tests.sim.world import PLAIN, SERVER, Notes, Small


def flavour(**changes: object) -> Flavour:
    from dataclasses import replace

    return replace(PLAIN, **changes)  # type: ignore[arg-type]


def test_bytes_arrive_whole_and_in_order_however_they_are_torn() -> None:
    small = Small(flavour(tear=0.9, buffer=300, read_size=7, jitter=0.5, grid=MS))
    client = small.connect()
    sent = bytes(range(256)) * 20
    small.within(small.client, client.transport.write, sent, seconds=20.0)
    assert small.accepted[0].data == sent
    assert small.accepted[0].pieces > len(sent) // 7


def test_a_reader_that_stops_stops_its_writer_and_lets_it_go_on() -> None:
    small = Small(flavour(buffer=1000))
    client = small.connect()
    small.within(small.server, small.accepted[0].transport.pause_reading)
    client.transport.set_write_buffer_limits(high=0)
    small.within(small.client, client.transport.write, b"x" * 5000)
    assert client.events == ["made", "pause"] and client.transport.get_write_buffer_size() == 4000
    assert small.accepted[0].data == b""
    small.within(small.server, small.accepted[0].transport.resume_reading, seconds=1.0)
    assert len(small.accepted[0].data) == 5000 and client.events == ["made", "pause", "resume"]


def test_half_close_lets_the_answer_come() -> None:
    small = Small(keep_open=True)
    client = small.connect(keep_open=True)
    small.within(small.client, client.transport.write, b"question")
    small.within(small.client, client.transport.write_eof)
    server = small.accepted[0]
    assert server.data == b"question" and server.events == ["made", "eof"]
    small.within(small.server, server.transport.write, b"answer")
    small.within(small.server, server.transport.close)
    assert client.data == b"answer" and client.events == ["made", "eof"]


def test_a_close_with_unread_input_is_a_reset() -> None:
    small = Small()
    client = small.connect()
    small.within(small.server, small.accepted[0].transport.pause_reading)
    small.within(small.client, client.transport.write, b"never read")
    small.within(small.server, small.accepted[0].transport.abort)
    assert client.events == ["made", "lost ConnectionResetError"]


def test_a_close_with_nothing_unread_is_an_end_and_what_follows_it_meets_a_reset() -> None:
    small = Small()
    client = small.connect(keep_open=True)
    small.within(small.server, small.accepted[0].transport.abort)
    assert client.events == ["made", "eof"]
    small.within(small.client, client.transport.write, b"too late")
    assert client.events == ["made", "eof", "lost ConnectionResetError"]


def test_data_before_a_reset_is_read_or_lost_with_it_as_the_flavour_says() -> None:
    for discards in (False, True):
        small = Small(flavour(reset_discards=discards))
        client = small.connect()
        small.within(small.client, client.transport.pause_reading)
        small.within(small.server, small.accepted[0].transport.write, b"answer")
        small.server.kill()
        while not client.transport.endpoint.error and not client.transport.endpoint.ended:
            small.run(0.01)
        if client.transport.endpoint.error is None:
            continue  # this death was told as an end
        small.within(small.client, client.transport.resume_reading)
        assert client.data == (b"" if discards else b"answer")


def test_a_connect_is_refused_where_nobody_listens() -> None:
    small = Small(listen=False)

    async def go() -> None:
        with pytest.raises(ConnectionRefusedError):
            await small.client.loop.create_connection(lambda: Notes(small.client.loop), *SERVER)

    small.do(small.client, go())


def test_a_connect_to_a_stalled_program_comes_up_and_nothing_is_read() -> None:
    small = Small()
    small.server.stall(SECOND)
    client = small.connect()
    small.within(small.client, client.transport.write, b"hello")
    assert client.events == ["made"] and not small.accepted
    small.run(1.0)
    assert small.accepted[0].data == b"hello" and small.accepted[0].times[0] >= 1.0


def test_a_full_backlog_leaves_a_connect_hanging() -> None:
    small = Small(backlog=2)
    small.server.stall(60 * SECOND)
    small.connect()
    small.connect()

    async def go() -> None:
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(1.0):
                await small.client.loop.create_connection(lambda: Notes(small.client.loop), *SERVER)

    small.do(small.client, go())
    assert len(small.client.sockets) == 2  # the third gave its descriptor back


def test_a_full_descriptor_table_refuses_to_dial_and_closes_what_comes() -> None:
    small = Small()
    small.client.limit = 1
    small.connect()

    async def go() -> None:
        with pytest.raises(OSError, match="Too many open files"):
            await small.client.loop.create_connection(lambda: Notes(small.client.loop), *SERVER)

    small.do(small.client, go())
    small.client.limit = 10
    small.server.limit = len(small.server.sockets)
    second = small.connect()
    assert second.events[0] == "made" and second.events[-1].startswith(("eof", "lost"))


def test_a_vanished_machine_is_silent_and_resets_when_it_is_back() -> None:
    small = Small()
    client = small.connect()
    small.net.vanish(small.server_host)
    small.within(small.client, client.transport.write, b"anybody there?", seconds=60.0)
    assert client.events == ["made"] and not client.transport.is_closing()
    small.net.back(small.server_host)
    small.run(2.0)
    assert client.events == ["made", "lost ConnectionResetError"]


def test_a_cut_link_delays_and_loses_nothing() -> None:
    small = Small()
    client = small.connect()
    cut = Cut(frozenset({SERVER[0]}))
    small.net.cut(cut)
    small.within(small.client, client.transport.write, b"one ", seconds=3.0)
    small.within(small.client, client.transport.write, b"two", seconds=3.0)
    assert small.accepted[0].data == b""
    small.net.mend(cut)
    small.run(1.0)
    assert small.accepted[0].data == b"one two"


@pytest.mark.parametrize("at", range(6))
def test_a_reset_at_every_byte_position(at: int) -> None:
    small = Small()
    client = small.connect()

    def cutter(endpoint: Endpoint, data: bytes) -> int | None:
        return at if endpoint.process is small.client else None

    small.net.cutter = cutter
    small.within(small.client, client.transport.write, b"hello")
    assert small.accepted[0].data == b"hello"[:at]
    assert client.events == small.accepted[0].events == ["made", "lost ConnectionResetError"]


def test_a_cancelled_connect_leaves_nothing_on_either_side() -> None:
    for wait in (0.0001, 0.0002, 0.0003, 0.0004, 0.0005, 0.001):
        small = Small()

        async def go(small: Small = small, wait: float = wait) -> None:
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(wait):
                    await small.client.loop.create_connection(lambda: Notes(small.client.loop), *SERVER)
                    raise TimeoutError

        small.do(small.client, go())
        left = len(small.client.sockets)
        assert left <= 1  # one that was up when the time-out struck is the program's own to close
        if not left:
            assert all("lost" in n.events[-1] or n.events[-1] == "eof" for n in small.accepted)


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.got: list[bytes] = []

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.got.append(data)


def exchange(loss: float = 0.0, double: float = 0.0, delay: int = 0) -> list[bytes]:
    small = Small()
    small.net.weather.udp_loss, small.net.weather.udp_double = loss, double
    small.net.weather.udp_delay = delay
    receiver = Datagrams()

    async def listen() -> None:
        await small.server.loop.create_datagram_endpoint(lambda: receiver, local_addr=SERVER)

    async def send() -> None:
        transport, _ = await small.client.loop.create_datagram_endpoint(
            Datagrams, local_addr=("10.9.0.1", 7946), remote_addr=SERVER
        )
        for n in range(100):
            transport.sendto(b"%d" % n)

    small.do(small.server, listen(), 0.1)
    small.do(small.client, send(), 1.0)
    return receiver.got


def test_datagrams_are_lost_doubled_late_and_out_of_order() -> None:
    assert sorted(exchange(), key=int) == [b"%d" % n for n in range(100)]
    assert 20 < len(exchange(loss=0.5)) < 80
    assert len(exchange(double=1.0)) == 200
    mixed = exchange(delay=100 * MS)
    assert sorted(mixed) == sorted(b"%d" % n for n in range(100)) and mixed != sorted(mixed, key=int)
