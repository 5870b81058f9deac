"""The feature `[view]` in the daemon: two balancers, its console call, bad options, switched off."""

from __future__ import annotations

import asyncio
import json
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any, cast

import msgspec
import pytest

from dykeshift.clock import SYSTEM
from dykeshift.engine import config
from dykeshift.engine.config import ConfigError
from dykeshift.node import features
from dykeshift.node import view as feature
from dykeshift.node.features import Features, Host
from tests.node.messages import answer
from tests.node.stubs import Node, Stub, answers_with, configuration, node, run, wait_until

KEYS = {
    "self",
    "incarnation",
    "settled",
    "since_s",
    "at_least",
    "at_most",
    "digest",
    "periods",
    "members",
    "sent",
    "dropped",
}


def ports(count: int) -> list[str]:
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    found = ["%s:%d" % one.getsockname() for one in sockets]
    for one in sockets:
        one.close()
    return found


def on(**options: Any) -> Features:
    chosen = msgspec.convert({"period_s": 0.05, "lease_s": 5.0, **options}, feature.Options)
    return Features(((feature, chosen),))


def service(balancer: Node) -> feature.Service:
    return next(s for s in balancer.services if isinstance(s, feature.Service))


def test_two_balancers_see_each_other_and_one_leaves() -> None:
    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()
        peers = ports(2)
        a = node(stub, beside=on(), name="a", peer_listen=peers[0], peers=peers)
        b = node(stub, beside=on(), name="b", peer_listen=peers[1], peers=peers)
        async with a as first, b as second:
            one, two = service(first), service(second)
            await wait_until(lambda: one.view.settled and one.view.standing.at_least == 2)
            reply = json.loads(one.host.offers.immediate_calls[b"/fleet"]())
            assert reply.keys() >= KEYS
            assert [(m["name"], m["number"], m["state"]) for m in reply["members"]] == [
                ("a", 0, "alive"),
                ("b", 1, "alive"),
            ]
            assert one.figures()["at_most"] == 2
            two.close()
            await wait_until(lambda: one.view.standing.at_most == 1)
            one.close()

    run(main())


@pytest.mark.parametrize(
    "section, expected",
    [
        ("lease_s = 1.0\nperiod_s = 0.5", "lease_s is under 40 periods"),
        ("key = '" + "é" * 20 + "'", "32 bytes"),
        ("period = 1", "period"),
        ("datagrams_s = 1.0", "datagrams_s"),
    ],
)
def test_bad_options_are_reported_in_one_line(tmp_path: Path, section: str, expected: str) -> None:
    path = tmp_path / "f.toml"
    path.write_text(f"[view]\n{section}\n")
    with pytest.raises(ConfigError, match=expected):
        features.load(str(path), True, None)


def test_an_empty_section_switches_it_on_and_it_is_not_imported_when_off(tmp_path: Path) -> None:
    path = tmp_path / "f.toml"
    path.write_text("[view]\n")
    assert features.load(str(path), True, None).peering()
    code = "import sys, dykeshift.node.__main__; sys.exit(any('view' in name for name in sys.modules))"
    assert subprocess.run([sys.executable, "-c", code]).returncode == 0


def test_a_configuration_without_peers_is_an_error() -> None:
    async def main() -> None:
        given = config.parse(configuration(("127.0.0.1", 1), None), True)
        host = Host(asyncio.get_running_loop(), SYSTEM, given, cast(Any, None), cast(Any, None))
        with pytest.raises(ConfigError, match="peer_listen"):
            await feature.start(feature.Options(), host)

    run(main())
