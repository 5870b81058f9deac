"""`lifttrail mllp`: send messages, play a server, make messages, look into a journal."""

from __future__ import annotations

import asyncio
import contextlib
import ipaddress
import json
import sys
from datetime import datetime, UTC
from pathlib import Path
from random import Random
from typing import Any

import click

from dykeshift.cli import Usage

MOST = 100_000


JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


@click.group(no_args_is_help=False)
def command() -> None:
    """Send, answer and make HL7 messages over MLLP; look into a journal."""


def _address(text: str, anywhere: bool = False) -> tuple[str, int]:
    from dykeshift.engine.config import read_address

    try:
        host, port = read_address(text)
        loopback = host == "localhost" or ipaddress.ip_address(host.strip("[]")).is_loopback
    except ValueError as exc:
        raise Usage(f"lifttrail mllp: {exc}") from None
    if not (loopback or anywhere):
        raise Usage(f"lifttrail mllp: {host} is not on this machine; --not-loopback allows it")
    return host.strip("[]"), port


def _read(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as exc:
        raise Usage(f"lifttrail mllp: cannot read {path}: {exc.strerror}") from None


def split_messages(data: bytes) -> list[bytes]:
    """The messages of a file: framed as on the wire, or as text with an empty line between; lines may end as
    they like. ValueError where there is none."""
    from dykeshift.standins import hl7

    if data[:1] == b"\x0b":
        blocks = hl7.Blocks()
        contents = [
            content
            for part in data.split(b"\x1c\r")
            if part.strip()
            for content in blocks.feed(part.lstrip(b"\r\n") + b"\x1c\r")
        ]
    else:
        text = data.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        parts = [part.strip(b"\n") for part in text.split(b"\n\n")]
        contents = [part.replace(b"\n", b"\r") + b"\r" for part in parts if part]
    for content in contents:
        hl7.read_note(content)
    if not contents:
        raise ValueError("there is no message")
    return contents


@command.command("send")
@click.argument("file")
@click.option("--to", required=True, metavar="HOST:PORT")
@click.option("--times", type=int, default=1, metavar="N", help="Send all so often, as resends.")
@click.option("--wait", type=float, default=5.0, metavar="S", help="Seconds for an acknowledgement.")
@click.option("--piece", type=int, default=0, metavar="N", help="Bytes a write; else all at once.")
@click.option("--cut", type=int, metavar="N", help="End the last frame after N bytes, and close.")
@click.option("--not-loopback", is_flag=True, help="HOST may be another machine's.")
@JSON
def send_file(
    file: str,
    to: str,
    times: int,
    wait: float,
    piece: int,
    cut: int | None,
    not_loopback: bool,
    as_json: bool,
) -> int:
    """Send the messages of FILE (framed, or with an empty line between) and show what comes back."""
    from dykeshift.standins.mllp_script import send

    address = _address(to, not_loopback)
    if not (1 <= times <= MOST and wait > 0 and piece >= 0):
        raise Usage(f"lifttrail mllp send: --times is 1 to {MOST}, --wait over 0, --piece 0 or more")
    try:
        contents = split_messages(_read(file))
    except ValueError as exc:
        raise Usage(f"lifttrail mllp send: {file}: {exc}") from None
    try:
        heard = asyncio.run(send(contents * times, address, wait, piece, cut))
    except OSError as exc:
        raise Usage(f"lifttrail mllp send: cannot connect to {to}: {exc.strerror or exc}") from None
    if as_json:
        print(json.dumps([{"control_id": h.control_id, "codes": h.codes, "end": h.end} for h in heard]))
    else:
        for one in heard:
            print(f"{one.control_id}: {' '.join(one.codes) or '-'} ({one.end})")
    good = all(one.end == "answered" and one.codes[-1][1] == "A" for one in heard)
    return 0 if good and len(heard) == len(contents) * times else 1


@command.command("serve")
@click.option("--script", "file", required=True, metavar="FILE", help="A line a message: AA, wait 1 AE, ...")
@click.option("--listen", default="127.0.0.1:0", metavar="HOST:PORT", show_default=True)
@click.option("--seconds", type=float, metavar="S", help="End after so long; else with Ctrl-C.")
@JSON
def serve(file: str, listen: str, seconds: float | None, as_json: bool) -> int:
    """Answer messages as a script says."""
    from dykeshift.standins.mllp_script import ScriptedServer, ScriptError, read_script

    host, port = _address(listen)
    try:
        script = read_script(_read(file).decode("utf-8", "replace"))
    except ScriptError as exc:
        raise Usage(f"lifttrail mllp serve: {file}: {exc}") from None

    def told(content: bytes, what: str) -> None:
        from dykeshift.standins.hl7 import read_note

        name = read_note(content).control_id
        row = {"control_id": name, "did": what}
        print(json.dumps(row) if as_json else f"{name}: {what}", flush=True)

    async def main() -> None:
        server = ScriptedServer(script, told=told)
        try:
            listening = await server.start(host, port)
        except OSError as exc:
            raise Usage(f"lifttrail mllp serve: cannot listen on {listen}: {exc.strerror}") from None
        print(f"listening on {server.address[0]}:{server.address[1]}", file=sys.stderr, flush=True)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await listening.serve_forever()

    asyncio.run(main())
    return 0


@command.command("make")
@click.option("--count", type=int, default=1, metavar="N", show_default=True)
@click.option("--seed", type=int, default=1, metavar="N", show_default=True)
def make(count: int, seed: int) -> int:
    """Write made-up messages to standard output."""
    from dykeshift.standins import hl7

    if not 1 <= count <= MOST:
        raise Usage(f"lifttrail mllp make: --count is 1 to {MOST}")
    made = datetime.now(UTC).strftime("%Y%m%d%H%M%S+0000")
    generator = hl7.Generator(Random(seed), made, f"CLINIC{seed}")
    for _ in range(count):
        sys.stdout.buffer.write(hl7.block(generator.note().content()))
    sys.stdout.buffer.flush()
    return 0


@command.command("journal")
@click.argument("directory")
@JSON
def journal(directory: str, as_json: bool) -> int:
    """Say what a journal holds and what of it is damaged (then it ends with 1). Nothing is changed."""
    from dykeshift.store.records import LogFormatError, scan

    try:
        from dykeshift.mllp.journal import KIND, STEM, replay
    except ImportError:
        raise Usage("lifttrail mllp journal needs the extra: pip install 'dykeshift[mllp]'") from None
    from dykeshift.mllp.memory import Bounds, Memory
    from dykeshift.store.log import Recovered
    from dykeshift.store.segments import RecoveredSegment

    folder, rows, found = Path(directory), list[dict[str, Any]](), list[RecoveredSegment]()
    try:
        paths = sorted(folder.glob(f"{STEM}-*.log"))
        if not folder.is_dir() or not paths:
            raise Usage(f"lifttrail mllp journal: there is no journal in {directory}")
        for number, path in enumerate(paths):
            data = path.read_bytes()
            got = scan(data, KIND)
            found.append(RecoveredSegment(number, Recovered(got.payloads, got.torn, got.holes, len(data))))
            rows.append(
                {
                    "file": path.name,
                    "bytes": len(data),
                    "records": len(got.payloads),
                    "cut_off_bytes": got.torn,
                    "damaged": got.holes,
                }
            )
        memory = Memory[None](0, Bounds(age=1 << 62, entries=1 << 40, bytes=1 << 50), complete=True)
        report = replay(found, memory, 0)
    except OSError as exc:
        raise Usage(f"lifttrail mllp journal: cannot read {directory}: {exc.strerror}") from None
    except LogFormatError as exc:
        raise Usage(f"lifttrail mllp journal: {path.name}: {exc}") from None
    if as_json:
        print(json.dumps({"files": rows, "answers": report.answered, "unanswered": report.unanswered}))
    else:
        for row in rows:
            holes = "".join(f", damaged {a}-{b}" for a, b in row["damaged"])
            torn = f", {row['cut_off_bytes']} bytes cut off at the end" if row["cut_off_bytes"] else ""
            print(f"{row['file']}: {row['records']} records, {row['bytes']} bytes{torn}{holes}")
        print(str(report))
    return 1 if report.torn or report.lost else 0
