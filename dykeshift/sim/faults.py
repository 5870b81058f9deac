"""Fault injection: starts each fault of a scenario at its time and undoes it afterwards.

Each kind of fault in scenario.FAULTS is a method here, found by name; a fault's `which` and `size` say what
it hits and how hard. All faults are over at FAULTS_END: then senders' moods are reset, links are restored,
hosts are up, senders that are down are replaced, and every balancer runs.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from dataclasses import fields
from typing import Any, Protocol

from dykeshift.sim.kernel import EPOCH, MS, SECOND
from dykeshift.sim.installation import TOLERATED_STALL, Node, SenderSite, make_stricter
from dykeshift.sim.loop import Program
from dykeshift.sim.operators import OperatorClient
from dykeshift.sim.net import Partition, Endpoint
from dykeshift.sim.scenario import FAULTS_END, RECOVERY, Fault, kill_after
from dykeshift.sim.scene import SimulationContext
from dykeshift.standins.registry import Registry
from dykeshift.standins.sender import Mood


# What an invalid file lacks: a key of the settings, or of their class with this index.
MISSING_KEYS: tuple[tuple[int | None, str], ...] = (
    (1, "group"),
    (1, "windowNs"),
    (2, "idempotency"),
    (0, "deadlineNs"),
    (None, "bounds"),
)


def _break_settings(settings: dict[str, Any], choice: int) -> None:
    """Make settings invalid: a deadline that is no number, or a key that is missing."""
    kind = choice % (1 + len(MISSING_KEYS))
    if kind == len(MISSING_KEYS):
        settings["services"][0]["deadlineNs"] = True
        return
    position, key = MISSING_KEYS[kind]
    del (settings if position is None else settings["services"][position])[key]


class FaultTargets(SimulationContext, Protocol):
    """The parts of the simulation that faults act on."""

    nodes: list[Node]
    sites: list[SenderSite]
    registries: dict[tuple[str, int], Registry]
    registry_processes: dict[tuple[str, int], Program]

    def start_registry(self, address: tuple[str, int]) -> None:
        """Start a discovery server at an address."""

    def operator_for(self, node: Node) -> OperatorClient:
        """The operator of a balancer."""

    def outage(self, hosts: frozenset[str], length: int) -> Partition:
        """Partition hosts from all others for `length` nanoseconds."""


class Faults:
    """Injects a scenario's faults, each at its time."""

    def __init__(self, simulation: FaultTargets) -> None:
        self.simulation = simulation
        self.world, self.net = simulation.world, simulation.net
        # Resets in the middle of a stream: address prefix of the receivers, end of the fault, random stream.
        self.stream_cuts: list[tuple[str, int, Any]] = []

    def schedule(self) -> None:
        """Schedule all faults, the end of all of them at `FAULTS_END`, and streamed answers to the probes."""
        for number, fault in enumerate(self.simulation.scenario.faults):
            self.world.at(EPOCH + int(fault.at * SECOND), self._begin, number, fault)
        self.world.at(EPOCH + int(FAULTS_END * SECOND), self.heal)
        if self.simulation.scenario.options.probe_stream_share:
            self.world.at(EPOCH + int((FAULTS_END + RECOVERY) * SECOND) - MS, self._stream_answers)
        if stricter_at := self.simulation.scenario.options.stricter_at:
            self.world.at(EPOCH + int(stricter_at * SECOND), self._make_stricter)

    def _make_stricter(self) -> None:
        """Let all balancers read a file in which the keyed class is unsafe."""
        for node in self.simulation.nodes:
            if node.process is not None and node.process.alive:
                given = {**node.settings, "services": [dict(one) for one in node.settings["services"]]}
                make_stricter(given)
                self._apply_settings(node, node.process, given)

    def _begin(self, number: int, fault: Fault) -> None:
        self.world.trace(f"fault {number}: {fault.kind} for {fault.length:.3f} s, size {fault.size}")
        getattr(self, "_" + fault.kind.replace("-", "_"))(fault)

    def _later(self, seconds: float, run: Callable[..., Any], *args: Any) -> None:
        """Schedule `run` after `seconds`, but before FAULTS_END."""
        at = min(self.world.now + int(seconds * SECOND), EPOCH + int(FAULTS_END * SECOND) - MS)
        self.world.at(at, run, *args)

    def _node(self, fault: Fault) -> Node:
        return self.simulation.nodes[fault.which % len(self.simulation.nodes)]

    def _site(self, fault: Fault, more: int = 0) -> SenderSite:
        return self.simulation.sites[(fault.which + more) % len(self.simulation.sites)]

    def heal(self) -> None:
        """Undo all faults that are still active."""
        simulation = self.simulation
        self.world.trace("heal")
        self.stream_cuts.clear()
        self.net.reset_injector = None
        self.net.conditions.spike = 0.0
        for cut in list(self.net.partitions):
            self.net.remove_partition(cut)
        for address, registry in simulation.registries.items():
            registry.delay, registry.fail_share = 0.0, 0.0
            registry.silent = registry.forgets = False
            simulation.call_in_process(simulation.registry_processes[address], registry.thaw)
        for node in simulation.nodes:
            node.host.wall_offset = 0
            node.disk.slow = 0.0
            node.disk.files.room, node.disk.files.read_only, node.disk.files.sync_fails = None, False, False
            if node.process is None or not node.process.alive:
                node.start(self._old_list(0.0))
        for site in simulation.sites:
            self._repair(site)

    def _stream_answers(self) -> None:
        for site in self.simulation.sites:
            site.mood.stream_share = self.simulation.scenario.options.probe_stream_share

    def _repair(self, site: SenderSite) -> None:
        self._reset_mood(site)
        if not site.host.up:
            self.net.restart_host(site.host)
        sender, process = site.sender, site.process
        if sender is not None and process is not None and (sender.down or sender.draining) and process.alive:
            site.stop(notice=0.3)
        if process is None or not process.alive:
            site.start(cold=True)

    def _reset_mood(self, site: SenderSite) -> None:
        default = Mood()
        for field in fields(default):
            setattr(site.mood, field.name, getattr(default, field.name))
        if site.sender is not None and site.process is not None:
            self.simulation.call_in_process(site.process, site.sender.wake)

    # ---- balancers ----

    def _stall(self, fault: Fault) -> None:
        process = self._node(fault).process
        if process is not None and process.alive:
            process.stall(int(fault.length * SECOND))

    def _kill_balancer(self, fault: Fault) -> None:
        node = self._node(fault)
        node.kill()
        self._later(fault.length, self._start_if_down, node, fault.size)

    def _start_if_down(self, node: Node, stale: float) -> None:
        if node.process is None or not node.process.alive:
            node.start(self._old_list(stale))

    def _old_list(self, stale: float) -> Any:
        """An outdated list of servers; in a share `stale` of its rows the address has a new owner since."""
        simulation = self.simulation
        full_list = simulation.registries[simulation.discovery].whole()
        rows = full_list["instances"]
        if stale < 0.4 or not rows:
            return full_list
        rotated = rows[1:] + rows[:1]
        old = [
            dict(row, instanceId=f"old-{n}", hostPort=other["hostPort"])
            for n, (row, other) in enumerate(zip(rows, rotated, strict=True))
        ]
        keep = int(len(rows) * (1 - stale))
        return {
            "generation": max(1, full_list["generation"] - 50),
            "reset": True,
            "instances": rows[:keep] + old[keep:],
        }

    def _restart_balancer(self, fault: Fault) -> None:
        self._terminate(self._node(fault), fault.length)

    def _terminate(self, node: Node, length: float) -> None:
        kill = kill_after(self.simulation.scenario.options.longest)
        late = self.world.now + int(kill * SECOND) > EPOCH + int(FAULTS_END * SECOND) - MS
        if late or node.process is None or not node.process.alive:
            return
        node.process.signal(signal.SIGTERM)
        self._later(kill, self._kill_overdue, node, node.process, self.world.now)
        self._later(kill + length, self._start_if_down, node, 0.0)

    def _kill_overdue(self, node: Node, process: Any, since: int) -> None:
        """Kill a balancer that has not exited; lost requests are excused if it was stalled for too long."""
        if node.process is process:
            node.kill(excused=node.stalled_time(since, self.world.now) > TOLERATED_STALL * SECOND)

    def _reload(self, fault: Fault) -> None:
        simulation = self.simulation
        old = simulation.discovery
        simulation.discovery = ("10.2.0.2" if old[0] == "10.2.0.1" else "10.2.0.1", 8500)
        if simulation.discovery not in simulation.registries:
            simulation.start_registry(simulation.discovery)
        for node in simulation.nodes:
            node.raw["discovery"] = f"{simulation.discovery[0]}:{simulation.discovery[1]}"
            if node.process is not None:
                node.process.signal(signal.SIGHUP)
        self.world.after(int(1.5 * SECOND), self._retire, old)

    def _retire(self, address: tuple[str, int]) -> None:
        simulation = self.simulation
        if address != simulation.discovery and address in simulation.registries:
            simulation.registry_processes[address].kill()
            del simulation.registries[address], simulation.registry_processes[address]

    def _reload_and_term(self, fault: Fault) -> None:
        self._reload(fault)
        node = self._node(fault)
        self._later(round(fault.size * 0.01, 3), self._terminate, node, fault.length)

    def _clock_step(self, fault: Fault) -> None:
        self._node(fault).host.wall_offset = int(fault.size * SECOND)

    # ---- operators ----

    def _ban(self, fault: Fault) -> None:
        """Ban a sender at one balancer, with a second call for the same ban, and lift the ban later."""
        node, site = self._node(fault), self._site(fault, int(fault.size * 1000))
        name, operator = site.name(), self.simulation.operator_for(node)
        operator.enter(name)
        self._later(fault.length * 0.3, operator.enter, name)
        self._later(fault.length, operator.exit, name)

    def _standby(self, fault: Fault) -> None:
        operator = self.simulation.operator_for(self._node(fault))
        operator.standby()
        self._later(fault.length, operator.active)

    def _retune(self, fault: Fault) -> None:
        """Change the settings for a while: invalid ones, a class added, changed or removed."""
        node = self._node(fault)
        if node.process is None or not node.process.alive:
            return
        before = node.settings  # those that it was started with: two such faults may overlap
        given = {**before, "services": [dict(one) for one in before["services"]]}
        if fault.size < 0.25:
            _break_settings(given, int(fault.size * 1000))  # the reload must reject all of it
        elif fault.size < 0.5:
            given["services"].append({**given["services"][0], "name": "extra"})
            given["bounds"] = {**given["bounds"], "maxAttempts": 1}
        elif fault.size < 0.75:
            given["services"][2]["idempotency"] = "pure"
        else:
            del given["services"][1]
        if fault.size >= 0.25:
            node.settings_changes.append((self.world.now, self.world.now + int((fault.length + 1) * SECOND)))
        self._apply_settings(node, node.process, given)
        self._later(fault.length, self._apply_settings, node, node.process, before)

    @staticmethod
    def _apply_settings(node: Node, process: Any, given: Any) -> None:
        if node.process is process and process.alive:
            node.raw["settings"] = given
            process.signal(signal.SIGHUP)

    # ---- senders ----

    def _set_mood(self, fault: Fault, name: str, value: Any) -> None:
        for more in range(1 + fault.which // 400):
            site = self._site(fault, more)
            setattr(site.mood, name, value)
            self._later(fault.length, self._reset_mood, site)

    def _sender_stall(self, fault: Fault) -> None:
        process = self._site(fault).process
        if process is not None:
            process.stall(int(fault.length * SECOND))

    def _hang(self, fault: Fault) -> None:
        self._set_mood(fault, "hang", True)

    def _hang_class(self, fault: Fault) -> None:
        from dykeshift.sim.scenario import CLASSES

        self._set_mood(fault, "hang_classes", (CLASSES[fault.which % 3],))

    def _slow(self, fault: Fault) -> None:
        self._set_mood(fault, "slow", fault.size)

    def _lose(self, fault: Fault) -> None:
        self._set_mood(fault, "lose_share", fault.size)

    def _errors(self, fault: Fault) -> None:
        self._set_mood(fault, "error_share", fault.size)

    def _resets(self, fault: Fault) -> None:
        self._set_mood(fault, "reset_share", fault.size)

    def _garble(self, fault: Fault) -> None:
        self._set_mood(fault, "garble_share", fault.size)

    def _extra(self, fault: Fault) -> None:
        self._set_mood(fault, "extra_share", fault.size)

    def _forget(self, fault: Fault) -> None:
        self._set_mood(fault, "forget_share", fault.size)

    def _drain(self, fault: Fault) -> None:
        site = self._site(fault)
        site.drain()
        self._later(fault.length, self._replace_drained, site, site.sender)

    def _replace_drained(self, site: SenderSite, sender: Any) -> None:
        """Stop a drained sender, whether or not it has finished, and start a new one at its address."""
        if site.sender is sender and site.process is not None and site.process.alive:
            site.stop(notice=0.05)
            self._later(0.3, site.start, True)

    def _kill_sender(self, fault: Fault) -> None:
        site = self._site(fault)
        site.stop(notice=0.2 + fault.size)
        self._later(fault.length, site.start, True)

    def _vanish_sender(self, fault: Fault) -> None:
        site = self._site(fault)
        site.stop(vanish=True, notice=0.5 + 2 * fault.size)
        self._later(fault.length, self._restore_host, site)

    def _restore_host(self, site: SenderSite) -> None:
        if not site.host.up:
            self.net.restart_host(site.host)
        site.start(True)

    def _swap_addresses(self, fault: Fault) -> None:
        """Stop two senders; the next sender at each address belongs to the other's rack."""
        one, other = self._site(fault), self._site(fault, 1)
        for site in (one, other):
            site.stop(notice=0.2 + fault.size)
        if one is not other:
            one.cell, other.cell = other.cell, one.cell
        for site in (one, other):
            self._later(min(fault.length, 1.0), site.start, True)

    def _release(self, fault: Fault) -> None:
        """Replace half of the senders, one after another."""
        for n in range(max(1, len(self.simulation.sites) // 2)):
            site = self._site(fault, n)
            self._later(n * 0.4, site.drain)
            self._later(n * 0.4 + 0.5, self._replace_current, site)

    def _replace_current(self, site: SenderSite) -> None:
        self._replace_drained(site, site.sender)

    # ---- the network ----

    def _cut_room(self, fault: Fault) -> None:
        zone = f"z{fault.which % self.simulation.scenario.options.zones}"
        hosts = frozenset(h.name for h in self.net.hosts.values() if h.zone == zone)
        self.simulation.outage(hosts, int(min(fault.length, FAULTS_END - fault.at) * SECOND))

    def _cut_discovery(self, fault: Fault) -> None:
        hosts = frozenset(h for h in self.net.hosts if h.startswith("10.2."))
        self.simulation.outage(hosts, int(min(fault.length, FAULTS_END - fault.at) * SECOND))

    def _spikes(self, fault: Fault) -> None:
        self.net.conditions.spike = fault.size
        self._later(fault.length, setattr, self.net.conditions, "spike", 0.0)

    def _cut_stream(self, fault: Fault) -> None:
        self._cut("10.1.", fault)

    def _cut_answer(self, fault: Fault) -> None:
        self._cut("10.0.", fault)

    def _cut(self, target: str, fault: Fault) -> None:
        rng = self.world.stream(f"cut/{fault.kind}/{fault.at}/{fault.which}")
        self.stream_cuts.append((target, self.world.now + int(fault.length * SECOND), rng))
        self.net.reset_injector = self._reset_position

    def _reset_position(self, endpoint: Endpoint, data: bytes) -> int | None:
        """Draw the byte position of a reset in this write; the first and the last ones are more likely."""
        between = endpoint.host.name[:5], endpoint.peer.host.name[:5]
        for target, until, random in self.stream_cuts:
            source = "10.0." if target == "10.1." else "10.1."
            if between == (source, target) and self.world.now < until and random.random() < 0.3:
                choice = random.random()
                at = (
                    0
                    if choice < 0.15
                    else len(data)
                    if choice < 0.4
                    else len(data) - 1
                    if choice < 0.5
                    else int(random.random() * len(data))
                )
                return int(at)
        return None

    # ---- balancers' disks ----

    def _disk_full(self, fault: Fault) -> None:
        files = self._node(fault).disk.files
        files.room = sum(map(len, files.seen.values())) + int(300 * fault.size)
        self._later(fault.length, setattr, files, "room", None)

    def _disk_slow(self, fault: Fault) -> None:
        disk = self._node(fault).disk
        disk.slow = 0.02 + fault.size
        self._later(fault.length, setattr, disk, "slow", 0.0)

    def _disk_fails(self, fault: Fault) -> None:
        files = self._node(fault).disk.files
        which = "sync_fails" if fault.size < 0.5 else "read_only"
        setattr(files, which, True)
        self._later(fault.length, setattr, files, which, False)

    # ---- discovery ----

    def _registries(self, fault: Fault, name: str, value: Any, default: Any) -> None:
        for registry in self.simulation.registries.values():
            setattr(registry, name, value)
            self._later(fault.length, setattr, registry, name, default)

    def _discovery_slow(self, fault: Fault) -> None:
        self._registries(fault, "delay", fault.size, 0.0)

    def _discovery_fails(self, fault: Fault) -> None:
        self._registries(fault, "fail_share", fault.size, 0.0)

    def _discovery_silent(self, fault: Fault) -> None:
        self._registries(fault, "silent", True, False)

    def _discovery_resets(self, fault: Fault) -> None:
        self._registries(fault, "forgets", True, False)

    def _watches_silent(self, fault: Fault) -> None:
        for address, registry in self.simulation.registries.items():
            self.simulation.call_in_process(self.simulation.registry_processes[address], registry.fall_silent)

    def _watches_reset(self, fault: Fault) -> None:
        for address, registry in self.simulation.registries.items():
            self.simulation.call_in_process(
                self.simulation.registry_processes[address], registry.stop_serving
            )

    def _discovery_stale(self, fault: Fault) -> None:
        for address, registry in self.simulation.registries.items():
            registry.freeze()
            self._later(
                fault.length,
                self.simulation.call_in_process,
                self.simulation.registry_processes[address],
                registry.thaw,
            )

    # ---- clients ----

    def _flood(self, fault: Fault) -> None:
        """Does nothing here: the scenario contains the requests of a flood."""

    _costly = _flood
