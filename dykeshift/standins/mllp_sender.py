"""A stand-in sender that speaks MLLP: the same sender behind another kind of connection."""

from __future__ import annotations

from dykeshift.standins import hl7
from dykeshift.standins.messages import Message
from dykeshift.standins.sender import Link

_CODES = {200: "AA", 500: "AE", 404: "AE", 503: "AR"}


class MllpLink(Link):
    """A connection from a balancer."""

    def __init__(self, *args: object) -> None:
        super().__init__(*args)  # type: ignore[arg-type]
        self.blocks = hl7.Blocks()
        self.number = 0

    def data_received(self, data: bytes) -> None:
        """Take each whole message as a request."""
        try:
            for content in self.blocks.feed(data):
                self.open_requests += 1
                Turn(self, hl7.read_note(content)).take(hl7.as_request(content))
        except ValueError:
            self.abort()

    def own_id(self) -> str:
        """A control id for the next acknowledgement."""
        self.number += 1
        return f"{self.sender.name}-{self.number}"

    def _idle(self) -> bool:
        return self.blocks.idle()


class Turn:
    """One message on a connection, and the answers to it: to the sender, a connection of its own."""

    def __init__(self, link: MllpLink, note: hl7.Note) -> None:
        self.link, self.note = link, note
        self.accept, self.application = hl7.MODES[note.mode]

    def take(self, request: Message) -> None:
        """Accept the message where its sender wants that, and hand it to the sender."""
        sender = self.link.sender
        if self.accept == "AL" and not sender.draining and not sender.full():
            self._say("CA")
            if self.application == "NE":
                self.link.free()  # for its client all is said
        sender.take(self, request)  # type: ignore[arg-type]

    def here(self) -> bool:
        """Whether the connection is still open."""
        return self.link.here()

    def abort(self) -> None:
        """Reset the connection."""
        self.link.abort()

    def answer(self, status: int, body: bytes, headers: dict[str, str] | None = None) -> None:
        """Acknowledge with the code that stands for the HTTP status."""
        if status == 503 and self.accept == "AL":
            self._say("CR")
        elif self.application == "NE":
            return
        else:
            self._say(_CODES[status])
        self.link.free()

    def _ack(self, code: str) -> bytes:
        return hl7.ack(code, self.note.control_id, self.link.own_id())

    def _say(self, code: str) -> None:
        self.link.raw(hl7.block(self._ack(code)))

    def garble(self, body: bytes) -> None:
        """Write something that is no sound acknowledgement of this message."""
        good = self._ack("AA")
        self.link.raw(
            self.link.sender.rng.choice(
                [
                    b"\x00\xff\x13garbage",
                    b"HTTP/1.1 200 OK\r\n\r\n",
                    hl7.block(good.replace(b"MSA|", b"MSB|")),
                    hl7.block(good.replace(self.note.control_id.encode(), b"another-one")),
                    b"\x0b" + good + b"\x1c\x1c\x0d",
                    b"\x0b" + good + hl7.block(good),
                    b"\x0b" + good,
                    hl7.block(good.replace(b"|AA|", b"|XX|")),
                    hl7.block(b""),
                ]
            )
        )

    def extra(self, body: bytes) -> None:
        """Write a sound acknowledgement with something before or behind it."""
        good = hl7.block(self._ack("AA"))
        self.link.raw(
            self.link.sender.rng.choice(
                [
                    good + good,
                    good + b"noise",
                    good + b"\x0b",
                    b"\r\n" + good,
                    hl7.block(self._ack("CA")) + good,
                ]
            )
        )
        self.link.free()
