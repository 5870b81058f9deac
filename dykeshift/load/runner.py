"""A load over several processes, and what they counted as one result."""

from __future__ import annotations

import asyncio
import ipaddress
import multiprocessing
import time
from collections.abc import Callable
from multiprocessing.connection import Connection, wait
from typing import Any

import msgspec

from dykeshift import __version__
from dykeshift.load.drive import Drive
from dykeshift.load.schedule import Load, LoadError
from dykeshift.load.tally import Tally
from dykeshift.load.transports import connect

LEAD_S = 0.3  # until the first is due: all processes are up by then
TOLD_S = 0.2  # between two words of a process on how far it is


def resolve(address: str, anywhere: bool) -> tuple[str, int]:
    """Host and port; LoadError where it is none, or not on this machine without leave."""
    host, colon, port = address.rpartition(":")
    host = host.strip("[]")
    if not colon or not port.isdecimal() or not 0 < int(port) < 65536:
        raise LoadError(f"{address!r} is no address such as 127.0.0.1:8080")
    try:
        here = host == "localhost" or ipaddress.ip_address(host).is_loopback
    except ValueError:
        here = False
    if not here and not anywhere:
        raise LoadError(f"{host} is not on this machine; --not-loopback allows it")
    return host, int(port)


def run(load: Load, to: tuple[str, int], seen: Callable[[int], None]) -> dict[str, Any]:
    """The figures of one run; `seen` is told how many errands have ended."""
    begin = time.monotonic() + LEAD_S * (1 if load.processes == 1 else 4)
    tally = Tally(tuple(k.name for k in load.kinds))
    if load.processes == 1:
        count = [0]

        def one(ended: int) -> None:
            count[0] += ended
            seen(count[0])

        tally.add(asyncio.run(_drive(load, 0, to, begin, one)))
    else:
        for packed in _spread(load, to, begin, seen):
            tally.add(packed)
    figures = tally.figures(time.monotonic() - begin)
    return {"load": msgspec.to_builtins(load), "version": __version__, **figures}


async def _drive(
    load: Load, part: int, to: tuple[str, int], begin: float, seen: Callable[[int], None]
) -> dict[str, Any]:
    transport = connect(load, *to)
    try:
        loop = asyncio.get_running_loop()
        drive = Drive(load, part, transport, seen)
        await drive.run(loop.time() + begin - time.monotonic())
        return drive.tally.pack()
    finally:
        await transport.close()


def _part(load: Load, part: int, to: tuple[str, int], begin: float, pipe: Connection) -> None:
    """One process: says how far it is now and then, and at the end what it counted."""
    count, told = [0], [0.0]

    def seen(ended: int) -> None:
        count[0] += ended
        if time.monotonic() - told[0] > TOLD_S:
            told[0] = time.monotonic()
            pipe.send(count[0])

    pipe.send(asyncio.run(_drive(load, part, to, begin, seen)))
    pipe.close()


def _spread(
    load: Load, to: tuple[str, int], begin: float, seen: Callable[[int], None]
) -> list[dict[str, Any]]:
    context = multiprocessing.get_context("forkserver")
    pipes, processes = list[Connection](), []
    for part in range(load.processes):
        ours, theirs = context.Pipe(duplex=False)
        process = context.Process(target=_part, args=(load, part, to, begin, theirs), daemon=True)
        process.start()
        theirs.close()
        pipes.append(ours)
        processes.append(process)
    done, counts, open_pipes = [], dict[int, int](), list(pipes)
    while open_pipes:
        for ready in wait(open_pipes):
            assert isinstance(ready, Connection)
            try:
                word = ready.recv()
            except EOFError:
                open_pipes.remove(ready)
                continue
            if isinstance(word, int):
                counts[pipes.index(ready)] = word
                seen(sum(counts.values()))
            else:
                done.append(word)
    for process in processes:
        process.join()
    if len(done) < load.processes:
        raise LoadError(f"{load.processes - len(done)} of the load's processes died; nothing is reported")
    return done
