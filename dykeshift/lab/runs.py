"""Runs of an experiment, kept in a directory: a line of JSON for each cell once it is played.

Theory of operation. `head.json` says which plan and code the directory belongs to; it is written before the
first result. `results.jsonl` only grows; a kill can cut its last line, which is cut away at the next
start and played again. A cell whose key is there is not played twice. Other code or another plan: refused.
"""

from __future__ import annotations

import json
import multiprocessing
import os
import time
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path
from typing import Any

from dykeshift import __version__
from dykeshift.lab.plan import Cell, Plan, PlanError, cells, code_digest, parse
from dykeshift.lab.subjects import run

HEAD, RESULTS = "head.json", "results.jsonl"
Row = dict[str, Any]  # labels, policy, seed, figures, took_s


def execute(plan: Plan, text: str, out: Path, jobs: int, seen: Callable[[int, Row], None]) -> list[Row]:
    """Play what is missing; `seen` is told of each result with the number that is there by then."""
    _claim(plan, text, out)
    done = {row["key"] for row in _recover(out / RESULTS)}
    todo = [cell for cell in cells(plan) if cell.key not in done]
    count = len(done)
    with (out / RESULTS).open("a", encoding="utf-8") as file:
        for row in _spread(plan.subject, todo, jobs):
            file.write(json.dumps(row, separators=(",", ":")) + "\n")
            file.flush()
            os.fsync(file.fileno())
            count += 1
            seen(count, row)
    return load(out)[1]


def _claim(plan: Plan, text: str, out: Path) -> None:
    """Make the directory this experiment's, or see that it is."""
    head = {"plan": text, "code": code_digest(plan), "version": __version__}
    try:
        out.mkdir(parents=True, exist_ok=True)
        if not (out / HEAD).exists():
            fresh = out / (HEAD + ".new")
            fresh.write_text(json.dumps(head), encoding="utf-8")
            fresh.replace(out / HEAD)
            return
        held = json.loads((out / HEAD).read_text(encoding="utf-8"))
    except OSError as exc:
        raise PlanError(f"cannot use {out}: {exc.strerror}") from None
    except ValueError:
        raise PlanError(f"{out / HEAD} is damaged: not an experiment's directory") from None
    if held.get("plan") != text:
        raise PlanError(f"{out} holds results of another plan; give another --out")
    if held.get("code") != head["code"]:
        raise PlanError(
            f"{out} holds results of other code ({held.get('code')}, this is {head['code']}); "
            "give another --out"
        )


def _recover(path: Path) -> list[Row]:
    """The whole lines; a torn last one is cut off."""
    if not path.exists():
        return []
    data = path.read_bytes()
    whole = data.rfind(b"\n") + 1
    if whole < len(data):
        with path.open("r+b") as file:
            file.truncate(whole)
    return _rows(data[:whole], path)


def _rows(data: bytes, path: Path) -> list[Row]:
    rows = []
    for number, line in enumerate(data.splitlines(), 1):
        try:
            rows.append(json.loads(line))
        except ValueError:
            raise PlanError(f"{path}, line {number} is damaged") from None
    return rows


def load(out: Path) -> tuple[Plan, list[Row], str]:
    """The plan, the results there are, and the code's digest, of a directory."""
    try:
        head = json.loads((out / HEAD).read_text(encoding="utf-8"))
        plan = parse(head["plan"], str(out / HEAD))
        path = out / RESULTS
        data = path.read_bytes() if path.exists() else b""
    except OSError as exc:
        raise PlanError(f"{out} is no experiment's directory: {exc.strerror}") from None
    except (ValueError, KeyError) as exc:
        raise PlanError(f"{out / HEAD} is damaged: {exc}") from None
    rows = _rows(data[: data.rfind(b"\n") + 1], path)
    order = {cell.key: n for n, cell in enumerate(cells(plan))}
    return plan, sorted((r for r in rows if r["key"] in order), key=lambda r: order[r["key"]]), head["code"]


def _play(subject: str, cell: Cell) -> Row:
    began = time.monotonic()
    figures = run(subject, cell)
    return {
        "key": cell.key,
        "labels": cell.labels,
        "policy": cell.policy,
        "seed": cell.seed,
        "figures": figures,
        "took_s": round(time.monotonic() - began, 3),
    }


def _spread(subject: str, todo: list[Cell], jobs: int) -> Iterator[Row]:
    # Real processes share the cores that they are measured on: one run at a time.
    if jobs <= 1 or len(todo) <= 1 or subject == "processes":
        yield from (_play(subject, cell) for cell in todo)
        return
    with multiprocessing.get_context("forkserver").Pool(jobs, maxtasksperchild=4) as pool:
        yield from pool.imap_unordered(partial(_play, subject), todo)
