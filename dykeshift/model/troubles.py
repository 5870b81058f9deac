"""Troubles as they come: which senders and balancers each befalls, when, and what it does to them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dykeshift.model.chance import nanoseconds
from dykeshift.model.day import SECOND, Trouble
from dykeshift.model.senders import Post
from dykeshift.interface import ServerState, FleetAgreement

if TYPE_CHECKING:
    from dykeshift.model.host import Host
    from dykeshift.model.world import World

DRAINED = 3 * SECOND  # a draining sender ends after this
TOLD = 6 * SECOND  # what discovery has to tell counts as told after this (the protocol's figure)
LAST_WORD = 3 * SECOND // 2  # for which the discovery that balancers leave still says what changes


class Troubles:
    """Schedules the troubles of a day in the world's time."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.began = world.now

    def plan(self) -> None:
        """Draw whom each trouble befalls and schedule its begin and its end."""
        for trouble in self.world.day.troubles:
            begin = self.began + nanoseconds(trouble.at)
            if trouble.kind == "discovery-late":
                self.world.at(begin, self.world.late, nanoseconds(trouble.size))
                self.world.at(begin + nanoseconds(trouble.seconds), self.world.late, 0)
            elif trouble.kind.startswith("zone"):
                zone = self.world.chance.chosen(self.world.day.senders.zones, 0.0)[0]
                self.world.at(begin, self._befall_zone, trouble, zone)
            elif trouble.kind != "flood":
                self._plan_each(trouble, begin)

    def _plan_each(self, trouble: Trouble, begin: int) -> None:
        world = self.world
        of_balancers = trouble.kind.startswith(("balancer", "discovery"))
        total = len(world.hosts) if of_balancers else len(world.posts)
        chosen = world.chance.chosen(total, trouble.part)
        if trouble.kind == "discovery-moves":
            world.at(begin, world.move_discovery, LAST_WORD)
        for n, number in enumerate(chosen):
            at = begin + nanoseconds(trouble.spread_s * n / len(chosen))
            world.at(at, self._befall_balancer if of_balancers else self._befall, trouble, number)

    # ---- balancers ----

    def _befall_balancer(self, trouble: Trouble, number: int) -> None:
        world = self.world
        host: Host = world.hosts[number]
        if trouble.kind == "discovery-moves":
            if host.up:
                host.move(world.discovery)
                world.at(world.now + SECOND // 2, world.whole_list, number)
        elif trouble.kind == "balancer-doubt":
            closed = frozenset(c.name for c in world.settings.classes) if not trouble.size else frozenset()
            host.doubt(FleetAgreement(settings_uncertain=True, closed_classes=closed))
            world.at(world.now + nanoseconds(trouble.seconds), host.doubt, FleetAgreement())
        elif trouble.kind == "balancer-roll":
            host.taking = False
            longest = max(c.deadline for c in world.settings.classes)
            world.at(world.now + longest + SECOND // 10, self._end_balancer, trouble, number)
        else:
            self._end_balancer(trouble, number)

    def _end_balancer(self, trouble: Trouble, number: int) -> None:
        self.world.hosts[number].die()
        if trouble.kind != "balancer-gone":
            back = self.world.now + nanoseconds(trouble.seconds)
            self.world.at(back, self.world.back, number, nanoseconds(trouble.stale_s + trouble.seconds))

    # ---- senders ----

    def _befall_zone(self, trouble: Trouble, zone: int) -> None:
        world, length = self.world, nanoseconds(trouble.seconds)
        if trouble.kind == "zone-cut":
            world.ways.cut(zone, world.now + length)
            return
        for post in [p for p in world.posts if p.zone == zone and p.process.up]:
            post.silent = True
            post.process.die()
            world.at(world.now + length, self._restart, post)

    def _befall(self, trouble: Trouble, number: int) -> None:
        world, post, length = self.world, self.world.posts[number], nanoseconds(trouble.seconds)
        kind = trouble.kind
        if kind == "restart":
            self._restart(post)
        elif kind in ("roll", "replace"):
            post.state = ServerState.DRAINING
            world.change(post)
            world.at(world.now + DRAINED, self._restart if kind == "roll" else self._replace, post)
        elif kind == "kill":
            post.silent = True
            self._gone(post)
        elif kind in ("hang", "pause"):
            post.process.pause(world.now + length)
        else:
            self._ail(post, kind, trouble.size)
            world.at(world.now + length, self._ail, post, kind, None)

    def _gone(self, post: Post) -> None:
        post.process.die()
        post.state = ServerState.GONE
        self.world.change(post)

    def _restart(self, post: Post) -> None:
        post.restart()
        self.world.change(post)

    def _replace(self, post: Post) -> None:
        """Another sender comes up under an id of its own, which zone and rack go by, and has the old address
        once every balancer counts as told of the end: sooner none of them could know."""
        world = self.world
        self._gone(post)
        new = Post(
            world,
            len(world.posts),
            post.shape,
            post.speed,
            post.weight == post.speed,
            world.chance,
            post.connect,
        )
        new.lost_share = world.day.network.lost_connects
        world.posts.append(new)
        world.at(world.now + TOLD, world.places.__setitem__, post.number, new)
        self._restart(new)

    def _ail(self, post: Post, kind: str, size: float | None) -> None:
        if kind == "slow":
            post.slow = size or 1.0
        elif kind == "errors":
            post.error_share = size or 0.0
        elif kind == "reset":
            post.reset_share = size or 0.0
        elif kind == "mute":
            post.mute_share = size or 0.0
        elif kind == "lose":
            post.lost_share = self.world.day.network.lost_connects if size is None else size
        elif kind == "refuse":
            post.refuses = size is not None
