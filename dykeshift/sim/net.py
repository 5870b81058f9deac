"""The simulated network: TCP as programs see it, and UDP.

Theory of operation. A TCP connection is two `Endpoint`s. Data written at one leaves in segments, each with
its own delay, and arrives in order. An endpoint's kernel buffer holds what has arrived and was not read;
the bytes in flight or unread in one direction never exceed `Platform.buffer`, so a reader that stops applies
back-pressure to its writer. A FIN arrives in order, after the data. Closing with unread input sends a reset,
and so does data that arrives at a closed endpoint. A reset ends both directions.

While a host is down or a link is partitioned, segments are held without any notice to the sender and are
delivered afterwards, as retransmissions would be; a host that has been restarted since answers with a reset.

A connect is refused where nothing listens, and gets no answer where the host is unreachable or the backlog
is full. Otherwise it succeeds as soon as the kernel has completed it, whether or not the program ever
accepts or reads.

Datagrams may be lost, delayed, duplicated and reordered; `NetworkConditions` says how often.
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
RETRANSMIT_SPREAD = 200 * MS  # held segments arrive up to this long after the link is restored


@dataclass(slots=True)
class NetworkConditions:
    """Delays and loss rates of the network; faults change them."""

    same_zone: int = MS // 5  # nanoseconds one way
    cross_zone: int = MS
    spike: float = 0.0  # share of the segments that are delayed by another `spike_by`
    spike_by: int = 100 * MS
    udp_loss: float = 0.0
    udp_duplicate: float = 0.0
    udp_delay: int = 20 * MS


class Listener:
    """A listening socket: the kernel completes connects on it while its backlog has room."""

    def __init__(self, net: Network, process: Process, address: Address, backlog: int) -> None:
        self.net, self.process, self.address, self.backlog = net, process, address, backlog
        self.waiting: deque[Endpoint] = deque()
        self.accept: Callable[[Endpoint], None] | None = None
        self.number = process.open(self)
        self.open = True

    def report(self) -> None:
        """Hand waiting connections to the program."""
        while self.open and self.waiting and self.process.alive:
            endpoint = self.waiting.popleft()
            if self.process.descriptors_exhausted():
                # As libuv does with a full descriptor table: accept on a spare descriptor and close.
                endpoint.shut()
                continue
            endpoint.assign_to(self.process)
            if self.accept is not None:
                self.accept(endpoint)

    def close(self) -> None:
        """Stop listening; waiting connections are reset."""
        if self.open:
            self.open = False
            self.process.close_descriptor(self.number)
            self.net.listeners.pop(self.address, None)
            for endpoint in self.waiting:
                endpoint.shut(reset=True)
            self.waiting.clear()

    process_died = close


class Endpoint:
    """The kernel's state of one end of a TCP connection."""

    __slots__ = (
        "net",
        "host",
        "incarnation",
        "process",
        "number",
        "address",
        "peer",
        "received",
        "fin_received",
        "error",
        "closed",
        "fin_sent",
        "in_flight",
        "last_arrival",
        "transport",
        "written",
        "held_segments",
        "label",
        "writer_blocked",
        "owner",
        "consumed",
        "last_input_at",
        "next_sent",
        "next_expected",
        "out_of_order",
        "opened_at",
        "ended_by_peer_at",
    )

    def __init__(self, net: Network, host: Host, address: Address, label: str) -> None:
        self.net, self.host, self.incarnation, self.address, self.label = (
            net,
            host,
            host.incarnation,
            address,
            label,
        )
        self.process: Process | None = None
        self.number = 0
        self.owner = ""
        self.peer: Endpoint = self
        self.received = bytearray()
        self.fin_received = False  # the peer has closed its sending direction
        self.error: OSError | None = None
        self.closed = False  # by its program, or because its process died
        self.fin_sent = False
        self.in_flight = 0  # bytes that it has sent and the peer has not read
        self.last_arrival = 0  # when its latest segment arrives at the peer
        self.transport: object | None = None
        self.written = 0
        self.opened_at = self.last_input_at = net.world.now  # last_input_at: when bytes last arrived
        self.ended_by_peer_at: int | None = None  # when a close arrived here, if not closed here before
        self.consumed = 0  # bytes that its program has read
        self.held_segments: list[bytes | str] = []  # held while the link or a host is down
        self.writer_blocked = False
        self.next_sent = self.next_expected = 0  # sequence numbers of the segments that it sends
        self.out_of_order: dict[int, bytes | str] = {}  # arrived before an earlier segment, by number

    def peer_name(self) -> str:
        """Name of the process that owns, or owned, the other end."""
        return self.peer.owner or self.peer.label.partition("~")[0]

    # ---- the program's side ----

    def assign_to(self, process: Process) -> None:
        """Make a process the owner of this endpoint."""
        self.process = process
        self.owner = process.name
        self.number = process.open(self)

    def send_window(self) -> int:
        """Number of bytes that can be written now."""
        return max(0, self.net.platform.buffer - self.in_flight)

    def write(self, data: bytes) -> int:
        """Write and return how many bytes the kernel took; 0 if its buffer is full or after a close."""
        if self.closed or self.fin_sent or self.error is not None:
            return 0
        piece = data[: self.send_window()]
        if not piece:
            self.writer_blocked = True
            return 0
        self.writer_blocked = len(piece) < len(data)
        self.in_flight += len(piece)
        self.written += len(piece)
        if self.net.on_write is not None:
            self.net.on_write(self, piece)
        cut = self.net.reset_injector(self, piece) if self.net.reset_injector is not None else None
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
        if len(data) > 1 and net.draw() < net.platform.tear:
            at = 1 + int(net.draw() * (len(data) - 1))
            self._send(data[:at])
            self._segments(data[at:])
        else:
            self._send(data)

    def half_close(self) -> None:
        """Send a FIN: no more data follows."""
        if not self.fin_sent and not self.closed:
            self.fin_sent = True
            self._send(FIN)

    def shut(self, reset: bool = False) -> None:
        """Close: written data is still delivered, unless input is unread or `reset` is given."""
        if self.closed:
            return
        self.closed = True
        if self.process is not None:
            self.process.close_descriptor(self.number)
        if self.error is None and not (self.fin_received and self.fin_sent):
            if reset or self.received:
                self._send(RST)
            elif not self.fin_sent:
                self.fin_sent = True
                self._send(FIN)
        self.received.clear()

    def process_died(self) -> None:
        """Close after the process died; as the protocol page describes, by a reset in most cases."""
        self.shut(reset=self.net.draw() < 0.8)

    def read(self) -> bytes:
        """Return data that has arrived, at most `Platform.read_size` bytes."""
        data = bytes(self.received[: self.net.platform.read_size])
        del self.received[: len(data)]
        self.consumed += len(data)
        if data:
            self.peer.peer_read(len(data))
        return data

    def peer_read(self, size: int) -> None:
        """The peer has read `size` bytes: a blocked writer can continue."""
        self.in_flight -= size
        if self.writer_blocked and not self.closed:
            self.writer_blocked = False
            self.net.world.after(self.net.delay(self.peer.host, self.host), self._notify)

    def has_input(self) -> bool:
        """Whether data, a FIN or an error waits to be read."""
        return bool(self.received) or self.fin_received or self.error is not None

    # ---- the wire ----

    def _send(self, what: bytes | str) -> None:
        if self.held_segments or not self.net.reachable(self.host, self.peer.host) or not self.host.up:
            self.held_segments.append(what)
            self.net.stalled_endpoints[self] = None
            return
        loop_elapsed = self.process.loop.round_elapsed if self.process is not None else 0
        when = self.net.world.now + loop_elapsed + self.net.delay(self.host, self.peer.host)
        spike = self.net.conditions.spike
        if spike and not (self.host.spike_free or self.peer.host.spike_free) and self.net.draw() < spike:
            when += self.net.conditions.spike_by
        self.last_arrival = max(when, self.last_arrival)
        self.net.world.at(self.last_arrival, self._arrive_in_order, what, self.next_sent)
        self.next_sent += 1

    def _arrive_in_order(self, what: bytes | str, number: int) -> None:
        """Restore the order of the stream: events with the same time run in an order drawn at random."""
        if number != self.next_expected:
            self.out_of_order[number] = what
            return
        self.next_expected += 1
        self.peer._arrive(what)
        while self.next_expected in self.out_of_order:
            self.next_expected += 1
            self.peer._arrive(self.out_of_order.pop(self.next_expected - 1))

    def _arrive(self, what: bytes | str) -> None:
        net, sender = self.net, self.peer
        if not net.reachable(sender.host, self.host) or not self.host.up or sender.held_segments:
            sender.held_segments.append(what)
            net.stalled_endpoints[sender] = None
            return
        if self.incarnation != self.host.incarnation:  # the host has restarted and lost this connection
            if what != RST:
                self._send(RST)
            return
        net.world.trace(
            f"{sender.label} > {self.label} "
            + (what if isinstance(what, str) else f"{len(what)} bytes {net.checksum(what)}")
        )
        if what in (RST, FIN) and not self.closed and self.ended_by_peer_at is None:
            self.ended_by_peer_at = net.world.now
        if what == RST:
            self._reset()
        elif self.closed:
            if what != FIN:
                self._send(RST)
        elif self.error is not None:
            return
        elif what == FIN:
            self.fin_received = True
            self._notify()
        else:
            assert isinstance(what, bytes)
            self.received += what
            self.last_input_at = net.world.now
            if net.on_receive is not None:
                net.on_receive(self, what)
            self._notify()

    def _reset(self) -> None:
        if self.error is None:
            self.error = ConnectionResetError(errno.ECONNRESET, "Connection reset by peer")
            if self.net.platform.reset_discards:
                self.received.clear()
            self._notify()

    def _notify(self) -> None:
        if self.process is not None and not self.closed and self.transport is not None:
            self.process.loop.mark_ready(self.transport)


class DatagramPort:
    """A bound UDP socket."""

    def __init__(self, net: Network, process: Process, address: Address) -> None:
        self.net, self.process, self.address = net, process, address
        self.number = process.open(self)
        self.queue: deque[tuple[bytes, Address]] = deque()
        self.transport: object | None = None

    def send(self, data: bytes, to: Address) -> None:
        """Send a datagram; it may be lost, duplicated or delayed, as `NetworkConditions` says."""
        net, conditions = self.net, self.net.conditions
        copies = 1 + (net.draw() < conditions.udp_duplicate)
        for _ in range(copies):
            if net.draw() < conditions.udp_loss:
                continue
            extra = int(net.draw() * conditions.udp_delay)
            net.world.after(net.delay(self.process.host, self.process.host) + extra, self._arrive, data, to)

    def _arrive(self, data: bytes, to: Address) -> None:
        port = self.net.datagrams.get(to)
        if port is None or not port.process.alive or not port.process.host.up:
            return
        if not self.net.reachable(self.process.host, port.process.host):
            return
        self.net.world.trace(
            f"{self.address[0]} > {to[0]} datagram {len(data)} bytes {self.net.checksum(data)}"
        )
        port.queue.append((data, self.address))
        if port.transport is not None:
            port.process.loop.mark_ready(port.transport)

    def close(self) -> None:
        """Close the port."""
        self.process.close_descriptor(self.number)
        self.net.datagrams.pop(self.address, None)

    process_died = close


@dataclass(slots=True)
class Partition:
    """A network partition: between two groups of hosts, or of `hosts` from all others if `others` is None."""

    hosts: frozenset[str]
    others: frozenset[str] | None = None

    def separates(self, one: str, other: str) -> bool:
        """Whether it separates these two hosts."""
        if self.others is None:
            return (one in self.hosts) != (other in self.hosts)
        return one in self.hosts and other in self.others or other in self.hosts and one in self.others


@dataclass(eq=False)
class Network:
    """Hosts, listeners, datagram ports, and the links between them."""

    world: World
    conditions: NetworkConditions = field(default_factory=NetworkConditions)
    on_write: Callable[[Endpoint, bytes], None] | None = None  # called with bytes that a program writes
    on_receive: Callable[[Endpoint, bytes], None] | None = None  # called with bytes that arrive
    # Returns after how many bytes of a write the connection is reset, in both directions; None: no reset.
    reset_injector: Callable[[Endpoint, bytes], int | None] | None = None

    def __post_init__(self) -> None:
        self.platform = self.world.platform
        self.draw = self.world.stream("net").random
        self.hosts: dict[str, Host] = {}
        self.listeners: dict[Address, Listener] = {}
        self.datagrams: dict[Address, DatagramPort] = {}
        self.partitions: list[Partition] = []
        self.stalled_endpoints: dict[Endpoint, None] = {}
        self.connect_count = 0

    @staticmethod
    def checksum(data: bytes) -> str:
        """A checksum of data for the trace."""
        return f"{zlib.crc32(data):08x}"

    def host(self, name: str, zone: str) -> Host:
        """Add a host in a zone."""
        self.hosts[name] = Host(name, zone)
        return self.hosts[name]

    def attach(self, process: Process) -> None:
        """Connect a process's event loop to this network."""
        process.loop.net = self

    def host_of(self, address: Address) -> Host | None:
        """The host at an address; a host's name is its address."""
        return self.hosts.get(address[0])

    # ---- the state of links and hosts ----

    def reachable(self, one: Host, other: Host) -> bool:
        """Whether no partition separates these two hosts."""
        return not self.partitions or not any(cut.separates(one.name, other.name) for cut in self.partitions)

    def delay(self, one: Host, other: Host) -> int:
        """One-way delay between two hosts in nanoseconds, with jitter."""
        base = self.conditions.same_zone if one.zone == other.zone else self.conditions.cross_zone
        jittered = int(base * (1 + self.platform.jitter * (2 * self.draw() - 1)))
        grid = self.platform.grid
        return max(grid, jittered // grid * grid)

    def partition(self, cut: Partition) -> None:
        """Start a partition."""
        self.world.trace(f"cut {','.join(sorted(cut.hosts))} from {','.join(sorted(cut.others or {'all'}))}")
        self.partitions.append(cut)

    def remove_partition(self, cut: Partition) -> None:
        """End a partition."""
        if cut in self.partitions:
            self.partitions.remove(cut)
            self.world.trace(f"mend {','.join(sorted(cut.hosts))}")
            self.resume()

    def vanish(self, host: Host) -> None:
        """Take a host down without any notice to its peers; its processes die."""
        host.up = False
        self.world.trace(f"{host.name} vanishes")
        for process in self.world.processes:
            if process.host is host and process.alive:
                process.exit(-9)

    def restart_host(self, host: Host) -> None:
        """Bring a host back; it has lost all its connections."""
        host.up = True
        host.incarnation += 1
        self.world.trace(f"{host.name} is back")
        self.resume()

    def resume(self) -> None:
        """Deliver segments that were held for a link or a host, as the next retransmission would."""
        for endpoint in list(self.stalled_endpoints):
            if (
                not self.reachable(endpoint.host, endpoint.peer.host)
                or not endpoint.host.up
                or not endpoint.peer.host.up
            ):
                continue
            del self.stalled_endpoints[endpoint]
            held, endpoint.held_segments = endpoint.held_segments, []
            if endpoint.incarnation != endpoint.host.incarnation:
                continue  # the host has restarted and lost the connection
            endpoint.last_arrival = max(
                endpoint.last_arrival, self.world.now + int(RETRANSMIT_SPREAD * self.draw())
            )
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
        """Wait until the connection is up. Raises OSError if it is refused or no descriptor is left."""
        if process.descriptors_exhausted():
            raise OSError(errno.EMFILE, "Too many open files")
        self.connect_count += 1
        near = Endpoint(self, process.host, ("", self.connect_count), f"{process.name}#{self.connect_count}")
        near.assign_to(process)
        pending = PendingConnect(self, process, near, address)
        pending.start()
        try:
            await pending.up
        except BaseException:
            pending.abandoned = True
            near.shut(reset=True)
            raise
        return near


class PendingConnect:
    """A connect in progress, from its SYN on."""

    def __init__(self, net: Network, process: Process, near: Endpoint, address: Address) -> None:
        self.net, self.process, self.near, self.address = net, process, near, address
        self.up: asyncio.Future[None] = process.loop.create_future()
        self.abandoned = False
        self.error: OSError | None = None

    def start(self) -> None:
        """Send the SYN."""
        name = self.net.host_of(self.address)
        if name is None:
            self._reply(ConnectionRefusedError(errno.ECONNREFUSED, f"{self.address} refused"), MS)
            return
        self.host = name
        if self.net.reachable(self.process.host, self.host):
            self.net.world.after(self.net.delay(self.process.host, self.host), self._arrive)

    def _arrive(self) -> None:
        net = self.net
        if self.abandoned or not self.process.alive:
            return
        if not self.host.up or not net.reachable(self.process.host, self.host):
            return  # lost; the program has to time out
        listener = net.listeners.get(self.address)
        delay = net.delay(self.host, self.process.host)
        if listener is None:
            net.world.trace(f"{self.near.label} refused by {self.address[0]}:{self.address[1]}")
            self._reply(ConnectionRefusedError(errno.ECONNREFUSED, f"{self.address} refused"), delay)
            return
        if len(listener.waiting) >= listener.backlog:
            net.world.trace(f"{self.near.label} meets a full backlog")
            return
        far = Endpoint(net, self.host, self.address, f"{listener.process.name}~{self.near.label}")
        self.near.peer, far.peer = far, self.near
        net.world.trace(f"{self.near.label} connects to {listener.process.name}")
        listener.waiting.append(far)
        listener.process.loop.mark_ready(listener)
        self._reply(None, delay)

    def _reply(self, error: OSError | None, delay: int) -> None:
        self.error = error
        self.net.world.after(delay, self._notify)

    def _notify(self) -> None:
        if not self.abandoned and self.process.alive and not self.up.done():
            self.process.loop.mark_ready(self)

    def report(self) -> None:
        """Complete the program's connect with success or an error."""
        if self.up.done():
            return
        if self.error is not None:
            self.up.set_exception(self.error)
        else:
            self.up.set_result(None)
