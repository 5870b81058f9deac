import errno
import socket

import pytest

from dykeshift.rig.addresses import ReservedAddresses
from dykeshift.rig.installation import Installation

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


def test_a_server_may_listen_at_a_reserved_address_again_and_again() -> None:
    with ReservedAddresses() as addresses:
        address = addresses.reserve()
        for _ in range(2):
            with socket.create_server(address), socket.create_connection(address) as client:
                assert client.getpeername() == address
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address)
