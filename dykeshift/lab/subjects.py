"""What an experiment plays: the model, the simulation, or real processes on loopback."""

from __future__ import annotations

import importlib.util
import sys
from typing import Any

import msgspec

from dykeshift.model.day import Day
from dykeshift.model.decider import Maker
from dykeshift.model.peers import PEERS
from dykeshift.model.world import play
from dykeshift.lab.plan import FILE, OWN, Cell


def maker(policy: str) -> Maker:
    """What makes the balancers of a policy: the program's own, one from a file, or a peer of the model."""
    if policy == OWN:
        from dykeshift.rules import Balancer

        return Balancer
    if policy.startswith(FILE):
        return _from_file(policy.removeprefix(FILE))
    return PEERS[policy]


def _from_file(path: str) -> Maker:
    """The `Balancer` of a decision module's file, under a name of its own."""
    name = f"dykeshift_policy_{abs(hash(path))}"
    if name not in sys.modules:
        spec = importlib.util.spec_from_file_location(name, path)
        if spec is None or spec.loader is None:
            raise ValueError(f"{path} is no Python file")
        module = importlib.util.module_from_spec(spec)
        sys.modules[name] = module
        spec.loader.exec_module(module)
    made: Maker = sys.modules[name].Balancer
    return made


def run(subject: str, cell: Cell) -> dict[str, Any]:
    """Play one cell; its figures, all of them numbers or groups of numbers."""
    if subject == "model":
        figures = play(msgspec.convert(cell.day, Day), maker(cell.policy), cell.seed)
        made: dict[str, Any] = msgspec.to_builtins(figures)
        return made
    if subject == "processes":
        from dykeshift.lab.processes import run_day

        return run_day(msgspec.convert(cell.day, Day), cell.seed)
    return _simulated(cell)


def _simulated(cell: Cell) -> dict[str, Any]:
    from dykeshift.sim.runner import play_seed

    played = play_seed(f"{cell.seed}{cell.day.get('suffix', '')}")
    return {
        "broken": len(played.rules),
        "events": played.steps,
        "virtual_s": played.virtual,
        **played.figures,
    }
