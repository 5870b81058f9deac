"""Attempts whose request or answer is on its way take no place at a server."""

from __future__ import annotations

from dykeshift.interface import ListKind, Outcome, Request, Send, ServerList
from tests.harness import MS, UNSAFE, Seen, World, entry

UNSAFE_PLACE = 2


def world_of(servers: int) -> World:
    world = World()
    entries = tuple(entry(number) for number in range(servers))
    world.list = {one.id: one for one in entries}
    world.play(world.balancer.on_list(world.now, ServerList(ListKind.FULL, entries)))
    return world


def begin_upload(world: World) -> str:
    """A request whose body is still coming; returns its id."""
    world.count += 1
    request = Request(f"q{world.count}", UNSAFE_PLACE, world.now + 3600_000 * MS, attempts=1, receiving=True)
    world.requests[request.id] = Seen(request, UNSAFE)
    world.play(world.balancer.on_request(world.now, request))
    return request.id


def servers_of(world: World) -> tuple[int, int]:
    """Attempts in flight and transfers, over all servers."""
    servers = world.balancer.servers.values()
    return sum(server.in_flight for server in servers), sum(server.transfers for server in servers)


# Guards against slow clients that take all places at all servers.
def test_uploads_take_no_places_until_they_are_complete() -> None:
    world = world_of(2)
    uploads = [begin_upload(world) for _ in range(40)]
    assert servers_of(world) == (0, 40)
    rid = world.submit(UNSAFE_PLACE)
    assert any(isinstance(action, Send) and action.request_id == rid for action in world.actions)
    world.end_all(rid)
    for upload in uploads[:3]:
        world.play(world.balancer.on_request_complete(world.now, upload))
    assert servers_of(world) == (3, 37)
    assert world.balancer.attempts_in_flight == 3
    for upload in uploads:
        world.end_all(upload)
    assert servers_of(world) == (0, 0) and not world.balancer.open


# Guards against a server that is taken for slow because a client stopped in the middle of its request.
def test_a_client_that_leaves_during_its_upload_tells_nothing_of_the_server() -> None:
    world = world_of(1)
    (server,) = world.balancer.servers.values()
    for _ in range(20):
        rid = begin_upload(world)
        world.now += 2500 * MS
        world.play(world.balancer.on_client_gone(world.now, rid))
        world.end(rid, 0, Outcome.CANCELLED)
    assert server.concurrency_limit >= 1 and world.balancer.admitted_share == 1.0
    assert not server.ejected_until and not server.mean_latency_share


def test_a_streamed_answer_frees_its_place_and_ends_like_any_other() -> None:
    world = world_of(1)
    streams = []
    for _ in range(3):
        streams.append(world.submit(UNSAFE_PLACE))
        world.play(world.balancer.on_stream_started(world.now, streams[-1], 0))
    assert servers_of(world) == (0, 3)
    world.now += 20_000 * MS
    rid = world.submit(UNSAFE_PLACE)
    assert world.requests[rid].servers and not world.requests[rid].final
    for stream in streams:
        world.requests[stream].final = "OK"
        world.end(stream, 0, Outcome.OK)
    assert servers_of(world) == (1, 0)
    (server,) = world.balancer.servers.values()
    assert server.has_answered
