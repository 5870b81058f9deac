"""Types that frontends, driver and carriers exchange about a request, independent of the protocol."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import Any, Protocol

from dykeshift.engine.bodies import Bytes, Message


class FinalStatus(Enum):
    """How a request ended."""

    SERVED = auto()
    REFUSED = auto()  # not executed, so that a retry is safe
    FAILED = auto()  # it may have been executed
    LATE = auto()  # no answer in time: it may have been executed, or may still be


class UpstreamAnswer(Protocol):
    """An upstream's answer, in the form that every frontend can pass on."""

    @property
    def content_type(self) -> bytes:
        """A media type (RFC 9110, section 8.3)."""

    @property
    def body(self) -> Bytes:
        """The body, or its beginning if `rest` is set."""

    @property
    def rest(self) -> Any:
        """A `bodies.BodyStream` if `body` is only the beginning; else None."""

    @property
    def length(self) -> int | None:
        """Bytes of the whole body, if `rest` is set and the length is known."""


@dataclass(frozen=True, slots=True)
class Final:
    """A final answer."""

    status: FinalStatus
    answer: Any = None  # an `UpstreamAnswer` if SERVED
    retry_after: int = 0  # nanoseconds, if REFUSED; 0: not given


FAILED, LATE = Final(FinalStatus.FAILED), Final(FinalStatus.LATE)


class SubmittedRequest(Protocol):
    """A request as a frontend submits it to the driver."""

    @property
    def id(self) -> str:
        """Unique for each request."""

    @property
    def klass(self) -> int:
        """Position of its class in the settings."""

    @property
    def client_timeout(self) -> int:
        """The client's timeout in nanoseconds, from the request's arrival."""

    @property
    def cost_hint(self) -> int:
        """Expected work in nanoseconds; 0: unknown."""

    @property
    def retry(self) -> bool:
        """Whether its client marked it as a retry."""

    @property
    def body(self) -> Any:
        """The payload without protocol framing: bytes, or an `Upload` that is still being received."""

    @property
    def early(self) -> bool:
        """Whether its body is still being received and not buffered, so that it can be sent only once."""

    @property
    def streams(self) -> bool:
        """Whether its frontend can stream an answer that is not complete yet."""

    def message(self, left: int) -> Message:
        """The message for an upstream; `left`: nanoseconds left until the deadline."""
