"""One simulation run: real balancers, stand-ins and faults, built from a scenario and run to its end.

The balancers run the program's own `serve`, unchanged, on a simulated event loop, clock and network. What is
observed of them goes to the checker: bytes on their connections, what clients and senders saw, and the
actions of the decision module (recorded where `serve` hands out its parts), for the one rule that cannot be
checked from outside.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, UTC
from random import Random
from typing import Any

from dykeshift.engine.invariants import Invariant
from dykeshift.sim import referee as rules
from dykeshift.sim.faults import Faults
from dykeshift.mllp.memory import identify
from dykeshift.sim.installation import DEADLINES, MLLP_PORT, TOLERATED_STALL, Node, SenderSite
from dykeshift.sim.kernel import (
    EPOCH,
    MS,
    SECOND,
    Platform,
    Host,
    TraceCallback,
    LivelockError,
    Process,
    World,
)
from dykeshift.sim.loop import Program
from dykeshift.sim.net import Partition, Endpoint, Network, NetworkConditions
from dykeshift.sim.operators import OperatorClient
from dykeshift.sim.reach import DiscoveryReachability
from dykeshift.sim.referee import Breach, Referee, Terms
from dykeshift.sim.scenario import CLASSES, FAULTS_END, IN_USE_AFTER, KEYED_CLASS, KINDS, PROBE_PERIOD
from dykeshift.sim.scenario import RECOVERY, Ask, Scenario
from dykeshift.sim.views import Views
from dykeshift.sim.wire import ConnectionObserver
from dykeshift.standins import hl7
from dykeshift.standins.client import Crowd, Errand, Front
from dykeshift.standins.clinic import Clinic, Letter
from dykeshift.standins.messages import Message
from dykeshift.standins.registry import Instance, Registry
from dykeshift.standins.sender import Rack, Sender, without_padding

LONGEST_DEADLINE = 1.5  # seconds: the longest deadline of a class
ASK_EVERY = 10.0  # seconds within which a balancer must have sent a request to discovery
MIN_SERVED_SHARE = 0.9  # share of the probe requests after the faults that must be served
MAX_TIMERS, MAX_TASKS, MAX_SOCKETS = 14, 4, 3  # the most that an idle balancer may have of each


@dataclass(slots=True)
class Result:
    """The result of a run. Breaches are in the order found; figures are counts."""

    seed: str
    breaches: list[Breach]
    digest: str
    steps: int
    virtual: float  # seconds
    figures: dict[str, int] = field(default_factory=dict)

    @property
    def rules(self) -> list[str]:
        """The names of the broken rules, sorted and without duplicates."""
        return sorted({b.rule for b in self.breaches})


class Simulation:
    """The simulated world of one scenario, and its run."""

    def __init__(self, scenario: Scenario, tracing: TraceCallback | None = None) -> None:
        options = scenario.options
        self.scenario = scenario
        self.world = World(
            scenario.seed,
            Platform(
                uvloop=options.uvloop,
                grid=max(1, options.grid_us * 1000),
                tear=options.tear,
                buffer=options.buffer,
                reset_discards=options.reset_discards,
            ),
        )
        self.world.tracing = tracing
        self.rng: Random = self.world.stream("day")
        self.net = Network(self.world, NetworkConditions())
        self.checker = Referee(
            Terms(window=int(options.window * SECOND)),
            self.excuse,
            self.was_partitioned,
            lambda balancer: self.reach.since.get(balancer, self.world.now),
        )
        self.racks = [Rack() for _ in range(options.racks)]
        self.by_name: dict[str, Sender] = {}
        self.outages: list[tuple[frozenset[str], int, int]] = []
        self.registries: dict[tuple[str, int], Registry] = {}
        self.registry_processes: dict[tuple[str, int], Program] = {}
        self.registry_hosts: dict[str, Host] = {}
        self.listing: dict[str, Instance] = {}
        self.discovery = ("10.2.0.1", 8500)
        self.observers: dict[Endpoint, ConnectionObserver] = {}
        self.outcome: dict[str, str] = {}
        self.message_names: dict[str, str] = {}  # see SimulationContext
        self.overloaded_senders = 0  # senders with a long backlog when the probe requests start
        self.http_request_ids: dict[str, str] = {}  # see SimulationContext
        self.net.on_write, self.net.on_receive = self._on_write, self._on_receive
        self.start_registry(self.discovery)
        self.sites = [SenderSite(self, self, n) for n in range(options.senders)]
        for site in self.sites:
            site.start(cold=False)
        self.nodes = [Node(self, n) for n in range(options.balancers)]
        self.by_address = {node.address: node for node in self.nodes}
        self.by_host = {node.host.name: node for node in self.nodes}
        self.world.watchers.append(self.checker.step)
        self.net.conditions.udp_loss = options.peer_loss
        self.views = Views(self.nodes, self.world, self._view_breach) if options.view else None
        self._start_clients()
        self._start_operators()
        self.faults = Faults(self)
        self.reach = DiscoveryReachability(self)

    def _view_breach(self, text: str) -> None:
        self.checker.breach(rules.VIEW, self.world.now, text)

    # ---- discovery ----

    def start_registry(self, address: tuple[str, int]) -> None:
        """Start a discovery server at an address, on a host of its own."""
        host = self.registry_hosts.get(address[0]) or self.net.host(address[0], "z0")
        self.registry_hosts[address[0]] = host
        registry = Registry(self.world.stream(f"registry/{address[0]}/{self.world.now}"))
        registry.generation = 1 + self.rng.randrange(100)
        registry.listed = dict(self.listing)
        process = Program(self.world, host, f"d{address[0][-1]}")
        self.net.attach(process)
        process.loop.start(registry.serve(*address))
        self.registries[address], self.registry_processes[address] = registry, process

    def register_later(self, delay: float, instance: Instance) -> None:
        """Register an instance with all discovery servers after `delay` seconds."""

        def put() -> None:
            sender = self.by_name[instance.id]
            if sender.down and instance.lifecycle != "left":
                return
            self.listing[instance.id] = instance
            self.checker.shown(self.world.now, instance.id, instance.lifecycle == "active")
            for address, registry in self.registries.items():
                self.call_in_process(self.registry_processes[address], registry.put, instance)

        if delay:
            self.world.after(int(delay * SECOND), put)
        else:
            self.listing[instance.id] = instance
            for registry in self.registries.values():
                registry.listed[instance.id] = instance

    def set_lifecycle_later(self, delay: float, name: str, lifecycle: str) -> None:
        """Change an instance's lifecycle at all discovery servers after `delay` seconds."""

        def leave() -> None:
            known = self.listing.get(name)
            if known is None:
                return
            if lifecycle == "left":
                del self.listing[name]
            self.checker.shown(self.world.now, name, False)
            for address, registry in self.registries.items():
                self.call_in_process(self.registry_processes[address], registry.leave, name, lifecycle)

        self.world.after(int(delay * SECOND), leave)

    @staticmethod
    def call_in_process(process: Process, call: Callable[..., Any], *args: Any) -> None:
        """Call something in a process's event loop, in its next iteration."""
        if process.alive:
            process.loop.call_soon(call, *args)

    # ---- clients ----

    def _start_clients(self) -> None:
        host = self.net.host("10.9.0.1", "z0")
        host.spike_free = True
        process = self.clients = Program(self.world, host, "clients")
        self.net.attach(process)
        front = self.front = Front(self.world.stream("front"), self.scenario.options.front_notice)
        self.crowd = Crowd(
            front,
            self,
            self.world.stream("crowd"),
            on_end=self._errand_ended,
            unread=lambda line: line.transport.endpoint.peer.consumed <= line.mark,
        )
        process.loop.start(front.watch([node.address for node in self.nodes]))
        self._open_clinics()
        for number, ask in enumerate(self.scenario.asks):
            klass = CLASSES[ask.klass]
            name = f"e{number}" if ask.at < FAULTS_END else f"p{number}"
            if ask.clinic >= 0:
                self.world.at(EPOCH + int(ask.at * SECOND), self._send_message, name, ask)
                continue
            errand = Errand(
                name,
                klass,
                KINDS[klass],
                ask.deadline,
                ask.cost,
                ask.retries,
                ask.cost * 1000 if ask.hinted else 0,
                leaves=ask.leaves,
                pause=ask.pause,
            )
            self.world.at(EPOCH + int(ask.at * SECOND), self._begin, errand)

    def _begin(self, errand: Errand) -> None:
        self.call_in_process(self.clients, self.crowd.begin, errand)

    def _errand_ended(self, errand: Errand, how: str, answer: Message | None) -> None:
        status = f" {answer.status}" if answer is not None else ""
        self.outcome[errand.name] = how + status
        self.world.trace(f"{errand.name} ends: {how}{status}")

    def _start_operators(self) -> None:
        if not self.scenario.options.consoles:
            return
        host = self.net.host("10.8.0.1", "z0")
        host.spike_free = True
        process = Program(self.world, host, "operators")
        self.net.attach(process)
        self.operators = {node.name: OperatorClient(self, process, node) for node in self.nodes}
        for operator in self.operators.values():
            operator.read()

    def operator_for(self, node: Node) -> OperatorClient:
        """The operator of a balancer."""
        return self.operators[node.name]

    def _open_clinics(self) -> None:
        nodes = self.nodes
        self.clinics = [
            Clinic(
                (nodes[n % len(nodes)].address[0], MLLP_PORT),
                self,
                self.world.stream(f"clinic/{n}"),
                self._message_ended,
                unread=lambda line, frame: line.transport.endpoint.peer.consumed < frame.end,
            )
            for n in range(self.scenario.options.clinics)
        ]

    def _send_message(self, name: str, ask: Ask) -> None:
        seconds, rest = divmod(self.world.unix(), SECOND)
        when = datetime.fromtimestamp(seconds, UTC).strftime("%Y%m%d%H%M%S")
        note = hl7.Note(
            name,
            f"CLINIC{ask.clinic}",
            CLASSES[ask.klass],
            ask.mode,
            ask.cost,
            f"{when}.{rest // 100_000:04d}",
        )
        content = note.content()
        identity = identify(note.clinic.encode(), note.facility.encode(), name.encode(), content)
        self.message_names[identity.key()] = name
        # A clinic sends no deadline: the one of the configured mapping applies.
        patience = DEADLINES[note.klass] / 1000
        letter = Letter(note, patience, ask.retries, ask.leaves, ask.half, ask.twin)
        self.call_in_process(self.clients, self.clinics[ask.clinic].send, letter)

    def _message_ended(self, letter: Letter, code: str) -> None:
        name = letter.note.control_id
        self.outcome[name] = "done 200" if code[1:] == "A" else f"ended {code or 'unheard'}"
        self.world.trace(f"{name} ends: {self.outcome[name]}")

    # What clinics report (standins.clinic.Account).

    def framed(self, letter: Letter, number: int, to: tuple[str, int], ahead: list[tuple[str, int]]) -> None:
        """See `standins.clinic.Account`."""
        name, node = letter.note.control_id, self.by_host[to[0]]
        self.world.trace(
            f"{name}/{number} ({KINDS[letter.note.klass]}, {letter.patience * 1000:.0f} ms, "
            f"{letter.note.mode}) to {node.name}"
        )
        now = self._client_now()
        self.checker.framed(
            now,
            name,
            number,
            self._kind(letter.note.klass),
            node.name,
            now + int(letter.patience * SECOND),
            ahead,
        )

    def _kind(self, klass: str) -> str:
        """What a message of this class that is sent now is; right after a change of settings, what it was."""
        stricter_at = self.scenario.options.stricter_at
        since = EPOCH + int((stricter_at + IN_USE_AFTER) * SECOND)
        stricter = bool(stricter_at) and klass == CLASSES[KEYED_CLASS] and self.world.now > since
        return "unsafe" if stricter else KINDS[klass]

    def acknowledged(self, letter: Letter, number: int, to: tuple[str, int], code: str, last: bool) -> None:
        """See `standins.clinic.Account`."""
        name = letter.note.control_id
        self.world.trace(f"{name}/{number} has {code}")
        if last:
            certain = not (self.scenario.options.mllp_senders and letter.note.mode == "accept")
            self.checker.acknowledged(self._client_now(), name, number, code, certain)

    def cut_off(self, letter: Letter, number: int, to: tuple[str, int]) -> None:
        """See `standins.clinic.Account`."""
        self.world.trace(f"{letter.note.control_id}/{number} is cut off")
        self.checker.cut_off(self._client_now(), letter.note.control_id, number)

    def unheard(self, letter: Letter, number: int, to: tuple[str, int]) -> None:
        """See `standins.clinic.Account`."""
        self.world.trace(f"{letter.note.control_id}/{number} is not listened for any more")
        self.checker.unheard(self._client_now(), letter.note.control_id, number)

    def stray(self, to: tuple[str, int], data: bytes) -> None:
        """See `standins.clinic.Account`."""
        self.checker.extra(self._client_now(), self.by_host[to[0]].name, data)

    def _client_now(self) -> int:
        return self.world.now + self.clients.loop.round_elapsed

    # What clients report (standins.client.Account).

    def sent(self, errand: Errand, rid: str, to: tuple[str, int]) -> None:
        """See `standins.client.Account`."""
        now = self._client_now()
        patience = f"{errand.kind}, {errand.deadline * 1000:.0f} ms"
        self.world.trace(f"{rid} ({patience}) to {self.by_address[to].name}")
        self.checker.asked(
            now, rid, errand.name, errand.kind, self.by_address[to].name, now + int(errand.deadline * SECOND)
        )

    def answered(self, errand: Errand, rid: str, to: tuple[str, int], answer: Message) -> None:
        """See `standins.client.Account`."""
        self.world.trace(f"{rid} has {answer.status}")
        node = self.by_address[to]
        if answer.status == 400 and not any(
            begin <= self._client_now() and end >= self._client_now() - SECOND
            for begin, end in node.settings_changes
        ):
            self.checker.breach(
                rules.REJECTED, self._client_now(), f"{node.name} rejects {rid} ({errand.klass})"
            )
        body = without_padding(answer.body).decode("latin-1")
        self.checker.answered(self._client_now(), rid, answer.status, body)

    def broken(self, errand: Errand, rid: str, to: tuple[str, int], begun: bool) -> None:
        """See `standins.client.Account`."""
        self.world.trace(f"{rid} broke off")
        spoilt = begun and any(
            observer.rid == rid and endpoint.error is not None
            for endpoint, observer in self.observers.items()
        )
        self.checker.broken(self._client_now(), rid, again=False, spoilt=spoilt)

    def left(self, errand: Errand, rid: str, to: tuple[str, int]) -> None:
        """See `standins.client.Account`."""
        self.world.trace(f"{rid} is left by its client")
        self.checker.gone(self._client_now(), rid)

    def extra(self, to: tuple[str, int], data: bytes) -> None:
        """See `standins.client.Account`."""
        self.checker.extra(self._client_now(), self.by_address[to].name, data)

    # What senders report (standins.sender.Witness).

    def _sender_now(self, sender: Sender) -> int:
        return self.world.now

    def arrived(self, sender: Sender, request: Message) -> None:
        """See `standins.sender.Witness`."""
        self.world.trace(f"{sender.name} takes {request.headers['x-request-id']}")

    def ran(self, sender: Sender, request: Message, repeat: bool) -> None:
        """See `standins.sender.Witness`."""
        self.checker.ran(
            self.world.now, request.headers["x-request-id"], request.query("errand"), sender.name, repeat
        )

    def turned_away(self, sender: Sender, request: Message) -> None:
        """See `standins.sender.Witness`."""
        self.world.trace(f"{sender.name} turns {request.headers['x-request-id']} away")

    def fell(self, sender: Sender) -> None:
        """See `standins.sender.Witness`."""
        self.world.trace(f"{sender.name} falls over")
        self.checker.fell(self.world.now, sender.name)

    # ---- network traffic ----

    def _on_write(self, endpoint: Endpoint, data: bytes) -> None:
        node = self.by_host.get(endpoint.host.name)
        if node is None:
            return
        if endpoint.peer.host.name.startswith("10.1."):
            self._observer(endpoint).on_sent(node, data)
        elif endpoint.peer.host.name.startswith("10.2."):
            node.last_discovery_request = self.world.now

    def _on_receive(self, endpoint: Endpoint, data: bytes) -> None:
        node = self.by_host.get(endpoint.host.name)
        if node is None:
            return
        if endpoint.peer.host.name.startswith("10.1."):
            self._observer(endpoint).on_sender_bytes(data)
        elif endpoint.peer.host.name.startswith("10.2."):
            self._observer(endpoint).on_discovery_bytes(node, data)

    def _observer(self, endpoint: Endpoint) -> ConnectionObserver:
        observer = self.observers.get(endpoint)
        if observer is None:
            observer = self.observers[endpoint] = ConnectionObserver(self, endpoint)
        return observer

    def connections_to(self, process: Process | None, address: tuple[str, int]) -> list[Endpoint]:
        """See `SimulationContext.connections_to`."""
        return [one for one in self.observers if one.process is process and one.peer.address == address]

    # ---- excuses ----

    def excuse(self, balancer: str, sent: int, since: int, until: int) -> bool:
        """Whether a kill, a stall or a partition kept the balancer from answering; times in nanoseconds."""
        node = next(n for n in self.nodes if n.name == balancer)
        if any(sent <= at <= until and excused for at, excused in node.exits):
            return True
        if any(begin <= until and end >= since - 20 * MS for begin, end in node.stalls):
            return True
        return self.was_partitioned(balancer, sent, until)

    def was_partitioned(self, balancer: str, since: int, until: int) -> bool:
        """Whether clients could not reach the balancer for part of that time (nanoseconds)."""
        node = next(n for n in self.nodes if n.name == balancer)
        return any(
            begin <= until and end >= since and node.host.name in hosts for hosts, begin, end in self.outages
        )

    def outage(self, hosts: frozenset[str], length: int) -> Partition:
        """Partition these hosts from all others for `length` nanoseconds."""
        now = self.world.now
        unreachable = frozenset(
            n.host.name for n in self.nodes if (n.host.name in hosts) != (self.clients.host.name in hosts)
        )
        self.outages.append((unreachable, now, now + length + 300 * MS))
        partition = Partition(hosts)
        self.net.partition(partition)
        self.world.after(length, self.net.remove_partition, partition)
        return partition

    # ---- the run ----

    def play(self, stop_at_first: bool = False) -> Result:
        """Run the scenario to its end, or to the first breach."""
        handler = _LogWatcher(self)
        logger = logging.getLogger("dykeshift")
        before = logger.level, logger.propagate
        logger.setLevel(logging.WARNING)
        logger.propagate = False
        logger.addHandler(handler)
        try:
            self._play(stop_at_first)
        except LivelockError as exc:
            self.checker.breach(rules.FAULT, self.world.now, str(exc))
        finally:
            logger.removeHandler(handler)
            logger.setLevel(before[0])
            logger.propagate = before[1]
            for process in self.world.processes:
                process.on_exit = None
                process.exit(-9)
        checker = self.checker
        return Result(
            self.scenario.seed,
            checker.breaches,
            self.world.digest(),
            self.world.steps,
            (self.world.now - EPOCH) / SECOND,
            {
                "served": checker.served,
                "refused": checker.refused,
                "failed": checker.failed,
                "requests": len(checker.entries),
                "attempts": sum(len(e.attempt_log) for e in checker.entries.values()),
            },
        )

    def _play(self, stop_at_first: bool) -> None:
        stop = (lambda: bool(self.checker.breaches)) if stop_at_first else None
        known = next(iter(self.registries.values())).whole()
        for node in self.nodes:
            node.start(known)
        self.faults.schedule()
        self.world.at(EPOCH + int((FAULTS_END + RECOVERY) * SECOND) - 1, self._count_overloaded_senders)
        end = (
            FAULTS_END + RECOVERY + PROBE_PERIOD + max(LONGEST_DEADLINE, self.scenario.options.longest) + 0.5
        )
        self.world.run(EPOCH + int(end * SECOND), stop)
        if stop_at_first and self.checker.breaches:
            return
        self._check_service()
        self.call_in_process(self.clients, self.crowd.hang_up)
        for clinic in self.clinics:
            self.call_in_process(self.clients, clinic.hang_up)
        quiet = end + self.scenario.options.keepalive
        self.world.run(EPOCH + int((quiet + 1.0) * SECOND), stop)
        self.clients.kill()
        self.world.run(EPOCH + int(max(quiet + 2.0, FAULTS_END + ASK_EVERY + 1.0) * SECOND), stop)
        if self.views is not None:
            self.net.conditions.udp_loss = 0.0
            self.world.run(self.world.now + int(8.0 * SECOND), stop)
            self.views.check_settled()
        self._check_leaks()

    def _count_overloaded_senders(self) -> None:
        """Count senders with a backlog longer than the probe requests' deadlines."""
        self.overloaded_senders = sum(
            p.sender is not None and p.sender.backlog() > LONGEST_DEADLINE for p in self.sites
        )

    def _check_service(self) -> None:
        last = [n for n in self.outcome if n.startswith("p")]
        served = sum(self.outcome[n] == "done 200" for n in last)
        asked = sum(a.at >= FAULTS_END for a in self.scenario.asks)
        cold = sum(
            p.sender is None or p.sender.warmth() < 1 or p.name() in self.checker.unbanned for p in self.sites
        )
        if 2 * cold >= len(self.sites) or 2 * self.overloaded_senders >= len(self.sites):
            return  # too many senders are cold or still busy: the probe requests cannot all be served
        if asked and served < MIN_SERVED_SHARE * asked:
            self.checker.breach(
                rules.NOT_SERVED_AGAIN,
                self.world.now,
                f"{served} of {asked} requests are served {RECOVERY:.0f} s after the last " "fault",
            )

    def _check_leaks(self) -> None:
        for node in self.nodes:
            process = node.process
            if process is None or not process.alive:
                self.checker.breach(rules.FAULT, self.world.now, f"{node.name} is not running at the end")
                continue
            for fault in process.loop.uncaught_errors:
                self.checker.breach(rules.FAULT, self.world.now, f"{process.name}: {fault}")
            silent = (self.world.now - node.last_discovery_request) / SECOND
            if silent > ASK_EVERY:
                self.checker.breach(
                    rules.NOT_SERVED_AGAIN,
                    self.world.now,
                    f"{process.name} has sent discovery no request for {silent:.1f} s",
                )
            found = self._count(node, process)
            bad = [
                f"{found[what]} {what}"
                for what, most in (
                    ("jobs", 0),
                    ("clinics", 0),
                    ("messages in work", 0),
                    ("requests in the module", 0),
                    ("connections to senders", 0),
                    ("clients", 0),
                    ("clients counted as served", 0),
                    ("connects", 0),
                    ("descriptors", MAX_SOCKETS + len(node.services)),
                    ("timers", MAX_TIMERS),
                    ("tasks", MAX_TASKS),
                )
                if found[what] > most or found[what] < 0
            ]
            if bad:
                self.checker.breach(
                    rules.LEAK, self.world.now, f"{process.name} is idle and still has {', '.join(bad)}"
                )

    @staticmethod
    def _count(node: Node, process: Program) -> dict[str, int]:
        driver = node.front.driver
        fronts = [service.front for service in node.services if hasattr(service, "front")]
        return {
            "clinics": sum(len(front.lines) for front in fronts),
            "messages in work": sum(len(front.memory.open) for front in fronts),
            "jobs": len(driver.jobs),
            "requests in the module": len(driver.balancer.open),
            "connections to senders": driver.pool.open,
            "clients": len(node.front.clients),
            "clients counted as served": node.front.answered_clients,
            "connects": len(driver.pool.connecting),
            "descriptors": len(process.sockets),
            "timers": process.loop.pending_timers(),
            "tasks": len(process.loop.tasks),
        }


class _LogWatcher(logging.Handler):
    """Traces the program's warnings, and turns the errors that it logs into breaches."""

    def __init__(self, simulation: Simulation) -> None:
        super().__init__(logging.WARNING)
        self.simulation = simulation

    def emit(self, record: logging.LogRecord) -> None:
        text = record.getMessage()
        self.simulation.world.trace(f"log: {text}")
        if record.exc_info and record.exc_info[1] is not None:
            error = record.exc_info[1]
            self.simulation.checker.breach(
                rules.FAULT, self.simulation.world.now, f"{text}: {type(error).__name__}: {error}"
            )
        elif self._too_late(record) and self._recently_stalled():
            pass  # a stalled balancer could not have answered sooner
        elif record.levelno >= logging.ERROR and "configuration" not in text:
            self.simulation.checker.breach(rules.FAULT, self.simulation.world.now, text)

    @staticmethod
    def _too_late(record: logging.LogRecord) -> bool:
        fields = getattr(record, "fields", {})
        return fields.get("invariant") == Invariant.ANSWER_BEFORE_END.name.lower()

    def _recently_stalled(self) -> bool:
        """Whether a balancer was stalled within the last second for longer than the tolerance."""
        now = self.simulation.world.now
        return any(
            node.stalled_time(now - SECOND, now) > TOLERATED_STALL * SECOND for node in self.simulation.nodes
        )


def play(scenario: Scenario, tracing: TraceCallback | None = None, stop_at_first: bool = False) -> Result:
    """Run a scenario. `tracing` receives each trace line."""
    return Simulation(scenario, tracing).play(stop_at_first)
