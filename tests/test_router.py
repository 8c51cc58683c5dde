"""Guards the choice of a holder: nothing runs twice, and what can move does."""

from __future__ import annotations

from collections.abc import AsyncIterator

import attrs
import pytest

from radishtrack.clock import ManualTime, make_manual_clock
from radishtrack.errors import Outcome, RequestError, make_not_run, make_unknown
from radishtrack.membership.nodes import Node, make_membership
from radishtrack.membership.placement import make_placement
from radishtrack.peer.link import LinkClosed
from radishtrack.peer.messages import Done, Execute, Failed, Message, ResultHead
from radishtrack.proxy.router import NOT_HELD_STEP, Router

NODES = tuple(Node(name, "oslo-a", "norge-ost", name) for name in ("p1", "p2", "p3"))
HOLDERS = ("p2", "p3")


@attrs.define
class FakeLink:
    """A peer that answers as its plan says."""

    node: str
    plan: list[Message | RequestError]
    incarnation: int = 1
    closed: bool = False
    sent: list[Message] = attrs.field(factory=list)
    ended: list[Message] = attrs.field(factory=list)
    observe_control: object = None

    async def execute(self, request: Execute) -> AsyncIterator[Message]:
        self.sent.append(request)
        for step in self.plan:
            if isinstance(step, RequestError):
                raise step
            yield step

    async def send(self, message: Message) -> None:
        self.ended.append(message)


@attrs.define
class World:
    """A router at p1 and its peers."""

    router: Router
    links: dict[str, FakeLink]

    async def run(self, kind: str = "write", *, is_read: bool = False) -> list[Message]:
        request = Execute(
            0, 5, "o", "d", "S", kind, "strict", 0.0, 0, 0, "", 1000.0, False
        )
        answer = self.router.execute(HOLDERS, request, is_read=is_read)
        return [message async for message in answer]

    def count_sent(self) -> dict[str, int]:
        return {name: len(link.sent) for name, link in self.links.items()}


def make_world(
    first: list[Message | RequestError], second: list[Message | RequestError]
) -> World:
    links = {"p2": FakeLink("p2", first), "p3": FakeLink("p3", second)}

    async def open_link(address: str) -> FakeLink:
        if not links[address].plan:
            raise LinkClosed(f"{address} refuses")
        return links[address]

    membership = make_membership(NODES[0])
    membership.apply_list(NODES)
    router = Router(
        NODES[0],
        make_manual_clock(ManualTime()),
        None,  # type: ignore[arg-type]
        membership,
        make_placement(NODES),
        open_link,  # type: ignore[arg-type]
        lambda size: None,
    )
    return World(router, links)


DONE = Done(1, 1, 0, 1, 1, "m1", "primary", False)
HEAD = ResultHead(1, ("a",), (3,))
NOT_HELD = Failed(1, NOT_HELD_STEP, "", "not run", 9001, "no slot", 0.0, False)
NOT_RUN = make_not_run("forward", "lost before sending")
UNKNOWN = make_unknown("forward", "lost after sending")


@pytest.mark.parametrize("is_read", [False, True])
async def test_a_holder_that_cannot_be_reached_is_passed_over(is_read: bool) -> None:
    world = make_world([], [DONE])
    assert await world.run(is_read=is_read) == [DONE]


async def test_a_node_without_the_slot_is_passed_over() -> None:
    world = make_world([NOT_HELD], [DONE])
    assert await world.run() == [DONE]


async def test_the_last_refusal_reaches_the_client() -> None:
    world = make_world([NOT_HELD], [NOT_HELD])
    assert await world.run() == [NOT_HELD]


async def test_a_write_that_did_not_run_moves() -> None:
    world = make_world([NOT_RUN], [DONE])
    assert await world.run() == [DONE]


async def test_a_write_that_may_have_run_is_never_sent_again() -> None:
    world = make_world([UNKNOWN], [DONE])
    with pytest.raises(RequestError) as caught:
        await world.run()
    assert caught.value.failure.outcome is Outcome.UNKNOWN
    assert world.count_sent() == {"p2": 1, "p3": 0}


async def test_a_read_without_an_answer_moves() -> None:
    world = make_world([UNKNOWN], [HEAD, DONE])
    assert await world.run("read", is_read=True) == [HEAD, DONE]


async def test_a_read_that_has_begun_to_answer_does_not_move() -> None:
    """Rows of two attempts in one result would not be an answer to the request."""
    world = make_world([HEAD, UNKNOWN], [HEAD, DONE])
    with pytest.raises(RequestError):
        await world.run("read", is_read=True)
    assert world.count_sent() == {"p2": 1, "p3": 0}


async def test_a_failed_begin_is_ended_at_the_first_holder() -> None:
    """The first holder may have opened the transaction before its answer was lost."""
    world = make_world([UNKNOWN], [DONE])
    assert await world.run("begin", is_read=True) == [DONE]
    assert len(world.links["p2"].ended) == 1


async def test_only_failures_of_the_way_blame_the_peer() -> None:
    world = make_world([make_not_run("encode", "too large")], [DONE])
    await world.run()
    nodes = world.router.membership.list_nodes(0.0)
    assert not any(node.leaving for node in nodes)
    world = make_world([NOT_RUN], [DONE])
    await world.run()
    nodes = world.router.membership.list_nodes(0.0)
    assert [node.id for node in nodes if node.leaving] == ["p2"]


async def test_an_unknown_peer_asks_for_the_list() -> None:
    world = make_world([DONE], [DONE])
    with pytest.raises(LinkClosed):
        await world.router.get_link("p9")
    assert world.router.list_refresh.is_set()


def test_an_affinity_gives_every_node_the_same_order() -> None:
    """An organisation with few tokens would get them split over its holders."""
    orders = set()
    for node in NODES:
        router = attrs.evolve(make_world([], []).router, node=node)
        orders.add(router.list_holders("d", "norge-ost", 3, "verksted"))
    assert len(orders) == 1
    router = make_world([], []).router
    first = {router.list_holders("d", "norge-ost", 3, f"o{n}")[0] for n in range(50)}
    assert first == {"p1", "p2", "p3"}
    assert router.list_holders("d", "norge-ost", 3)[0] == "p1"
