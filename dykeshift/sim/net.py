"""The virtual kernel's network: TCP as programs can tell it, UDP as it is.

Theory of operation. A TCP connection is two `Endpoint`s. What one writes leaves in segments, each with a
delay of its own, and arrives in order. An endpoint's kernel buffer holds what has arrived and was not read;
what is under way or unread in a direction never exceeds `Flavour.buffer`, so a reader that stops stops its
writer. Closing is told in order, behind the data; with unread input it is a reset, and so is data for what
is closed. A reset ends both directions.

A host that has vanished or a link that is cut says nothing: segments wait and go on once it is mended, as
retransmissions would; a host that was started anew since then answers them with a reset.

Connects: refused where nobody listens, silent where nothing answers or the backlog is full, otherwise up
as soon as the kernel says so, whether or not the program ever accepts or reads.

Datagrams may be lost, late, doubled and out of order; `Weather` says how often.
"""

from __future__ import annotations

import asyncio
import errno
import zlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from dykeshift.sim.kernel import MS, Host, Process, World

Address = tuple[str, int]
FIN, RST = "FIN", "RST"
RETRY = 200 * MS  # how soon after a link is mended what waited on it arrives


@dataclass(slots=True)
class Weather:
    """How the network treats what crosses it; faults change it."""

    same_zone: int = MS // 5  # nanoseconds one way
    cross_zone: int = MS
    spike: float = 0.0  # part of the segments that are late by `spike_by`
    spike_by: int = 100 * MS
    udp_loss: float = 0.0
    udp_double: float = 0.0
    udp_delay: int = 20 * MS


class Listener:
    """A socket that listens: the kernel completes connects on it while there is room in its backlog."""

    def __init__(self, net: Network, process: Process, address: Address, backlog: int) -> None:
        self.net, self.process, self.address, self.backlog = net, process, address, backlog
        self.waiting: deque[Endpoint] = deque()
        self.accept: Callable[[Endpoint], None] | None = None
        self.number = process.open(self)
        self.open = True

    def report(self) -> None:
        """Hand connections that wait to the program."""
        while self.open and self.waiting and self.process.alive:
            endpoint = self.waiting.popleft()
            if self.process.full():
                # As libuv does with a full table: it is accepted on a spare descriptor and closed.
                endpoint.shut()
                continue
            endpoint.own(self.process)
            if self.accept is not None:
                self.accept(endpoint)

    def close(self) -> None:
        """Stop listening; connections that wait are reset."""
        if self.open:
            self.open = False
            self.process.forget(self.number)
            self.net.listeners.pop(self.address, None)
            for endpoint in self.waiting:
                endpoint.shut(reset=True)
            self.waiting.clear()

    process_died = close


class Endpoint:
    """One end of a TCP connection, as the kernel keeps it."""

    __slots__ = (
        "net",
        "host",
        "epoch",
        "process",
        "number",
        "address",
        "peer",
        "received",
        "ended",
        "error",
        "closed",
        "sent_end",
        "under_way",
        "last",
        "transport",
        "written",
        "held",
        "label",
        "unsent",
        "owner",
        "consumed",
        "arrived",
        "next_out",
        "next_in",
        "early",
    )

    def __init__(self, net: Network, host: Host, address: Address, label: str) -> None:
        self.net, self.host, self.epoch, self.address, self.label = net, host, host.epoch, address, label
        self.process: Process | None = None
        self.number = 0
        self.owner = ""
        self.peer: Endpoint = self
        self.received = bytearray()
        self.ended = False  # the other side has ended its sending
        self.error: OSError | None = None
        self.closed = False  # by its program, or with it
        self.sent_end = False
        self.under_way = 0  # bytes that it has sent and the other side has not read
        self.last = 0  # when the latest of its segments arrives
        self.transport: object | None = None
        self.written = 0
        self.arrived = net.world.now  # when bytes last came
        self.consumed = 0  # bytes that its program has read
        self.held: list[bytes | str] = []  # segments that wait for a link or a host
        self.unsent = False
        self.next_out = self.next_in = 0  # segments: the next that leaves, that may arrive
        self.early: dict[int, bytes | str] = {}  # arrived before one that left earlier

    def peer_name(self) -> str:
        """The process that the other end belongs to, or belonged to."""
        return self.peer.owner or self.peer.label.partition("~")[0]

    # ---- its program's side ----

    def own(self, process: Process) -> None:
        """Belong to a process from now on."""
        self.process = process
        self.owner = process.name
        self.number = process.open(self)

    def room(self) -> int:
        """Bytes that may be written now."""
        return max(0, self.net.flavour.buffer - self.under_way)

    def write(self, data: bytes) -> int:
        """As much as the kernel takes; 0 when its buffer is full or the connection is over."""
        if self.closed or self.sent_end or self.error is not None:
            return 0
        piece = data[: self.room()]
        if not piece:
            self.unsent = True
            return 0
        self.unsent = len(piece) < len(data)
        self.under_way += len(piece)
        self.written += len(piece)
        if self.net.tap is not None:
            self.net.tap(self, piece)
        cut = self.net.cutter(self, piece) if self.net.cutter is not None else None
        if cut is None:
            self._segments(piece)
            return len(piece)
        if cut:
            self._segments(piece[:cut])
        self._send(RST)
        self.peer._send(RST)
        return len(piece)

    def _segments(self, data: bytes) -> None:
        net = self.net
        if len(data) > 1 and net.draw() < net.flavour.tear:
            at = 1 + int(net.draw() * (len(data) - 1))
            self._send(data[:at])
            self._segments(data[at:])
        else:
            self._send(data)

    def end(self) -> None:
        """Half-close: nothing more is sent."""
        if not self.sent_end and not self.closed:
            self.sent_end = True
            self._send(FIN)

    def shut(self, reset: bool = False) -> None:
        """Close: what the kernel has taken still leaves, unless input is unread or a reset is wanted."""
        if self.closed:
            return
        self.closed = True
        if self.process is not None:
            self.process.forget(self.number)
        if self.error is None and not (self.ended and self.sent_end):
            if reset or self.received:
                self._send(RST)
            elif not self.sent_end:
                self.sent_end = True
                self._send(FIN)
        self.received.clear()

    def process_died(self) -> None:
        """Killed: the protocol page has its connections reset."""
        self.shut(reset=self.net.draw() < 0.8)

    def read(self) -> bytes:
        """Take what has arrived, `Flavour.read_size` bytes at most."""
        data = bytes(self.received[: self.net.flavour.read_size])
        del self.received[: len(data)]
        self.consumed += len(data)
        if data:
            self.peer.taken(len(data))
        return data

    def taken(self, size: int) -> None:
        """The other side has read `size` bytes: its writer may go on."""
        self.under_way -= size
        if self.unsent and not self.closed:
            self.unsent = False
            self.net.world.after(self.net.delay(self.peer.host, self.host), self._notify)

    def has_input(self) -> bool:
        """Whether data, an end or an error waits to be read."""
        return bool(self.received) or self.ended or self.error is not None

    # ---- the wire ----

    def _send(self, what: bytes | str) -> None:
        if self.held or not self.net.linked(self.host, self.peer.host) or not self.host.up:
            self.held.append(what)
            self.net.holding[self] = None
            return
        loop_spent = self.process.loop.spent if self.process is not None else 0
        when = self.net.world.now + loop_spent + self.net.delay(self.host, self.peer.host)
        spike = self.net.weather.spike
        if spike and not (self.host.steady or self.peer.host.steady) and self.net.draw() < spike:
            when += self.net.weather.spike_by
        self.last = max(when, self.last)
        self.net.world.at(self.last, self._arrive_in_order, what, self.next_out)
        self.next_out += 1

    def _arrive_in_order(self, what: bytes | str, number: int) -> None:
        """Segments of one instant come in a drawn order, but a stream's bytes do not."""
        if number != self.next_in:
            self.early[number] = what
            return
        self.next_in += 1
        self.peer._arrive(what)
        while self.next_in in self.early:
            self.next_in += 1
            self.peer._arrive(self.early.pop(self.next_in - 1))

    def _arrive(self, what: bytes | str) -> None:
        net, sender = self.net, self.peer
        if not net.linked(sender.host, self.host) or not self.host.up or sender.held:
            sender.held.append(what)
            net.holding[sender] = None
            return
        if self.epoch != self.host.epoch:  # the machine has been started anew and knows nothing of this
            if what != RST:
                self._send(RST)
            return
        net.world.note(
            f"{sender.label} > {self.label} "
            + (what if isinstance(what, str) else f"{len(what)} bytes {net.sum(what)}")
        )
        if what == RST:
            self._reset()
        elif self.closed:
            if what != FIN:
                self._send(RST)
        elif self.error is not None:
            return
        elif what == FIN:
            self.ended = True
            self._notify()
        else:
            assert isinstance(what, bytes)
            self.received += what
            self.arrived = net.world.now
            if net.arrival is not None:
                net.arrival(self, what)
            self._notify()

    def _reset(self) -> None:
        if self.error is None:
            self.error = ConnectionResetError(errno.ECONNRESET, "Connection reset by peer")
            if self.net.flavour.reset_discards:
                self.received.clear()
            self._notify()

    def _notify(self) -> None:
        if self.process is not None and not self.closed and self.transport is not None:
            self.process.loop.readable(self.transport)


class DatagramPort:
    """A bound UDP socket."""

    def __init__(self, net: Network, process: Process, address: Address) -> None:
        self.net, self.process, self.address = net, process, address
        self.number = process.open(self)
        self.queue: deque[tuple[bytes, Address]] = deque()
        self.transport: object | None = None

    def send(self, data: bytes, to: Address) -> None:
        """Send a datagram; the weather may lose, double or delay it."""
        net, weather = self.net, self.net.weather
        copies = 1 + (net.draw() < weather.udp_double)
        for _ in range(copies):
            if net.draw() < weather.udp_loss:
                continue
            late = int(net.draw() * weather.udp_delay)
            net.world.after(net.delay(self.process.host, self.process.host) + late, self._arrive, data, to)

    def _arrive(self, data: bytes, to: Address) -> None:
        port = self.net.datagrams.get(to)
        if port is None or not port.process.alive or not port.process.host.up:
            return
        if not self.net.linked(self.process.host, port.process.host):
            return
        self.net.world.note(f"{self.address[0]} > {to[0]} datagram {len(data)} bytes {self.net.sum(data)}")
        port.queue.append((data, self.address))
        if port.transport is not None:
            port.process.loop.readable(port.transport)

    def close(self) -> None:
        """Close the port."""
        self.process.forget(self.number)
        self.net.datagrams.pop(self.address, None)

    process_died = close


@dataclass(slots=True)
class Cut:
    """A link that is down: between two groups of hosts, or around the first where `others` is None."""

    hosts: frozenset[str]
    others: frozenset[str] | None = None

    def parts(self, one: str, other: str) -> bool:
        """Whether it parts these two hosts."""
        if self.others is None:
            return (one in self.hosts) != (other in self.hosts)
        return one in self.hosts and other in self.others or other in self.hosts and one in self.others


@dataclass(eq=False)
class Network:
    """Hosts, listeners, datagram ports, and what lies between them."""

    world: World
    weather: Weather = field(default_factory=Weather)
    tap: Callable[[Endpoint, bytes], None] | None = None  # sees what programs hand to the kernel
    arrival: Callable[[Endpoint, bytes], None] | None = None  # sees what the kernel has for them
    # Says after how many bytes of a write a reset meets the connection, both ways; None: it does not.
    cutter: Callable[[Endpoint, bytes], int | None] | None = None

    def __post_init__(self) -> None:
        self.flavour = self.world.flavour
        self.draw = self.world.stream("net").random
        self.hosts: dict[str, Host] = {}
        self.listeners: dict[Address, Listener] = {}
        self.datagrams: dict[Address, DatagramPort] = {}
        self.cuts: list[Cut] = []
        self.holding: dict[Endpoint, None] = {}
        self.dials = 0

    @staticmethod
    def sum(data: bytes) -> str:
        """A checksum of data for the notes."""
        return f"{zlib.crc32(data):08x}"

    def host(self, name: str, zone: str) -> Host:
        """Add a host in a zone."""
        self.hosts[name] = Host(name, zone)
        return self.hosts[name]

    def attach(self, process: Process) -> None:
        """Give the network to a process's loop."""
        process.loop.net = self

    def host_of(self, address: Address) -> Host | None:
        """A host's name is its address."""
        return self.hosts.get(address[0])

    # ---- the state of links and hosts ----

    def linked(self, one: Host, other: Host) -> bool:
        """Whether nothing cuts these two hosts off from one another."""
        return not self.cuts or not any(cut.parts(one.name, other.name) for cut in self.cuts)

    def delay(self, one: Host, other: Host) -> int:
        """Nanoseconds of one way between two hosts, with jitter."""
        base = self.weather.same_zone if one.zone == other.zone else self.weather.cross_zone
        late = int(base * (1 + self.flavour.jitter * (2 * self.draw() - 1)))
        grid = self.flavour.grid
        return max(grid, late // grid * grid)

    def cut(self, cut: Cut) -> None:
        """Begin a cut."""
        self.world.note(f"cut {','.join(sorted(cut.hosts))} from {','.join(sorted(cut.others or {'all'}))}")
        self.cuts.append(cut)

    def mend(self, cut: Cut) -> None:
        """End a cut."""
        if cut in self.cuts:
            self.cuts.remove(cut)
            self.world.note(f"mend {','.join(sorted(cut.hosts))}")
            self.resume()

    def vanish(self, host: Host) -> None:
        """The machine is gone, and says nothing."""
        host.up = False
        self.world.note(f"{host.name} vanishes")
        for process in self.world.processes:
            if process.host is host and process.alive:
                process.exit(-9)

    def back(self, host: Host) -> None:
        """It is back, and knows nothing of what was before."""
        host.up = True
        host.epoch += 1
        self.world.note(f"{host.name} is back")
        self.resume()

    def resume(self) -> None:
        """What waited for a link or a host goes on, as the next retransmission would."""
        for endpoint in list(self.holding):
            if (
                not self.linked(endpoint.host, endpoint.peer.host)
                or not endpoint.host.up
                or not endpoint.peer.host.up
            ):
                continue
            del self.holding[endpoint]
            held, endpoint.held = endpoint.held, []
            if endpoint.epoch != endpoint.host.epoch:
                continue  # its machine has forgotten it
            endpoint.last = max(endpoint.last, self.world.now + int(RETRY * self.draw()))
            for what in held:
                endpoint._send(what)

    # ---- sockets ----

    def listen(self, process: Process, address: Address, backlog: int) -> Listener:
        """Listen at an address. Raises OSError where it is in use."""
        if address in self.listeners:
            raise OSError(errno.EADDRINUSE, f"address {address} is in use")
        self.listeners[address] = Listener(self, process, address, backlog)
        return self.listeners[address]

    def bind_datagrams(self, process: Process, address: Address) -> DatagramPort:
        """Bind a datagram port. Raises OSError where the address is in use."""
        if address in self.datagrams:
            raise OSError(errno.EADDRINUSE, f"address {address} is in use")
        self.datagrams[address] = DatagramPort(self, process, address)
        return self.datagrams[address]

    async def connect(self, process: Process, address: Address) -> Endpoint:
        """Until the connection is up; OSError where it is refused or no descriptor is left."""
        if process.full():
            raise OSError(errno.EMFILE, "Too many open files")
        self.dials += 1
        near = Endpoint(self, process.host, ("", self.dials), f"{process.name}#{self.dials}")
        near.own(process)
        dial = Dial(self, process, near, address)
        dial.begin()
        try:
            await dial.up
        except BaseException:
            dial.over = True
            near.shut(reset=True)
            raise
        return near


class Dial:
    """One connect, from its SYN on."""

    def __init__(self, net: Network, process: Process, near: Endpoint, address: Address) -> None:
        self.net, self.process, self.near, self.address = net, process, near, address
        self.up: asyncio.Future[None] = process.loop.create_future()
        self.over = False
        self.problem: OSError | None = None

    def begin(self) -> None:
        """Set out to the listener."""
        name = self.net.host_of(self.address)
        if name is None:
            self._back(ConnectionRefusedError(errno.ECONNREFUSED, f"{self.address} refused"), MS)
            return
        self.host = name
        if self.net.linked(self.process.host, self.host):
            self.net.world.after(self.net.delay(self.process.host, self.host), self._arrive)

    def _arrive(self) -> None:
        net = self.net
        if self.over or not self.process.alive:
            return
        if not self.host.up or not net.linked(self.process.host, self.host):
            return  # lost; the program's time-out will tell
        listener = net.listeners.get(self.address)
        delay = net.delay(self.host, self.process.host)
        if listener is None:
            net.world.note(f"{self.near.label} refused by {self.address[0]}:{self.address[1]}")
            self._back(ConnectionRefusedError(errno.ECONNREFUSED, f"{self.address} refused"), delay)
            return
        if len(listener.waiting) >= listener.backlog:
            net.world.note(f"{self.near.label} meets a full backlog")
            return
        far = Endpoint(net, self.host, self.address, f"{listener.process.name}~{self.near.label}")
        self.near.peer, far.peer = far, self.near
        net.world.note(f"{self.near.label} connects to {listener.process.name}")
        listener.waiting.append(far)
        listener.process.loop.readable(listener)
        self._back(None, delay)

    def _back(self, problem: OSError | None, delay: int) -> None:
        self.problem = problem
        self.net.world.after(delay, self._told)

    def _told(self) -> None:
        if not self.over and self.process.alive and not self.up.done():
            self.process.loop.readable(self)

    def report(self) -> None:
        """Tell the program how it went."""
        if self.up.done():
            return
        if self.problem is not None:
            self.up.set_exception(self.problem)
        else:
            self.up.set_result(None)
