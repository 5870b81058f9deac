"""The six console calls without sockets: their effect, their errors, and that an error changes nothing."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dykeshift.console import calls

KNOWN = ("s0", "s1", "ø")


class FakeBackend:
    def __init__(self) -> None:
        self.out: set[str] = set()
        self.draining = self.ending = False

    def figures(self) -> dict[str, Any]:
        return {"inflight": len(self.out)}

    def immediate_answer(self, path: bytes) -> bytes | None:
        return b'{"settled":true}' if path == b"/fleet" else None

    def deferred_call(self, method: bytes, path: bytes) -> calls.DeferredCall | None:
        return (lambda body, done: done(409, body)) if (method, path) == (b"PUT", b"/agree/propose") else None

    def enter(self, name: str) -> bool:
        if name in KNOWN:
            self.out.add(name)
        return name in KNOWN

    def exit(self, name: str) -> bool:
        self.out.discard(name)
        return name in KNOWN

    def standby(self) -> None:
        self.draining = True

    def active(self) -> bool:
        if not self.ending:
            self.draining = False
        return not self.ending

    def state(self) -> tuple[Any, ...]:
        return set(self.out), self.draining


def named(name: str) -> bytes:
    return json.dumps({"name": name}).encode()


CALLS = st.one_of(
    st.tuples(
        st.just(b"PUT"),
        st.sampled_from([b"/maintenance/enter", b"/maintenance/exit"]),
        st.sampled_from([named(n) for n in (*KNOWN, "s9", "")]),
    ),
    st.tuples(
        st.sampled_from([b"PUT", b"GET", b"POST"]),
        st.sampled_from([*calls.CALLS, b"/", b"/stand"]),
        st.sampled_from([b"", b"{", b"[]", b'{"name":7}', b'{"nam":"s0"}', named("s0"), b"[" * 9000]),
    ),
)


@given(st.lists(CALLS, max_size=30))
def test_every_call_has_one_answer_and_an_error_changes_nothing(
    requests: list[tuple[bytes, bytes, bytes]],
) -> None:
    backend, out, draining = FakeBackend(), set[str](), False
    for method, target, body in requests:
        before = backend.state()
        got = calls.answer(backend, method, target, body)
        if got.status != 200:
            assert backend.state() == before and got.body.count(b"\n") == 1 and got.status in (400, 404, 405)
            continue
        if target.startswith(b"/maintenance"):
            name = json.loads(body)["name"]
            (out.add if target.endswith(b"enter") else out.discard)(name)
        draining = target == b"/standby" or draining and target != b"/active"
        assert backend.state() == (out, draining)


@pytest.mark.parametrize(
    ("method", "target", "body", "status"),
    [
        (b"GET", b"/status", b"", 200),
        (b"GET", b"/status?verbose=1", b"", 200),
        (b"PUT", b"/status", b"", 405),
        (b"GET", b"/status/", b"", 404),
        (b"POST", b"/standby", b"", 405),
        (b"PUT", b"/maintenance/enter", named("s9"), 404),
        (b"PUT", b"/maintenance/exit", named("s9"), 404),
        (b"PUT", b"/maintenance/enter", named(""), 400),
        (b"PUT", b"/maintenance/enter", b"s0", 400),
        (b"PUT", b"/maintenance/enter", b"\xff", 400),
        (b"PUT", b"/maintenance/enter", b'["s0"]', 400),
    ],
)
def test_statuses(method: bytes, target: bytes, body: bytes, status: int) -> None:
    got = calls.answer(FakeBackend(), method, target, body)
    assert got.status == status
    assert (got.allow != b"") == (status == 405)


def test_a_ban_that_cannot_be_written_is_an_error() -> None:
    class Full(FakeBackend):
        def enter(self, name: str) -> bool:
            raise OSError(28, "No space left on device")

    got = calls.answer(Full(), b"PUT", b"/maintenance/enter", named("s0"))
    assert got.status == 500 and b"No space left" in got.body


def test_an_ending_process_cannot_leave_standby() -> None:
    backend = FakeBackend()
    backend.ending = True
    assert calls.answer(backend, b"PUT", b"/active", b"").status == 409


def test_calls_of_features_that_are_on_and_off() -> None:
    backend = FakeBackend()
    assert calls.answer(backend, b"GET", b"/fleet?x=1", b"").body == b'{"settled":true}\n'
    assert calls.answer(backend, b"PUT", b"/fleet", b"").status == 405
    off = calls.answer(backend, b"GET", b"/agree", b"")
    assert off.status == 404 and off.body.count(b"\n") == 1
    assert calls.answer(backend, b"GET", b"/agree/propose", b"").allow == b"PUT"
    got: list[calls.Answer] = []
    calls.respond(backend, b"PUT", b"/agree/propose", b"{}", got.append)
    calls.respond(backend, b"GET", b"/status", b"", got.append)
    assert [(a.status, a.body) for a in got] == [(409, b"{}\n"), (200, b"serving\n")]
