"""Decodes the traffic on a balancer's connections for the checker: requests, answers, discovery lists."""

from __future__ import annotations

import json
from functools import partial
from typing import Any

from dykeshift.sim import referee as rules
from dykeshift.sim.kernel import MS
from dykeshift.sim.installation import Node
from dykeshift.sim.net import Endpoint
from dykeshift.sim.scene import SimulationContext
from dykeshift.standins import hl7
from dykeshift.standins.messages import Message, MessageError, Messages


class ConnectionObserver:
    """Decodes both directions of one connection of a balancer."""

    def __init__(self, simulation: SimulationContext, endpoint: Endpoint) -> None:
        self.simulation, self.endpoint = simulation, endpoint
        self.requests, self.answers = Messages(), Messages()
        self.mllp = simulation.scenario.options.mllp_senders and endpoint.peer.host.name.startswith("10.1.")
        self.sent_frames, self.received_frames = hl7.Blocks(), hl7.Blocks()
        self.number = endpoint.address[1]
        self.request_started_at = 0
        self.rid = ""
        # Whether the balancer could tell, as this connection was opened, that its peer may be another process
        # than the one listed before it.
        self.change_visible: bool | None = None

    def _now(self) -> int:
        process = self.endpoint.process
        return self.simulation.world.now + (process.loop.round_elapsed if process is not None else 0)

    def _could_see_change(self, listed: str, by: int) -> bool:
        """Whether a sign that the listed process had ended came until then.

        The sign: the last connections to that process were closed by it, and none was open any more.
        """
        peer = self.endpoint.peer.address
        known = [
            one
            for one in self.simulation.connections_to(self.endpoint.process, peer)
            if one.peer_name() == listed
        ]
        last_opened = max((one.opened_at for one in known), default=0)
        ends = [one.ended_by_peer_at for one in known if one.ended_by_peer_at is not None]
        any_open = any(one.ended_by_peer_at is None and not one.closed for one in known)
        return not any_open and any(last_opened <= at <= by for at in ends)

    def _sees_change(self, node: Node, listed: str) -> bool:
        """Whether the balancer can tell by now that another process than the listed one has the address.

        Only what came before this round of its event loop counts.
        """
        before = self.simulation.world.now - 1
        told = node.instance_at.get(self._peer_address()) == self.endpoint.peer_name()
        return told and node.told_at <= before or self._could_see_change(listed, before)

    def _peer_address(self) -> str:
        host, port = self.endpoint.peer.address
        return f"{host}:{port}"

    def on_sent(self, node: Node, data: bytes) -> None:
        """Bytes from a balancer to a sender."""
        now, simulation = self._now(), self.simulation
        if self.requests.idle() and self.sent_frames.idle():
            self.request_started_at = now
        try:
            completed = self._requests(data)
        except ValueError as exc:
            simulation.checker.breach(rules.FAULT, now, f"{node.name} sends a sender malformed data: {exc}")
            return
        for request in completed:
            self.rid = request.headers.get("x-request-id", "")
            sender = simulation.by_name[self.endpoint.peer_name()]
            simulation.world.trace(f"{node.name} sends {self.rid} to {sender.name}")
            listed = node.instance_at.get(self._peer_address(), sender.name)
            mistaken = listed != sender.name
            address_reused = node.told_by_discovery and mistaken
            if self.change_visible is None:
                self.change_visible = mistaken and self._could_see_change(listed, self.endpoint.opened_at)
            simulation.checker.begun(self.request_started_at, node.name, sender.name, self.rid)
            if "x-deadline-ms" in request.headers:
                told = int(request.headers["x-deadline-ms"]) * MS
                simulation.checker.deadline_told(self.request_started_at, self.rid, told)
            if not address_reused:
                simulation.checker.first_byte(
                    self.request_started_at, node.name, sender.name, self.rid, mistaken
                )
            simulation.checker.written(
                now,
                self.rid,
                node.name,
                sender.name,
                sender.cell,
                self.number,
                float(request.query("cost") or 0),
                address_reused and not self.change_visible,
                partial(self._sees_change, node, listed),
            )

    def _requests(self, data: bytes) -> list[Message]:
        """Requests completed by `data`; a clinic's message is identified by its control id."""
        if self.mllp:
            return [hl7.as_request(content) for content in self.sent_frames.feed(data)]
        completed = self.requests.feed(data)
        for n, request in enumerate(completed):
            if request.headers.get("content-type") == hl7.MEDIA_TYPE:
                completed[n] = hl7.as_request(request.body, request.headers)
                name, rid = completed[n].headers["x-request-id"], request.headers.get("x-request-id", "")
                if self.simulation.http_request_ids.setdefault(name, rid) != rid:
                    self.simulation.checker.breach(
                        rules.FAULT, self._now(), f"{name} is sent to senders under two request ids"
                    )
        return completed

    def _acks(self, data: bytes) -> None:
        try:
            for content in self.received_frames.feed(data):
                code, control_id = hl7.read_ack(content)
                if code[1] == "R" and control_id == self.rid:
                    self.simulation.checker.disproved(self.number, self.rid)
        except ValueError:
            self.received_frames = hl7.Blocks()

    def on_sender_bytes(self, data: bytes) -> None:
        """Bytes from a sender to a balancer; tells the checker of answers that prove that nothing ran."""
        if self.mllp:
            self._acks(data)
            return
        try:
            for answer in self.answers.feed(data):
                if answer.status in (503, 504) and answer.headers.get("x-not-run") == "1":
                    self.simulation.checker.disproved(self.number, self.rid)
        except (MessageError, ValueError, IndexError):
            self.answers = Messages()

    def on_discovery_bytes(self, node: Node, data: bytes) -> None:
        """Bytes from discovery to a balancer; tells the checker which instances the balancer now knows."""
        try:
            for answer in self.answers.feed(data):
                if answer.status == 200:
                    self._told(node, json.loads(answer.body))
        except (MessageError, ValueError):
            self.answers = Messages()

    def _told(self, node: Node, rows: dict[str, Any]) -> None:
        simulation, now = self.simulation, self.simulation.world.now
        process = node.process
        if process is not None:
            now = max(now, process.stalled_until)  # a stalled balancer reads it only afterwards
        node.told_by_discovery, node.told_at = True, now
        listed = set[str]()
        what = " ".join(f"{r['instanceId']}:{r['lifecycle']}" for r in rows["instances"])
        if rows["reset"] or what:
            simulation.world.trace(f"{node.name} is told {'all: ' if rows['reset'] else ''}{what}")
        if rows["reset"]:
            node.instance_at.clear()
        for row in rows["instances"]:
            if row["lifecycle"] != "left":
                node.instance_at[row["hostPort"]] = row["instanceId"]
            listed.add(row["instanceId"])
            simulation.checker.told(
                now, node.name, row["instanceId"], row["lifecycle"] == "active", row["startedAtMs"] > 0
            )
        if rows["reset"]:
            simulation.checker.told_whole(now, node.name, listed)
