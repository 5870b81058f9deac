"""What the model asks of a policy: the decision module's own methods, so that any two can be exchanged."""

from __future__ import annotations

from typing import Protocol

from dykeshift.interface import Action, AttemptEnd, Request, ServerList, Settings


class Decider(Protocol):
    """Every method takes the time (nanoseconds) and returns the actions to carry out (interface.py)."""

    def on_start(self, now: int) -> list[Action]:
        """The process starts; nothing is known yet."""

    def on_list(self, now: int, update: ServerList) -> list[Action]:
        """Discovery tells a whole list or changes of it."""

    def on_request(self, now: int, request: Request) -> list[Action]:
        """A client's request arrives."""

    def on_attempt_end(self, now: int, end: AttemptEnd) -> list[Action]:
        """An attempt ended, with its outcome and perhaps a load report."""

    def on_client_gone(self, now: int, request_id: str) -> list[Action]:
        """The client of an open request has left."""

    def on_timer(self, now: int, token: str) -> list[Action]:
        """A timer that the policy had set is due."""


class Maker(Protocol):
    """Makes the policy of one balancer from the settings and a seed."""

    def __call__(self, settings: Settings, seed: int) -> Decider:
        """A policy that knows no server yet."""
