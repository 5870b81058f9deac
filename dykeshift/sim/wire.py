"""What passes on a balancer's connections, read from outside: requests to senders, proofs, lists."""

from __future__ import annotations

import json
from typing import Any

from dykeshift.sim import referee as rules
from dykeshift.sim.kernel import MS
from dykeshift.sim.installation import Node
from dykeshift.sim.net import Endpoint
from dykeshift.sim.scene import Scene
from dykeshift.standins import hl7
from dykeshift.standins.messages import Message, MessageError, Messages


class Wire:
    """What passes on one connection of a balancer, read from outside."""

    def __init__(self, day: Scene, endpoint: Endpoint) -> None:
        self.day, self.endpoint = day, endpoint
        self.requests, self.answers = Messages(), Messages()
        self.mllp = day.scenario.options.mllp_senders and endpoint.peer.host.name.startswith("10.1.")
        self.out_blocks, self.back_blocks = hl7.Blocks(), hl7.Blocks()
        self.number = endpoint.address[1]
        self.began = 0
        self.rid = ""

    def _now(self) -> int:
        process = self.endpoint.process
        return self.day.world.now + (process.loop.spent if process is not None else 0)

    def out(self, node: Node, data: bytes) -> None:
        """Bytes from a balancer to a sender or to discovery."""
        now, day = self._now(), self.day
        if self.requests.idle() and self.out_blocks.idle():
            self.began = now
        try:
            whole = self._requests(data)
        except ValueError as exc:
            day.referee.breach(rules.FAULT, now, f"{node.name} writes to a sender what cannot be read: {exc}")
            return
        for request in whole:
            self.rid = request.headers.get("x-request-id", "")
            sender = day.by_name[self.endpoint.peer_name()]
            day.world.note(f"{node.name} sends {self.rid} to {sender.name}")
            at = f"{self.endpoint.peer.address[0]}:{self.endpoint.peer.address[1]}"
            mistaken = node.living.get(at, sender.name) != sender.name
            blind = node.confirmed and mistaken
            day.referee.begun(self.began, node.name, sender.name, self.rid)
            if "x-deadline-ms" in request.headers:
                told = int(request.headers["x-deadline-ms"]) * MS
                day.referee.deadline_told(self.began, self.rid, told)
            if not blind:
                day.referee.first_byte(self.began, node.name, sender.name, self.rid, mistaken)
            day.referee.written(
                now,
                self.rid,
                node.name,
                sender.name,
                sender.cell,
                self.number,
                float(request.query("cost") or 0),
                blind,
            )

    def _requests(self, data: bytes) -> list[Message]:
        """What has become whole; a clinic's message goes by its control id."""
        if self.mllp:
            return [hl7.as_request(content) for content in self.out_blocks.feed(data)]
        whole = self.requests.feed(data)
        for n, request in enumerate(whole):
            if request.headers.get("content-type") == hl7.MEDIA_TYPE:
                whole[n] = hl7.as_request(request.body, request.headers)
                name, rid = whole[n].headers["x-request-id"], request.headers.get("x-request-id", "")
                if self.day.rids.setdefault(name, rid) != rid:
                    self.day.referee.breach(rules.FAULT, self._now(), f"{name} goes to senders under two ids")
        return whole

    def _acks(self, data: bytes) -> None:
        try:
            for content in self.back_blocks.feed(data):
                code, control_id = hl7.read_ack(content)
                if code[1] == "R" and control_id == self.rid:
                    self.day.referee.disproved(self.number, self.rid)
        except ValueError:
            self.back_blocks = hl7.Blocks()

    def back(self, data: bytes) -> None:
        """Bytes from a sender to a balancer: what they prove goes to the referee."""
        if self.mllp:
            self._acks(data)
            return
        try:
            for answer in self.answers.feed(data):
                if answer.status in (503, 504) and answer.headers.get("x-not-run") == "1":
                    self.day.referee.disproved(self.number, self.rid)
        except (MessageError, ValueError, IndexError):
            self.answers = Messages()

    def list(self, node: Node, data: bytes) -> None:
        """Bytes from discovery to a balancer: what they tell goes to the referee."""
        try:
            for answer in self.answers.feed(data):
                if answer.status == 200:
                    self._told(node, json.loads(answer.body))
        except (MessageError, ValueError):
            self.answers = Messages()

    def _told(self, node: Node, rows: dict[str, Any]) -> None:
        day, now = self.day, self.day.world.now
        process = node.process
        if process is not None:
            now = max(now, process.stalled_until)  # it can know only once it runs again
        node.confirmed = True
        listed = set[str]()
        what = " ".join(f"{r['instanceId']}:{r['lifecycle']}" for r in rows["instances"])
        if rows["reset"] or what:
            day.world.note(f"{node.name} is told {'all: ' if rows['reset'] else ''}{what}")
        if rows["reset"]:
            node.living.clear()
        for row in rows["instances"]:
            if row["lifecycle"] != "left":
                node.living[row["hostPort"]] = row["instanceId"]
            listed.add(row["instanceId"])
            day.referee.told(
                now, node.name, row["instanceId"], row["lifecycle"] == "active", row["startedAtMs"] > 0
            )
        if rows["reset"]:
            day.referee.told_whole(now, node.name, listed)
