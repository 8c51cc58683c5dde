"""Guards retries at other holders: what did not run is retried, no write runs twice."""

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
    """A peer that sends prepared messages, or fails."""

    node: str
    script: list[Message | RequestError]
    incarnation: int = 1
    closed: bool = False
    sent: list[Message] = attrs.field(factory=list)
    ended: list[Message] = attrs.field(factory=list)
    observe_control: object = None

    async def execute(self, request: Execute) -> AsyncIterator[Message]:
        self.sent.append(request)
        for step in self.script:
            if isinstance(step, RequestError):
                raise step
            yield step

    async def send(self, message: Message) -> None:
        self.ended.append(message)


@attrs.define
class Simulation:
    """A router at p1 and its simulated peers."""

    router: Router
    links: dict[str, FakeLink]

    async def run(self, kind: str = "write", *, is_read: bool = False) -> list[Message]:
        request = Execute(
            0, 5, "o", "d", "S", kind, "strict", 0.0, 0, 0, "", 1000.0, False
        )
        messages = self.router.execute(HOLDERS, request, is_read=is_read)
        return [message async for message in messages]

    def count_sent(self) -> dict[str, int]:
        return {name: len(link.sent) for name, link in self.links.items()}


def make_simulation(
    first: list[Message | RequestError], second: list[Message | RequestError]
) -> Simulation:
    links = {"p2": FakeLink("p2", first), "p3": FakeLink("p3", second)}

    async def open_link(address: str) -> FakeLink:
        if not links[address].script:
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
    return Simulation(router, links)


DONE = Done(1, 1, 0, 1, 1, "m1", "primary", False)
HEAD = ResultHead(1, ("a",), (3,))
NOT_HELD = Failed(1, NOT_HELD_STEP, "", "not run", 9001, "no slot", 0.0, False)
NOT_RUN = make_not_run("forward", "lost before sending")
UNKNOWN = make_unknown("forward", "lost after sending")


@pytest.mark.parametrize("is_read", [False, True])
async def test_an_unreachable_holder_is_skipped(is_read: bool) -> None:
    simulation = make_simulation([], [DONE])
    assert await simulation.run(is_read=is_read) == [DONE]


async def test_a_node_without_the_slot_is_skipped() -> None:
    simulation = make_simulation([NOT_HELD], [DONE])
    assert await simulation.run() == [DONE]


async def test_the_last_refusal_reaches_the_client() -> None:
    simulation = make_simulation([NOT_HELD], [NOT_HELD])
    assert await simulation.run() == [NOT_HELD]


async def test_a_write_that_did_not_run_is_retried() -> None:
    simulation = make_simulation([NOT_RUN], [DONE])
    assert await simulation.run() == [DONE]


async def test_a_write_that_may_have_run_is_not_retried() -> None:
    simulation = make_simulation([UNKNOWN], [DONE])
    with pytest.raises(RequestError) as caught:
        await simulation.run()
    assert caught.value.failure.outcome is Outcome.UNKNOWN
    assert simulation.count_sent() == {"p2": 1, "p3": 0}


async def test_a_read_without_a_response_is_retried() -> None:
    simulation = make_simulation([UNKNOWN], [HEAD, DONE])
    assert await simulation.run("read", is_read=True) == [HEAD, DONE]


async def test_a_read_that_has_returned_messages_is_not_retried() -> None:
    """A result must not combine the rows of two attempts."""
    simulation = make_simulation([HEAD, UNKNOWN], [HEAD, DONE])
    with pytest.raises(RequestError):
        await simulation.run("read", is_read=True)
    assert simulation.count_sent() == {"p2": 1, "p3": 0}


async def test_a_failed_begin_is_ended_at_the_first_holder() -> None:
    """The first holder may have opened the transaction before its response was lost."""
    simulation = make_simulation([UNKNOWN], [DONE])
    assert await simulation.run("begin", is_read=True) == [DONE]
    assert len(simulation.links["p2"].ended) == 1


async def test_only_connection_failures_count_against_the_peer() -> None:
    simulation = make_simulation([make_not_run("encode", "too large")], [DONE])
    await simulation.run()
    nodes = simulation.router.membership.list_nodes(0.0)
    assert not any(node.leaving for node in nodes)
    simulation = make_simulation([NOT_RUN], [DONE])
    await simulation.run()
    nodes = simulation.router.membership.list_nodes(0.0)
    assert [node.id for node in nodes if node.leaving] == ["p2"]


async def test_an_unknown_peer_triggers_a_refresh_of_the_list() -> None:
    simulation = make_simulation([DONE], [DONE])
    with pytest.raises(LinkClosed):
        await simulation.router.get_link("p9")
    assert simulation.router.list_refresh.is_set()


def test_an_affinity_gives_every_node_the_same_order() -> None:
    """Otherwise an organisation's few tokens would be split among its holders."""
    orders = set()
    for node in NODES:
        router = attrs.evolve(make_simulation([], []).router, node=node)
        orders.add(router.list_holders("d", "norge-ost", 3, "verksted"))
    assert len(orders) == 1
    router = make_simulation([], []).router
    first = {router.list_holders("d", "norge-ost", 3, f"o{n}")[0] for n in range(50)}
    assert first == {"p1", "p2", "p3"}
    assert router.list_holders("d", "norge-ost", 3)[0] == "p1"
