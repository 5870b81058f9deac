"""A replica and a subscriber over UDP sockets on the loopback interface."""

from __future__ import annotations

import asyncio
import socket
from random import Random

from dykeshift.clock import SystemClock
from dykeshift.configuration.choice import Place
from dykeshift.configuration.replica import Replica, ReplicaOptions
from dykeshift.configuration.scope import Scope
from dykeshift.configuration.shell import Shell
from dykeshift.configuration.subscriber import Subscriber, SubscriberOptions
from tests.configuration.small_world import SEAL, filled_store, put_tenant


def free_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def test_change_arrives_over_sockets_and_bye_ends_the_session() -> None:
    asyncio.run(asyncio.wait_for(exchange_datagrams(), 60))


async def exchange_datagrams() -> None:
    loop, clock, store = asyncio.get_running_loop(), SystemClock(), filled_store()
    address = ("127.0.0.1", free_port())
    replica = Replica(ReplicaOptions(), SEAL, store, lambda now: 0, Random(1))
    subscriber = Subscriber(
        SubscriberOptions(),
        SEAL,
        "balancer",
        1,
        Scope(frozenset("ab")),
        [Place(address)],
        "",
        Random(2),
    )
    stepped = asyncio.Event()
    replica_shell = Shell(loop, clock, replica)
    subscriber_shell = Shell(loop, clock, subscriber, stepped.set)
    await replica_shell.open(address)
    await subscriber_shell.open(("127.0.0.1", 0))

    async def shows(version: int) -> None:
        while subscriber.state.version < version or not subscriber.lease_left(clock.monotonic_ns()):
            stepped.clear()
            await stepped.wait()

    await shows(store.version)
    version = put_tenant(store, 0, ("a",), 5.0)
    replica_shell.carry(replica.on_change(clock.monotonic_ns()))
    await shows(version)
    assert subscriber.state.resources() == store.scoped(subscriber.scope)
    subscriber_shell.close(subscriber.end(clock.monotonic_ns()))
    while replica.sessions:
        await asyncio.sleep(0)
    replica_shell.close()
    assert replica_shell.sent_bytes and replica_shell.sent_datagrams and not replica_shell.send_errors
