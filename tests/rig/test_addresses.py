import asyncio
import errno
import socket
from types import SimpleNamespace

import pytest

from dykeshift.rig import day
from dykeshift.rig.addresses import ReservedAddresses
from dykeshift.rig.day import Day, Rig, SilentProcessError
from dykeshift.rig.installation import Installation
from dykeshift.rig.plan import Plan

OTHERS = 500  # of the about 14,000 ports from which the system chooses


# Guards against a daemon that cannot listen, as another process was given its port before it started: the run
# then took the other process for the daemon.
def test_an_address_of_an_installation_is_given_to_no_other_process() -> None:
    installation = Installation(1)
    addresses = [installation.port() for _ in range(OTHERS)]
    drawn = set()
    for _ in range(OTHERS):
        with socket.create_server(("127.0.0.1", 0)) as other:
            drawn.add(other.getsockname())
    assert len(set(addresses)) == OTHERS and not drawn & set(addresses)
    with socket.socket() as other, pytest.raises(OSError) as raised:
        other.bind(addresses[0])
    assert raised.value.errno == errno.EADDRINUSE
    installation.reserved.release()


# Guards against a day that never ends: consoles were asked at 127.0.0.1, where no process listened.
def test_the_addresses_of_a_rig_are_at_its_own_host() -> None:
    rig = Rig(Plan())
    assert rig.port()[0] == rig.host != Installation.host
    rig.reserved.release()


def test_a_day_fails_if_a_running_process_does_not_answer_its_console(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(day, "UP", 0.0)
    silent = Day(Plan())
    with ReservedAddresses() as addresses:
        console = addresses.reserve()
        balancer = SimpleNamespace(name="n0", number=0, running=True, console=console)
        silent.rig.balancers = [balancer]  # type: ignore[list-item]
        with pytest.raises(SilentProcessError, match="n0 .* at 127.0.0.1:%d" % console[1]):
            asyncio.run(silent._up())


def test_a_server_may_listen_at_a_reserved_address_again_and_again() -> None:
    with ReservedAddresses() as addresses:
        address = addresses.reserve()
        for _ in range(2):
            with socket.create_server(address), socket.create_connection(address) as client:
                assert client.getpeername() == address
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address)
