"""The parts of consensus: datagrams, seats, log, records, linearizability checker, runner."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dykeshift.agree import keep, seats
from dykeshift.agree.core import Agree
from dykeshift.agree.log import Base, Entry, Log, Sort, pack_base, pack_seats, unpack_base
from dykeshift.agree.pieces import Assembly
from dykeshift.agree.shell import Runner
from dykeshift.agree.state import Options
from dykeshift.agree.wire import CHUNK, CHUNKED, FIELDS, Kind, Message, decode, encode
from dykeshift.clock import SYSTEM
from dykeshift.rig.linear import FOREVER, Operation, check
from dykeshift.view.wire import MAX_DATAGRAM, REASONS, DatagramError, Seal

SEAL = Seal("lifttrail", b"key")
U32 = st.integers(0, 2**32 - 1)
SIZES = {"ident": 64, "chain": 64, "sort": 8, "number": 16}


@st.composite
def messages(draw: st.DrawFn) -> Message:
    kind = draw(st.sampled_from(Kind))
    fields: dict[str, Any] = {
        name: draw(st.integers(0, 2 ** SIZES.get(name, 32) - 1)) for name in FIELDS[kind][1]
    }
    made = Message(
        kind,
        (draw(st.integers(0, 65535)), draw(U32)),
        (draw(U32), draw(st.integers(0, 65535)), draw(U32)),
        draw(U32),
        draw(st.integers(0, 65535)),
        **fields,
    )
    if kind in CHUNKED:
        made.chunk = draw(st.binary(max_size=CHUNK))
        made.length = min(made.offset + len(made.chunk) + draw(st.integers(0, 9)), 2**32 - 1)
        made.offset = min(made.offset, made.length - len(made.chunk))
    return made


@given(messages())
def test_message_round_trip(message: Message) -> None:
    data = encode(message, SEAL)
    assert len(data) <= MAX_DATAGRAM and decode(data, SEAL) == message
    for other in (Seal("lifttrail", b""), Seal("another", b"key")):
        with pytest.raises(DatagramError):
            decode(data, other)


@given(st.binary(max_size=300), messages(), st.integers(0, 255), st.integers(1, 255))
def test_any_bytes_decode_to_a_message_or_raise_bad(
    data: bytes, message: Message, at: int, flip: int
) -> None:
    whole = bytearray(encode(message, SEAL))
    whole[at % len(whole)] ^= flip
    for one in (data, bytes(whole)):
        with pytest.raises(DatagramError) as found:
            decode(one, SEAL)
        assert str(found.value) in REASONS
    spoilt = bytes(whole[:-8])
    try:
        decode(spoilt + SEAL.mac(spoilt), SEAL)  # malformed, but with a valid MAC
    except DatagramError as exc:
        assert str(exc) in REASONS


@given(st.binary(max_size=2000), st.randoms(use_true_random=False))
def test_chunks_in_any_order_are_reassembled(body: bytes, rng: Random) -> None:
    assembly, pieces = Assembly(), [(n, body[n : n + CHUNK]) for n in range(0, max(1, len(body)), CHUNK)]
    order = pieces * 3
    rng.shuffle(order)
    found = [
        w for w in (assembly.add((1,), len(body), at, chunk) for at, chunk in order + pieces) if w is not None
    ]
    assert found and set(found) == {body}


def test_quorums_of_adjacent_configurations_intersect() -> None:
    now = seats.Seats(tuple((n, 1) for n in range(5)))
    stages = [now, now.joint_change((0, 1), (0, 2)), now.joint_change((0, 1), (0, 2)).after_joint()]
    everybody = sorted(frozenset().union(*(s.all for s in stages)))
    for one, other in zip(stages, stages[1:], strict=False):
        for bits in range(1 << len(everybody)):
            yes = {s for n, s in enumerate(everybody) if bits >> n & 1}
            if one.quorum(lambda s, y=yes: s in y):  # type: ignore[misc]
                assert not other.quorum(lambda s, y=yes: s not in y)  # type: ignore[misc]
            has = {s: int(s in yes) for s in everybody}
            assert one.quorum_index(has.__getitem__) == int(one.quorum(lambda s, y=yes: s in y))  # type: ignore[misc]


@pytest.mark.parametrize(
    "voters, places, numbers",
    [(5, 200, (0, 40, 80, 120, 160)), (5, 4, (0, 1, 2)), (3, 3, (0, 1, 2)), (3, 1, (0,)), (5, 0, ())],
)
def test_initial_voters(voters: int, places: int, numbers: tuple[int, ...]) -> None:
    assert seats.drawn(voters, places) == numbers


def _log(count: int, base: Base | None = None) -> Log:
    log = Log(base or Base())
    for n in range(count):
        log.append(Entry(1, Sort.CHANGE, n + 1, b"%d" % n))
    return log


def test_log_from_a_base_agrees_with_the_complete_log() -> None:
    whole = _log(20)
    base = unpack_base(pack_base(whole.base_at(12, b"state")))
    rest = Log(base)
    for index in range(13, 21):
        rest.append(whole.entry(index))
    for index in range(12, 21):
        assert (rest.chain_at(index), rest.term_at(index), rest.version_at(index)) == (
            whole.chain_at(index),
            whole.term_at(index),
            whole.version_at(index),
        )
    assert [rest.committed_version(n, 15) for n in (3, 14, 18)] == [3, 14, None]
    whole.reset_to_base(base)
    assert (whole.last, whole.chain_at(20)) == (20, rest.chain_at(20))
    with pytest.raises(ValueError):
        rest.append(Entry(1, Sort.SEATS, 0, b"no seats"))
    assert rest.last == 20


def test_replayed_records_give_the_written_state() -> None:
    log = _log(6)
    records: list[tuple[Any, ...]] = [
        ("me", (7, 1, 9), 42),
        ("base", Base(wanted=3, now=((0, 42),))),
        ("vote", 3, (0, 42)),
    ]
    records += [("entry", log.entry(n)) for n in range(1, 7)] + [("cut", 5), ("vote", 4, None)]
    kept = keep.replay([keep.pack(r) for r in records])
    assert kept is not None and (kept.epoch, kept.birth, kept.term, kept.vote) == ((7, 1, 9), 42, 4, None)
    assert kept.log.last == 4 and kept.log.chain_at(4) == log.chain_at(4)
    again = keep.replay(keep.whole(kept))
    assert again is not None and (again.term, again.log.chain_at(4)) == (4, log.chain_at(4))
    for wrong in (
        [b"\xc1"],
        [keep.pack(("vote", 1, None))],
        [keep.pack(("me", (7, 1, 9), 1)), keep.pack(("what", 1))],
    ):
        with pytest.raises(keep.Spoilt):
            keep.replay(wrong)


def call(
    kind: str, start: int, end: int, version: int, body: bytes = b"", expect: int = 0, ok: bool = True
) -> Operation:
    return Operation(kind, start, end, body, expect, version, ok and kind == "propose")


FIRST = call("propose", 0, 10, 1, b"a")
HISTORIES = {
    "sequential": ([FIRST, call("read", 11, 12, 1, b"a")], True),
    "a read that sees a concurrent proposal": (
        [FIRST, call("read", 5, 6, 1, b"a"), call("read", 7, 8, 1, b"a")],
        True,
    ),
    "a read older than an earlier read": ([FIRST, call("read", 5, 6, 1, b"a"), call("read", 7, 8, 0)], False),
    "a stale read": ([FIRST, call("read", 11, 12, 0)], False),
    "two proposals committed as one version": ([FIRST, call("propose", 1, 9, 1, b"b")], False),
    "an unknown outcome, read later": (
        [call("propose", 0, FOREVER, 0, b"a"), call("read", 90, 91, 1, b"a")],
        True,
    ),
    "an unknown outcome, read and then gone": (
        [call("propose", 0, FOREVER, 0, b"a"), call("read", 50, 51, 1, b"a"), call("read", 60, 61, 0)],
        False,
    ),
    "refused, and read": (
        [call("propose", 0, 9, 1, b"b", ok=False), FIRST, call("read", 11, 12, 1, b"b")],
        False,
    ),
    "refused without a competing proposal": ([call("propose", 0, 9, 0, b"b", ok=False)], False),
    "a body that was never proposed": ([FIRST, call("read", 11, 12, 1, b"z")], False),
    "a skipped version": ([FIRST, call("propose", 11, 12, 3, b"c", 2)], False),
}


@pytest.mark.parametrize("name", HISTORIES)
def test_checker_rejects_histories_that_are_not_linearizable(name: str) -> None:
    operations, possible = HISTORIES[name]
    assert (check(operations) == "") is possible


def test_runner_persists_before_it_sends_and_sends_nothing_after_a_disk_failure() -> None:
    async def main() -> None:
        sent: list[Any] = []
        waiting: list[Any] = []
        core = Agree(Options(voters=1), SEAL, 0, {0: ("127.0.0.1", 1)}, Random(1), disk=True)
        runner = Runner(
            asyncio.get_running_loop(),
            SYSTEM,
            core,
            sent.extend,
            lambda event: None,
            lambda records, done: waiting.append(done),
        )
        runner.start()
        core.shared.send(runner.now(), 0, ("127.0.0.1", 2), Kind.ASK)
        runner.carry(core.on_timer(runner.now()))
        assert sent == [] and waiting
        while waiting:
            waiting.pop(0)(True)
        assert len(sent) == 1
        core.shared.persist("vote", 9, None)
        core.shared.send(runner.now(), 0, ("127.0.0.1", 2), Kind.ASK)
        runner.carry(core.on_timer(runner.now()))
        birth = core.shared.birth
        while waiting:
            waiting.pop(0)(False)
        assert core.shared.birth != birth and runner.keep is None and len(sent) == 1
        runner.close()

    asyncio.run(main())


def test_log_knows_the_seats_at_each_index() -> None:
    log = Log(Base(now=((0, 1),)))
    log.append(Entry(1, Sort.SEATS, 0, pack_seats(seats.Seats(((0, 1), (1, 1)), ((0, 1),)))))
    log.append(Entry(1, Sort.SEATS, 0, pack_seats(seats.Seats(((0, 1), (1, 1))))))
    assert not log.seats.joint and log.base_at(1, b"").seats.joint
    log.truncate(2)
    assert log.seats.joint and log.seats_index == 1
    log.truncate(1)
    assert log.seats.now == ((0, 1),)
