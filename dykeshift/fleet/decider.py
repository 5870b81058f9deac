"""What the model asks of a policy: the decision module's own methods, so that any two can be exchanged."""

from __future__ import annotations

from typing import Protocol

from dykeshift.interface import Action, AttemptEnd, Request, ServerList, Settings


class Decider(Protocol):
    """Every method takes the time (nanoseconds) and returns the actions to carry out (interface.py)."""

    def on_start(self, now: int) -> list[Action]: ...

    def on_list(self, now: int, update: ServerList) -> list[Action]: ...

    def on_request(self, now: int, request: Request) -> list[Action]: ...

    def on_attempt_end(self, now: int, end: AttemptEnd) -> list[Action]: ...

    def on_client_gone(self, now: int, request_id: str) -> list[Action]: ...

    def on_timer(self, now: int, token: str) -> list[Action]: ...


class Maker(Protocol):
    def __call__(self, settings: Settings, seed: int) -> Decider: ...
