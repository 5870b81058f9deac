"""Whether a history of proposals and reads could have happened one at a time, in an order that keeps what
ended
before something else began: linearizability, by Wing and Gong's search with Lowe's memo of states seen.

The object is a register with versions: a proposal with body b and expected version v turns (v, x) into
(v + 1, b); one that is turned down changes nothing, and was right only where the version was not v; a read
says the version and the body. What nobody heard an answer to may have happened at any time later, or never.
"""

from __future__ import annotations

from dataclasses import dataclass

State = tuple[int, bytes]
FOREVER = 1 << 62


@dataclass(eq=False, slots=True)
class Operation:
    """Times in any unit. `end` FOREVER: no answer was heard."""

    kind: str  # propose, read
    start: int
    end: int = FOREVER
    body: bytes = b""  # proposed, or read
    expect: int = 0
    version: int = 0  # committed as, or read
    ok: bool = False  # of a proposal that was answered: committed
    sent: bool = True  # of one that was turned down: others could have seen it
    ident: int = 0


def step(state: State, operation: Operation) -> State | None:
    """What it turns the state into; None: it could not have happened then, with the answer it got."""
    version, body = state
    if operation.kind == "read":
        return (
            state
            if operation.end == FOREVER or (version, body) == (operation.version, operation.body)
            else None
        )
    if operation.end == FOREVER or operation.ok:
        if version != operation.expect or operation.end != FOREVER and operation.version != version + 1:
            return None
        return version + 1, operation.body
    return state if version != operation.expect or not operation.sent else None


def check(operations: list[Operation], start: State = (0, b"")) -> str:
    """Empty where an order exists; else which operation no order gets past."""
    needed = sorted(
        (o for o in operations if not (o.end == FOREVER and o.kind == "read")), key=lambda o: (o.start, o.end)
    )
    left = {id(o): n for n, o in enumerate(needed)}
    must = sum(1 << left[id(o)] for o in needed if o.end != FOREVER)
    seen = set[tuple[int, State]]()
    stack: list[tuple[int, State]] = [(0, start)]
    furthest, stuck = -1, ""
    while stack:
        done, state = stack.pop()
        done, rest = _idle(needed, left, done, state)
        if done & must == must:
            return ""
        if (done & must, state) in seen:
            continue
        seen.add((done & must, state))
        if bin(done & must).count("1") > furthest:
            furthest = bin(done & must).count("1")
            stuck = _tell(rest, state)
        for operation in rest:
            after = step(state, operation)
            if after is not None and after != state:
                stack.append((done | 1 << left[id(operation)], after))
    return stuck


def _idle(
    needed: list[Operation], left: dict[int, int], done: int, state: State
) -> tuple[int, list[Operation]]:
    """Whatever may come next and changes nothing comes at once: nothing that follows can be the worse for
    it."""
    while True:
        rest = _next(needed, done)
        now = [o for o in rest if step(state, o) == state]
        if not now:
            return done, rest
        for operation in now:
            done |= 1 << left[id(operation)]


def _next(needed: list[Operation], done: int) -> list[Operation]:
    """Those that may come next: begun before any that is left has ended; the first to end is tried first."""
    found, horizon = list[Operation](), FOREVER + 1
    for number, operation in enumerate(needed):
        if operation.start > horizon:
            break
        if not done >> number & 1:
            horizon = min(horizon, operation.end)
            found.append(operation)
    return sorted((o for o in found if o.start <= horizon), key=lambda o: -o.end)


def _tell(rest: list[Operation], state: State) -> str:
    ended = min((o for o in rest if o.end != FOREVER), key=lambda o: o.end, default=None)
    if ended is None:
        return "nothing is left"
    got = f"committed as {ended.version}" if ended.ok else "turned down"
    what = f"proposal on version {ended.expect}, {got}"
    if ended.kind == "read":
        what = f"read version {ended.version}"
    return f"{what}, from {ended.start} to {ended.end}: the register has version {state[0]} then"
