"""The simulated network gives TCP's guarantees, and the failures that TCP and UDP allow."""

from __future__ import annotations

import asyncio

import pytest

from dykeshift.sim.kernel import MS, SECOND, Platform
from dykeshift.sim.net import Partition, Endpoint
from tests.sim.world import PLAIN_PLATFORM, SERVER, RecordingProtocol, ClientServerWorld


def platform(**changes: object) -> Platform:
    from dataclasses import replace

    return replace(PLAIN_PLATFORM, **changes)  # type: ignore[arg-type]


def test_bytes_arrive_complete_and_in_order_in_any_segments() -> None:
    world = ClientServerWorld(platform(tear=0.9, buffer=300, read_size=7, jitter=0.5, grid=MS))
    client = world.connect()
    sent = bytes(range(256)) * 20
    world.within(world.client, client.transport.write, sent, seconds=20.0)
    assert world.accepted[0].data == sent
    assert world.accepted[0].pieces > len(sent) // 7


def test_a_paused_reader_blocks_its_writer_until_it_resumes() -> None:
    world = ClientServerWorld(platform(buffer=1000))
    client = world.connect()
    world.within(world.server, world.accepted[0].transport.pause_reading)
    client.transport.set_write_buffer_limits(high=0)
    world.within(world.client, client.transport.write, b"x" * 5000)
    assert client.events == ["made", "pause"] and client.transport.get_write_buffer_size() == 4000
    assert world.accepted[0].data == b""
    world.within(world.server, world.accepted[0].transport.resume_reading, seconds=1.0)
    assert len(world.accepted[0].data) == 5000 and client.events == ["made", "pause", "resume"]


def test_an_answer_arrives_after_a_half_close() -> None:
    world = ClientServerWorld(keep_open=True)
    client = world.connect(keep_open=True)
    world.within(world.client, client.transport.write, b"question")
    world.within(world.client, client.transport.write_eof)
    server = world.accepted[0]
    assert server.data == b"question" and server.events == ["made", "eof"]
    world.within(world.server, server.transport.write, b"answer")
    world.within(world.server, server.transport.close)
    assert client.data == b"answer" and client.events == ["made", "eof"]


def test_a_close_with_unread_input_is_a_reset() -> None:
    world = ClientServerWorld()
    client = world.connect()
    world.within(world.server, world.accepted[0].transport.pause_reading)
    world.within(world.client, client.transport.write, b"never read")
    world.within(world.server, world.accepted[0].transport.abort)
    assert client.events == ["made", "lost ConnectionResetError"]


def test_a_close_without_unread_input_sends_fin_and_later_data_is_reset() -> None:
    world = ClientServerWorld()
    client = world.connect(keep_open=True)
    world.within(world.server, world.accepted[0].transport.abort)
    assert client.events == ["made", "eof"]
    world.within(world.client, client.transport.write, b"too late")
    assert client.events == ["made", "eof", "lost ConnectionResetError"]


def test_unread_data_before_a_reset_is_kept_or_discarded_by_platform() -> None:
    for discards in (False, True):
        world = ClientServerWorld(platform(reset_discards=discards))
        client = world.connect()
        world.within(world.client, client.transport.pause_reading)
        world.within(world.server, world.accepted[0].transport.write, b"answer")
        world.server.kill()
        while not client.transport.endpoint.error and not client.transport.endpoint.fin_received:
            world.run(0.01)
        if client.transport.endpoint.error is None:
            continue  # the death of the process was seen as a FIN, not as a reset
        world.within(world.client, client.transport.resume_reading)
        assert client.data == (b"" if discards else b"answer")


def test_a_connect_is_refused_where_nobody_listens() -> None:
    world = ClientServerWorld(listen=False)

    async def go() -> None:
        with pytest.raises(ConnectionRefusedError):
            await world.client.loop.create_connection(lambda: RecordingProtocol(world.client.loop), *SERVER)

    world.do(world.client, go())


def test_a_connect_to_a_stalled_program_succeeds_and_nothing_is_read() -> None:
    world = ClientServerWorld()
    world.server.stall(SECOND)
    client = world.connect()
    world.within(world.client, client.transport.write, b"hello")
    assert client.events == ["made"] and not world.accepted
    world.run(1.0)
    assert world.accepted[0].data == b"hello" and world.accepted[0].times[0] >= 1.0


def test_a_full_backlog_leaves_a_connect_hanging() -> None:
    world = ClientServerWorld(backlog=2)
    world.server.stall(60 * SECOND)
    world.connect()
    world.connect()

    async def go() -> None:
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(1.0):
                await world.client.loop.create_connection(
                    lambda: RecordingProtocol(world.client.loop), *SERVER
                )

    world.do(world.client, go())
    assert len(world.client.sockets) == 2  # the third one has released its descriptor


def test_a_full_descriptor_table_fails_connects_and_closes_accepted_connections() -> None:
    world = ClientServerWorld()
    world.client.limit = 1
    world.connect()

    async def go() -> None:
        with pytest.raises(OSError, match="Too many open files"):
            await world.client.loop.create_connection(lambda: RecordingProtocol(world.client.loop), *SERVER)

    world.do(world.client, go())
    world.client.limit = 10
    world.server.limit = len(world.server.sockets)
    second = world.connect()
    assert second.events[0] == "made" and second.events[-1].startswith(("eof", "lost"))


def test_a_host_that_is_down_is_silent_and_resets_connections_after_restart() -> None:
    world = ClientServerWorld()
    client = world.connect()
    world.net.vanish(world.server_host)
    world.within(world.client, client.transport.write, b"anybody there?", seconds=60.0)
    assert client.events == ["made"] and not client.transport.is_closing()
    world.net.restart_host(world.server_host)
    world.run(2.0)
    assert client.events == ["made", "lost ConnectionResetError"]


def test_a_partition_delays_data_and_loses_none() -> None:
    world = ClientServerWorld()
    client = world.connect()
    cut = Partition(frozenset({SERVER[0]}))
    world.net.partition(cut)
    world.within(world.client, client.transport.write, b"one ", seconds=3.0)
    world.within(world.client, client.transport.write, b"two", seconds=3.0)
    assert world.accepted[0].data == b""
    world.net.remove_partition(cut)
    world.run(1.0)
    assert world.accepted[0].data == b"one two"


@pytest.mark.parametrize("at", range(6))
def test_a_reset_at_every_byte_position(at: int) -> None:
    world = ClientServerWorld()
    client = world.connect()

    def cutter(endpoint: Endpoint, data: bytes) -> int | None:
        return at if endpoint.process is world.client else None

    world.net.reset_injector = cutter
    world.within(world.client, client.transport.write, b"hello")
    assert world.accepted[0].data == b"hello"[:at]
    assert client.events == world.accepted[0].events == ["made", "lost ConnectionResetError"]


def test_a_cancelled_connect_leaves_no_connection_on_either_side() -> None:
    for wait in (0.0001, 0.0002, 0.0003, 0.0004, 0.0005, 0.001):
        world = ClientServerWorld()

        async def go(world: ClientServerWorld = world, wait: float = wait) -> None:
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(wait):
                    await world.client.loop.create_connection(
                        lambda: RecordingProtocol(world.client.loop), *SERVER
                    )
                    raise TimeoutError

        world.do(world.client, go())
        left = len(world.client.sockets)
        assert left <= 1  # a connection that was up at the time-out is the program's to close
        if not left:
            assert all("lost" in n.events[-1] or n.events[-1] == "eof" for n in world.accepted)


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.got: list[bytes] = []

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.got.append(data)


def exchange(loss: float = 0.0, double: float = 0.0, delay: int = 0) -> list[bytes]:
    world = ClientServerWorld()
    world.net.conditions.udp_loss, world.net.conditions.udp_duplicate = loss, double
    world.net.conditions.udp_delay = delay
    receiver = Datagrams()

    async def listen() -> None:
        await world.server.loop.create_datagram_endpoint(lambda: receiver, local_addr=SERVER)

    async def send() -> None:
        transport, _ = await world.client.loop.create_datagram_endpoint(
            Datagrams, local_addr=("10.9.0.1", 7946), remote_addr=SERVER
        )
        for n in range(100):
            transport.sendto(b"%d" % n)

    world.do(world.server, listen(), 0.1)
    world.do(world.client, send(), 1.0)
    return receiver.got


def test_datagrams_are_lost_duplicated_delayed_and_reordered() -> None:
    assert sorted(exchange(), key=int) == [b"%d" % n for n in range(100)]
    assert 20 < len(exchange(loss=0.5)) < 80
    assert len(exchange(double=1.0)) == 200
    mixed = exchange(delay=100 * MS)
    assert sorted(mixed) == sorted(b"%d" % n for n in range(100)) and mixed != sorted(mixed, key=int)
