"""An asyncio event loop on virtual time: one for each process of the world.

Theory of operation. Each iteration, as in a real loop, first runs the timers that are due and the
connections that are ready, in an order drawn from the seed, then the callbacks queued with `call_soon`
before this iteration, in order. An iteration is an event of the world: at the next timer, when the kernel
has something to report, or at once if callbacks are queued. While the process is stalled there is no
iteration; everything that became due meanwhile runs in one iteration afterwards.

Within an iteration `time()` is constant, as on a real loop; the process's clock (`VirtualClock`) advances by
`callback_cost` with each callback, and the next iteration starts no earlier than this one ended.

The loop implements what asyncio's own primitives need (tasks, futures, timeouts, events, sleep) and the TCP
and UDP transports. Methods that the simulated programs do not use raise NotImplementedError, as the base
class does.
"""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import heapq
import math
from asyncio import events
from collections import deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from dykeshift.sim import net, transport
from dykeshift.sim.kernel import MS, SECOND, Process

EXIT_FAULT = 70  # exit code of a program whose main coroutine raised


class VirtualLoop(asyncio.AbstractEventLoop):
    """The event loop of one process; only these methods of asyncio's loop are implemented."""

    def __init__(self, process: Process) -> None:
        self.process = process
        self.world = process.world
        self.platform = process.world.platform
        self.net: net.Network | None = None  # set by `Network.attach`
        self.round_elapsed = 0  # nanoseconds that the callbacks of this iteration have taken so far
        self.uncaught_errors: list[str] = []
        self._draw = process.world.stream(f"loop/{process.name}").random
        self._ready: deque[asyncio.Handle] = deque()
        self._timers: list[tuple[int, float, int, asyncio.TimerHandle]] = []
        self._io: dict[Any, None] = {}  # sockets and transports that are ready; a dict keeps their order
        self._unflushed: dict[Any, None] = {}  # transports to flush at the end of the iteration
        self._signals: dict[int, tuple[Callable[..., object], tuple[Any, ...]]] = {}
        self._time = self._floor(process.world.now)
        self._wake: tuple[int, Any] | None = None
        self._count = 0
        self._running = False
        self._busy_until = 0
        self._main: asyncio.Task[Any] | None = None
        self.tasks: dict[asyncio.Task[Any], None] = {}  # tasks that are not done

    # ---- time ----

    def _floor(self, now: int) -> int:
        return now // MS * MS if self.platform.uvloop else now

    def time(self) -> float:
        """Seconds on the loop's clock, as of the start of the iteration."""
        return self._time / SECOND

    def pending_timers(self) -> int:
        """How many timers are set."""
        return sum(not handle.cancelled() for *_, handle in self._timers)

    # ---- iterations ----

    def wake(self, when: int | None = None) -> None:
        """Schedule an iteration at `when`, or as soon as possible."""
        if self._running or not self.process.alive:
            return  # the end of the running iteration schedules the next one
        when = max(self.world.now if when is None else when, self._busy_until, self.process.stalled_until)
        if self._wake is not None:
            if self._wake[0] <= when:
                return
            self._wake[1].cancel()
        self._wake = (when, self.world.at(when, self._iterate))

    def _iterate(self) -> None:
        self._wake = None
        if not self.process.alive:
            return
        if self.world.now < self.process.stalled_until:
            self.wake(self.process.stalled_until)
            return
        self._time, self.round_elapsed, self._running = self._floor(self.world.now), 0, True
        events._set_running_loop(self)
        try:
            self._run_once()
        finally:
            events._set_running_loop(None)
            self._running = False
        self._busy_until, self.round_elapsed = self.world.now + self.round_elapsed, 0
        if not self.process.alive:
            return
        if self._main is not None and self._main.done():
            self._main_done(self._main)
        elif self._ready or self._io:
            self.wake(self._busy_until)
        else:
            self._schedule_next_wake()

    def _run_once(self) -> None:
        due: list[Any] = []
        timers = self._timers
        while timers and timers[0][0] <= self._time:
            due.append(heapq.heappop(timers)[3])
        sockets, self._io = list(self._io), {}
        ready_count = len(self._ready)
        if len(due) + len(sockets) > 1:
            due = self._interleave(due, sockets)
        else:
            due += sockets
        for item in due:
            self._run_callback(item)
        for _ in range(ready_count if self.platform.uvloop else len(self._ready)):
            if not self._ready:
                break
            self._run_callback(self._ready.popleft())
        while self._unflushed and self.process.alive:
            unflushed, self._unflushed = list(self._unflushed), {}
            for item in unflushed:
                item.flush()

    def _interleave(self, timers: list[Any], sockets: list[Any]) -> list[Any]:
        """Draw the order of ready callbacks; only the order of the timers among themselves is kept."""
        sockets.sort(key=lambda _: self._draw())
        choice = self._draw()
        if choice < 0.4:
            return timers + sockets
        if choice < 0.8:
            return sockets + timers
        mixed = list[Any]()
        while timers and sockets:
            mixed.append((timers if self._draw() < 0.5 else sockets).pop(0))
        return mixed + timers + sockets

    def _run_callback(self, item: Any) -> None:
        if not self.process.alive:
            return
        if isinstance(item, asyncio.Handle):
            if item.cancelled():
                return
            item._run()
        else:
            try:
                item.report()
            except Exception as exc:
                self.call_exception_handler({"message": "in a transport's callback", "exception": exc})
        self.round_elapsed += self.process.callback_cost

    def _schedule_next_wake(self) -> None:
        while self._timers and self._timers[0][3].cancelled():
            heapq.heappop(self._timers)
        if self._timers:
            self.wake(max(self._timers[0][0], self.world.now))

    def mark_ready(self, socket: Any) -> None:
        """See `kernel.ProcessLoop`."""
        if self.process.alive:
            self._io[socket] = None
            self.wake()

    def at_end_of_iteration(self, item: Any) -> None:
        """See `kernel.ProcessLoop`."""
        self._unflushed[item] = None
        self.wake()

    # ---- the program ----

    def start(self, main: Coroutine[Any, Any, Any]) -> None:
        """Run a program; the process exits when its main coroutine ends."""
        self._main = self.create_task(main)

    def _main_done(self, main: asyncio.Task[Any]) -> None:
        error = None if main.cancelled() else main.exception()
        if error is not None:
            self.uncaught_errors.append(f"the program ended: {type(error).__name__}: {error}")
        self.process.exit(EXIT_FAULT if error is not None else 0)

    def discard(self) -> None:
        """See `kernel.ProcessLoop`."""
        self._ready.clear()
        self._timers.clear()
        self._io.clear()
        self._unflushed.clear()
        tasks, self.tasks = self.tasks, {}
        for task in tasks:  # close the coroutines now: when the garbage collector would is not deterministic
            with contextlib.suppress(RuntimeError, ValueError):
                task.get_coro().close()
        if self._wake is not None:
            self._wake[1].cancel()
            self._wake = None

    def deliver_signal(self, number: int) -> None:
        """See `kernel.ProcessLoop`."""
        handler = self._signals.get(number)
        if handler is None:
            self.process.pending_signals.append(number)  # blocked until there is a handler
            return
        self._append(asyncio.Handle(handler[0], handler[1], self, None))

    # ---- asyncio's loop interface ----

    def _append(self, handle: asyncio.Handle) -> None:
        if self.process.alive:
            self._ready.append(handle)
            self.wake()

    def call_soon(  # type: ignore[override]
        self,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """See `asyncio.AbstractEventLoop`."""
        handle = asyncio.Handle(callback, args, self, context)
        self._append(handle)
        return handle

    def call_later(  # type: ignore[override]
        self,
        delay: float,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """See `asyncio.AbstractEventLoop`; rounds to milliseconds where the platform is uvloop."""
        if self.platform.uvloop:
            due = self._time + round(max(0.0, delay) * 1000) * MS
        else:
            due = self._time + math.ceil(max(0.0, delay) * SECOND)
        handle = asyncio.TimerHandle(due / SECOND, callback, args, self, context)
        if self.process.alive:
            self._count += 1
            heapq.heappush(self._timers, (due, self._draw(), self._count, handle))
            self.wake(due)
        return handle

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """See `asyncio.AbstractEventLoop`."""
        return self.call_later(when - self.time(), callback, *args, context=context)

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        pass  # the handle stays in the heap until it is due, and does nothing then

    def create_future(self) -> asyncio.Future[Any]:
        """See `asyncio.AbstractEventLoop`."""
        return asyncio.Future(loop=self)

    def create_task(
        self, coro: Any, *, name: str | None = None, context: contextvars.Context | None = None
    ) -> asyncio.Task[Any]:
        """See `asyncio.AbstractEventLoop`; in a dead process the task never runs."""
        if not self.process.alive:
            coro.close()
            return _DeadTask(self)  # type: ignore[return-value]
        task = asyncio.Task(coro, loop=self, name=name or "task", context=context)
        self.tasks[task] = None
        task.add_done_callback(self._task_done)
        return task

    def _task_done(self, task: asyncio.Task[Any]) -> None:
        self.tasks.pop(task, None)

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Record an uncaught exception, for the simulation to report."""
        if not self.process.alive:
            return
        exc = context.get("exception")
        self.uncaught_errors.append(f"{context.get('message')}: {type(exc).__name__}: {exc}")

    def default_exception_handler(self, context: dict[str, Any]) -> None:
        """See `asyncio.AbstractEventLoop`."""
        self.call_exception_handler(context)

    def get_debug(self) -> bool:
        """See `asyncio.AbstractEventLoop`; never in debug mode."""
        return False

    def is_running(self) -> bool:
        """See `asyncio.AbstractEventLoop`."""
        return self._running

    def is_closed(self) -> bool:
        """Whether its process has died."""
        return not self.process.alive

    def add_signal_handler(  # type: ignore[override]
        self,
        sig: int,
        callback: Callable[..., object],
        *args: Any,
    ) -> None:
        """See `asyncio.AbstractEventLoop`; signals that arrived before are delivered now."""
        self._signals[sig] = (callback, args)
        pending, self.process.pending_signals = self.process.pending_signals, []
        for number in pending:
            self.deliver_signal(number)

    def remove_signal_handler(self, sig: int) -> bool:
        """See `asyncio.AbstractEventLoop`."""
        return self._signals.pop(sig, None) is not None

    # ---- network ----

    def _network(self) -> net.Network:
        assert self.net is not None, "the process's host is on no network"
        return self.net

    async def create_connection(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **kwargs: Any
    ) -> tuple[transport.TcpTransport, Any]:
        """See `asyncio.AbstractEventLoop`; the connect and the protocol's start can each be cancelled."""
        endpoint = await self._network().connect(self.process, (str(host), int(port)))
        protocol = protocol_factory()
        created = transport.TcpTransport(self, endpoint, protocol)
        waiter = self.create_future()
        self.call_soon(created.begin, waiter)
        try:
            await waiter
        except BaseException:
            created.close()
            raise
        return created, protocol

    async def create_server(  # type: ignore[override]
        self,
        protocol_factory: Any,
        host: Any = None,
        port: Any = None,
        *,
        backlog: int = 100,
        **kwargs: Any,
    ) -> transport.VirtualServer:
        """See `asyncio.AbstractEventLoop`; `host` and `port` only."""
        listener = self._network().listen(self.process, (str(host), int(port)), backlog)
        return transport.VirtualServer(self, listener, protocol_factory)

    async def create_datagram_endpoint(
        self, protocol_factory: Any, local_addr: Any = None, remote_addr: Any = None, **kwargs: Any
    ) -> tuple[Any, Any]:
        """See `asyncio.AbstractEventLoop`."""
        port = self._network().bind_datagrams(self.process, local_addr)
        protocol = protocol_factory()
        created = transport.UdpTransport(self, port, protocol, remote_addr)
        self.call_soon(protocol.connection_made, created)
        return created, protocol


async def virtual_listen(
    loop: asyncio.AbstractEventLoop,
    factory: Any,
    address: tuple[str, int],
    backlog: int,
    inherited: Any = None,
) -> transport.VirtualServer:
    """See `engine.listener.Listen`; inherited listeners are not simulated."""
    assert isinstance(loop, VirtualLoop) and inherited is None
    return await loop.create_server(factory, *address, backlog=backlog)


@dataclass(slots=True, eq=False)
class Program(Process):
    """A process with its event loop."""

    loop: VirtualLoop = field(init=False)

    def __post_init__(self) -> None:
        self.loop = VirtualLoop(self)  # type: ignore[abstract]  # typeshed marks all of asyncio's defaults so
        Process.__post_init__(self)


class _DeadTask:
    """Returned by `create_task` in a dead process: accepts every call and does nothing."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop

    def __getattr__(self, name: str) -> Any:
        return lambda *args, **kwargs: None
