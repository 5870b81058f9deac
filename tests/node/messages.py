"""Messages that the tests' clients, upstreams and discovery exchange: requests, answers, lists."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any


@dataclass
class Message:
    start: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:] if line)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(lines[0], headers, body)


async def read_frame(reader: asyncio.StreamReader) -> Message:
    frame = await reader.readuntil(b"\x1c\r")
    return Message("", {}, frame.partition(b"\x0b")[2][:-2])


def answer(body: bytes = b"done", status: str = "200 OK", **headers: str) -> bytes:
    extra = "".join(f"{k.replace('_', '-')}: {v}\r\n" for k, v in headers.items())
    return f"HTTP/1.1 {status}\r\n{extra}Content-Length: {len(body)}\r\n\r\n".encode() + body


def instance(name: str, address: tuple[str, int], state: str = "active", **changes: Any) -> dict[str, Any]:
    return {
        "instanceId": name,
        "hostPort": f"{address[0]}:{address[1]}",
        "zone": "a",
        "machineType": "m",
        "cell": 1,
        "lifecycle": state,
        "weight": 1.0,
        "startedAtMs": 0,
        **changes,
    }


def listing(generation: int, whole: bool, *instances: dict[str, Any]) -> dict[str, Any]:
    return {"generation": generation, "reset": whole, "instances": list(instances)}


def request(
    klass: str = "send",
    rid: str = "r1",
    deadline: int | str = 4000,
    body: bytes = b"hello",
    method: str | None = None,
    **headers: str,
) -> bytes:
    fields = {"Host": "backend.local", "X-Request-Id": rid, "X-Class": klass, "X-Deadline-Ms": str(deadline)}
    if klass == "set":
        fields["Idempotency-Key"] = f"k-{rid}"
    method = method or ("GET" if klass == "check" else "POST")
    if method == "POST":
        fields["Content-Length"] = str(len(body))
    fields.update({k.replace("_", "-"): v for k, v in headers.items()})
    head = f"{method} /api?x=1 HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields.items())
    return head.encode() + b"\r\n" + (body if method == "POST" else b"")
