"""SIGTERM that comes at a bad moment of a day: as it ends, or into a wait that swallows the cancelling."""

from __future__ import annotations

import asyncio
import os
import signal
from contextlib import suppress

import pytest

from dykeshift.rig.ending import Ending


def tell() -> None:
    os.kill(os.getpid(), signal.SIGTERM)


def test_a_signal_as_the_day_has_ended_ends_the_process() -> None:
    """A process of the rig took it for the day's and waited for its next one, and whoever ended it for it."""
    before = signal.getsignal(signal.SIGTERM)

    async def day(ending: Ending) -> None:
        ending.bind()

    with pytest.raises(KeyboardInterrupt), Ending() as ending:
        asyncio.run(day(ending))
        tell()
    assert signal.getsignal(signal.SIGTERM) is before


def test_a_fault_in_what_is_being_stopped_is_no_way_on() -> None:
    with pytest.raises(KeyboardInterrupt), Ending():
        tell()
        raise OSError("planted")


def test_a_cancelling_that_a_wait_took_for_its_own_is_heard_at_the_next_look() -> None:
    steps = []

    async def day(ending: Ending) -> None:
        ending.bind()
        for n in range(3):
            with suppress(asyncio.CancelledError):
                asyncio.get_running_loop().call_soon(tell)
                await asyncio.get_running_loop().create_future()
            steps.append(n)
            ending.look()

    with pytest.raises(asyncio.CancelledError), Ending() as ending:
        asyncio.run(day(ending))
    assert steps == [0]


def test_a_day_that_nobody_ends_gives_what_it_gives() -> None:
    async def day(ending: Ending) -> int:
        ending.bind()
        ending.look()
        return 7

    with Ending() as ending:
        assert asyncio.run(day(ending)) == 7
