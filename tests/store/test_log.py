"""Committed payloads are read back, nothing else is, and every loss is reported."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dykeshift.standins.disk import Disk
from dykeshift.store.files import Directory
from dykeshift.store.log import Log, LogError
from dykeshift.store.records import FILE_HEADER_BYTES, MARK, LogFormatError, encode, file_header, scan

KIND = b"t1"
PAYLOADS = st.lists(st.binary(max_size=40), max_size=8)


def image(payloads: list[bytes]) -> bytes:
    return file_header(KIND) + b"".join(map(encode, payloads))


@given(PAYLOADS)
def test_written_records_are_read_back(payloads: list[bytes]) -> None:
    found = scan(image(payloads), KIND)
    assert found.payloads == payloads and found.end == len(image(payloads)) and not found.torn


@given(PAYLOADS, st.data())
def test_a_file_truncated_anywhere_is_read_up_to_the_cut(payloads: list[bytes], data: st.DataObject) -> None:
    content = image(payloads)
    cut = data.draw(st.integers(0, len(content)))
    found = scan(content[:cut], KIND)
    assert found.payloads == payloads[: len(found.payloads)] and not found.holes
    assert found.end + found.torn == cut or cut < FILE_HEADER_BYTES
    assert scan(content[: found.end], KIND).payloads == found.payloads


@given(st.lists(st.binary(min_size=4, max_size=30), min_size=3, max_size=6), st.data())
def test_a_corrupt_byte_costs_only_its_record(payloads: list[bytes], data: st.DataObject) -> None:
    payloads = [p.replace(MARK, b"..") for p in payloads]
    corrupted = data.draw(st.integers(0, len(payloads) - 2))
    begin = len(image(payloads[:corrupted]))
    at = begin + data.draw(st.integers(0, len(encode(payloads[corrupted])) - 1))
    content = bytearray(image(payloads))
    content[at] ^= 0xFF
    found = scan(bytes(content), KIND)
    assert found.payloads == payloads[:corrupted] + payloads[corrupted + 1 :]
    assert found.holes == [(begin, begin + len(encode(payloads[corrupted])))]


@given(st.binary(max_size=200))
def test_any_bytes_are_read_or_rejected_as_foreign(data: bytes) -> None:
    for text in (data, file_header(KIND) + data):
        try:
            found = scan(text, KIND)
        except LogFormatError:
            continue
        assert found.end <= len(text) or found.end == FILE_HEADER_BYTES


@pytest.mark.parametrize(
    ("head", "expected"), [(b"GARBAGE!", "no log"), (b"LTLOG\x02t1", "version 2"), (b"LTLOG\x01zz", "b'zz'")]
)
def test_a_foreign_file_or_a_newer_format_is_not_changed(head: bytes, expected: str) -> None:
    disk = Disk()
    disk.seen["log"] = disk.kept["log"] = head + b"precious"
    with pytest.raises(LogFormatError, match=expected):
        Log(disk, "log", KIND).open()
    assert disk.seen["log"] == head + b"precious"


def test_commits_are_durable_and_a_reopened_log_appends_after_them(
    tmp_path_factory: pytest.TempPathFactory,
) -> None:
    folder = Directory(tmp_path_factory.mktemp("store"))
    for first in (0, 3):
        log = Log(folder, "log", KIND)
        assert log.open().payloads == [b"%d" % n for n in range(first)]
        for n in range(first, first + 3):
            log.append(b"%d" % n)
        assert log.commit() == 3 and log.commit() == 0
        log.close()
    log = Log(folder, "log", KIND)
    assert len(log.open().payloads) == 6
    log.compact([b"only"])
    log.append(b"more")
    log.commit()
    log.close()
    again = Log(folder, "log", KIND)
    assert again.open().payloads == [b"only", b"more"]
    again.close()


def test_a_torn_tail_is_cut_off_and_reported(tmp_path_factory: pytest.TempPathFactory) -> None:
    path = tmp_path_factory.mktemp("store")
    (path / "log").write_bytes(image([b"one", b"two"])[:-2])
    log = Log(Directory(path), "log", KIND)
    found = log.open()
    assert found.payloads == [b"one"] and found.torn == len(encode(b"two")) - 2 and not found.whole
    log.append(b"three")
    log.commit()
    log.close()
    assert scan((path / "log").read_bytes(), KIND).payloads == [b"one", b"three"]


@pytest.mark.parametrize("trouble", ["full", "read-only", "sync"])
def test_a_failed_log_accepts_nothing_more_and_says_why(trouble: str) -> None:
    disk = Disk()
    log = Log(disk, "log", KIND)
    log.open()
    log.append(b"kept")
    log.commit()
    disk.room = 40 if trouble == "full" else None
    disk.read_only, disk.sync_fails = trouble == "read-only", trouble == "sync"
    log.append(b"lost" * 10)
    with pytest.raises(LogError, match="cannot write log: "):
        log.commit()
    disk.room, disk.read_only, disk.sync_fails = None, False, False
    log.append(b"after")
    with pytest.raises(LogError):
        log.commit()
    with pytest.raises(LogError):
        log.compact([])
    again = Log(disk, "log", KIND)
    assert again.open().payloads[:1] == [b"kept"]


def test_a_directory_that_cannot_be_written_fails_at_open() -> None:
    disk = Disk()
    disk.read_only = True
    with pytest.raises(LogError, match="cannot open log: Read-only"):
        Log(disk, "log", KIND).open()
    with pytest.raises(LogError):
        Log(Directory(Path("/no/such/folder")), "log", KIND).open()


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("append"), st.binary(max_size=30)),
        st.tuples(st.just("commit"), st.just(b"")),
        st.tuples(st.just("compact"), st.just(b"")),
        st.tuples(st.just("cut"), st.just(b"")),
    ),
    max_size=30,
)


@settings(max_examples=200, deadline=None)
@given(STEPS, st.integers(0, 1000))
def test_after_any_power_cuts_committed_payloads_are_there_in_order(
    steps: list[tuple[str, bytes]], seed: int
) -> None:
    disk = Disk(seed)
    log = Log(disk, "log", KIND)
    log.open()
    committed, pending = list[bytes](), list[bytes]()
    for step, payload in [*steps, ("cut", b"")]:
        if step == "append":
            log.append(payload)
            pending.append(payload)
        elif step == "commit":
            log.commit()
            committed, pending = committed + pending, []
        elif step == "compact":
            log.compact(committed[-2:])
            committed = committed[-2:]
        else:
            disk.power_cut()
            log = Log(disk, "log", KIND)
            found = log.open().payloads
            assert found[: len(committed)] == committed
            assert found[len(committed) :] == pending[: len(found) - len(committed)]
            committed, pending = found, []


@given(st.binary(max_size=FILE_HEADER_BYTES))
def test_a_file_with_a_damaged_header_and_no_records_is_started_again(head: bytes) -> None:
    disk = Disk()
    disk.seen["log"] = disk.kept["log"] = head
    log = Log(disk, "log", KIND)
    assert log.open().payloads == [] and disk.seen["log"] == file_header(KIND)
