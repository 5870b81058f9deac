"""When requests are due and what they are: drawn before the first is sent, free of I/O.

Open loop (Schroeder et al., NSDI 2006): requests come when they are due, whatever became of those before.
A request's time counts from when it was due, not from when this machine got round to sending it, so that a
stall of the balancer or of this machine is in the figures (Tene, "How not to measure latency").
"""

from __future__ import annotations

from typing import Annotated, Literal

import numpy as np
from msgspec import Meta, Struct

MOST_RATE = 50_000.0  # requests a second
MOST_REQUESTS = 10_000_000
MOST_SECONDS = 86_400.0
MOST_PROCESSES = 64


class LoadError(ValueError):
    """What was asked for cannot be done as asked; one line."""


class Kind(Struct, frozen=True):
    """A class of requests. `kind` goes by the protocol page: GET; POST with a key; POST."""

    name: str
    share: float
    kind: Literal["safe", "keyed", "unsafe"]
    deadline_ms: float


KINDS = (
    Kind("status-check", 0.5, "safe", 1000),
    Kind("reminder-set", 0.3, "keyed", 800),
    Kind("sms-send", 0.2, "unsafe", 1500),
)


class Load(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One run. Rates are requests a second, times seconds but for deadlines."""

    address: str
    protocol: Literal["http", "mllp"] = "http"
    shape: Literal["poisson", "constant", "steps", "trace", "closed"] = "poisson"
    rate: Annotated[float, Meta(ge=0, le=MOST_RATE)] = 50.0
    seconds: Annotated[float, Meta(gt=0, le=MOST_SECONDS)] = 10.0
    steps: tuple[tuple[float, float], ...] = ()  # rate, seconds
    trace: tuple[float, ...] = ()  # when each is due
    clients: Annotated[int, Meta(ge=1, le=10_000)] = 10  # of the closed loop
    think_s: Annotated[float, Meta(ge=0)] = 0.0
    kinds: tuple[Kind, ...] = KINDS
    retries: Annotated[int, Meta(ge=0, le=10)] = 0
    processes: Annotated[int, Meta(ge=1, le=MOST_PROCESSES)] = 1
    path: str = "/api"
    cost_ms: float = 0.0  # told to stand-in senders as `cost=` in the query; 0: no query
    seed: int = 1

    def __post_init__(self) -> None:
        if abs(sum(k.share for k in self.kinds) - 1) > 1e-6:
            raise ValueError("the classes' shares do not add up to 1")
        if self.shape == "steps" and not self.steps or self.shape == "trace" and not self.trace:
            raise ValueError(f"the shape {self.shape} needs its {self.shape}")
        if any(rate > MOST_RATE for rate, _ in self.steps):
            raise ValueError(f"a step has more than {MOST_RATE:g} requests a second")
        if self.shape != "closed" and self.expected() > MOST_REQUESTS:
            raise ValueError(f"more than {MOST_REQUESTS} requests")

    def span(self) -> float:
        """Seconds until the last is due."""
        if self.shape == "steps":
            return sum(s for _, s in self.steps)
        return max(self.trace) if self.shape == "trace" else self.seconds

    def expected(self) -> float:
        """How many requests the load comes to, on average for random arrivals."""
        if self.shape == "steps":
            return sum(r * s for r, s in self.steps)
        return len(self.trace) if self.shape == "trace" else self.rate * self.seconds


class Order(Struct, frozen=True):
    """One errand: due at so many seconds from the start, of a class."""

    number: int
    due: float
    kind: int


def draw(load: Load) -> list[Order]:
    """All errands of an open loop, in their order. The same seed draws the same."""
    stream = np.random.default_rng(np.random.SeedSequence(load.seed))
    if load.shape == "trace":
        due = np.sort(np.asarray(load.trace, dtype=np.float64))
    elif load.shape == "constant":
        due = np.arange(int(load.rate * load.seconds)) / load.rate
    else:
        parts, start = [], 0.0
        for rate, seconds in load.steps if load.shape == "steps" else ((load.rate, load.seconds),):
            parts.append(np.sort(start + stream.random(stream.poisson(rate * seconds)) * seconds))
            start += seconds
        due = np.concatenate(parts)
    kinds = draw_kinds(load, len(due), stream)
    return [Order(n, float(at), k) for n, (at, k) in enumerate(zip(due, kinds, strict=True))]


def draw_kinds(load: Load, count: int, rng: np.random.Generator) -> list[int]:
    """The kind of each of `count` requests, by number, drawn by the kinds' shares."""
    shares = np.array([k.share for k in load.kinds])
    drawn: list[int] = rng.choice(len(shares), count, p=shares / shares.sum()).tolist()
    return drawn
