"""A scripted MLLP client and server: what a clinic or a sender does, word by word, with faults at any byte.

A server's script says, a line for each message that comes, what becomes of it; the last line holds for all
that follow. Words of a line are done in order:

    AA AE AR CA CE CR    that acknowledgement        wrong-id       an AA with another MSA-2
    wait SECONDS         a pause                     garbage        bytes that are no MLLP
    silent               nothing, and no more        unframed       an AA without its block characters
    close, reset         the connection ends         cut N          N bytes of an AA, then a close

An empty line or one that begins with `#` is skipped.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from dykeshift.standins import hl7

CODES = ("AA", "AE", "AR", "CA", "CE", "CR")
PLAIN = ("wrong-id", "garbage", "unframed", "silent", "close", "reset")
Step = tuple[str, float]


class ScriptError(ValueError):
    """One line: where the script can't be read."""


def read_script(text: str) -> list[list[Step]]:
    """The steps of each line; ScriptError names the line that is wrong."""
    lines = list[list[Step]]()
    for number, line in enumerate(text.splitlines(), 1):
        words = line.split()
        if words and not words[0].startswith("#"):
            lines.append(_steps(number, words))
    if not lines:
        raise ScriptError("the script holds no line")
    return lines


def _steps(number: int, words: list[str]) -> list[Step]:
    steps, rest = list[Step](), iter(words)
    for word in rest:
        if word in CODES or word in PLAIN:
            steps.append((word, 0.0))
            continue
        if word not in ("wait", "cut"):
            raise ScriptError(f"line {number}: {word!r} is not known")
        text = next(rest, "")
        try:
            value = float(text)
        except ValueError:
            value = -1.0
        if not 0 <= value <= 86_400:
            raise ScriptError(f"line {number}: {word} is followed by {text!r}, not by a number")
        steps.append((word, value))
    return steps


@dataclass(eq=False)
class ScriptedServer:
    """Accepts connections and does what the script says; `told` hears each message and step."""

    script: list[list[Step]]
    seen: list[bytes] = field(default_factory=list)  # messages in the order in which they came
    told: Callable[[bytes, str], None] = lambda content, what: None
    address: tuple[str, int] = ("", 0)

    async def start(self, host: str, port: int) -> asyncio.Server:
        """Listen on `host` and `port`, 0 for any; `address` says where."""
        server = await asyncio.start_server(self._serve, host, port)
        self.address = server.sockets[0].getsockname()[:2]
        return server

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        blocks = hl7.Blocks()
        try:
            while data := await reader.read(65536):
                for content in blocks.feed(data):
                    line = self.script[min(len(self.seen), len(self.script) - 1)]
                    self.seen.append(content)
                    self.told(content, " ".join(word for word, _ in line))
                    if not await self._do(line, content, writer):
                        return
        except (ValueError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _do(self, line: list[Step], content: bytes, writer: asyncio.StreamWriter) -> bool:
        """Whether the connection goes on."""
        control_id = hl7.read_note(content).control_id
        for word, value in line:
            good = hl7.ack(word if word in CODES else "AA", control_id, f"S{len(self.seen)}")
            if word in CODES:
                writer.write(hl7.block(good))
            elif word == "wrong-id":
                writer.write(hl7.block(hl7.ack("AA", f"{control_id}-not", f"S{len(self.seen)}")))
            elif word == "wait":
                await asyncio.sleep(value)
            elif word in ("garbage", "unframed"):
                writer.write(b"\x00\xff no MLLP" if word == "garbage" else good)
            elif word == "reset":
                writer.transport.abort()
                return False
            elif word in ("close", "cut"):
                writer.write(hl7.block(good)[: int(value)])
                return False
        return True


@dataclass(frozen=True, slots=True)
class Heard:
    """What came back for one frame: codes in their order, and how it ended if without one."""

    control_id: str
    codes: list[str]
    end: str  # "answered", "closed" or "silent"


async def send(
    contents: list[bytes], to: tuple[str, int], wait: float, piece: int = 0, cut: int | None = None
) -> list[Heard]:
    """Send frames one after another on one connection, each once the one before is answered.

    `piece`: bytes a write, 0 for all at once; `cut`: the last frame ends after so many bytes, then the
    connection is closed. OSError where there is no connection.
    """
    reader, writer = await asyncio.open_connection(*to)
    heard, blocks = list[Heard](), hl7.Blocks()
    try:
        for number, content in enumerate(contents, 1):
            data = hl7.block(content)
            if cut is not None and number == len(contents):
                writer.write(data[:cut])
                await writer.drain()
                heard.append(Heard(hl7.read_note(content).control_id, [], "closed"))
                break
            for at in range(0, len(data), piece or len(data)):
                writer.write(data[at : at + (piece or len(data))])
                await writer.drain()
            heard.append(await _hear(reader, blocks, content, wait))
            if heard[-1].end != "answered":
                break
    finally:
        writer.close()
    return heard


async def _hear(reader: asyncio.StreamReader, blocks: hl7.Blocks, content: bytes, wait: float) -> Heard:
    note, codes = hl7.read_note(content), list[str]()
    application = hl7.MODES[note.mode][1] == "AL"
    try:
        async with asyncio.timeout(wait):
            while data := await reader.read(65536):
                for answer in blocks.feed(data):
                    codes.append(hl7.read_ack(answer)[0])
                if codes and (codes[-1] != "CA" or not application):
                    return Heard(note.control_id, codes, "answered")
    except TimeoutError:
        return Heard(note.control_id, codes, "silent")
    except (ConnectionError, ValueError):
        pass
    return Heard(note.control_id, codes, "closed")
