"""Clients are served while the folder shared by the processes of a balancer cannot be written or read."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest

from tests.faults.daemon import daemon
from tests.faults.fault_control import FILE_ERRORS, FaultControl, Kind
from tests.node.messages import answer, request
from tests.node.stubs import Stub, answers_with, run, wait_until


@pytest.mark.parametrize("share", [1.0, 0.5])
def test_a_process_with_an_inherited_listener_serves_though_the_folder_cannot_be_written(
    share: float, tmp_path: Path
) -> None:
    """It accepted clients for a moment and then ended with a traceback."""

    async def main() -> None:
        stub = await Stub(answers_with(answer())).start()

        def before(faults: FaultControl) -> None:
            faults.fail(Kind.FILE_CALL, share, FILE_ERRORS)

        with socket.create_server(("127.0.0.1", 0)) as listener:
            async with daemon(tmp_path, stub, before=before, inherited=listener) as balancer:
                for turn in range(20):
                    assert (await balancer.ask(request(rid=f"r{turn}"))).body == b"done"
                balancer.faults.calm()
                shared = tmp_path / "shared"
                await wait_until(
                    lambda: any(p.name.startswith("lifttrail-serving-") for p in shared.iterdir())
                )
                assert "Traceback" not in balancer.log()
                assert share < 1.0 or balancer.log().count("cannot be used") == 1
                balancer.process.terminate()
                assert await balancer.ended() == 0

    run(main())
