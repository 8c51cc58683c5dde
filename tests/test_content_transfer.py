"""Tests that nodes pass on differences of the store's content, in pages, unchanged.

A wrong difference would stay at a node: later ones start from it.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
from collections.abc import Callable

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishtrack.clock import ManualTime, make_manual_clock
from radishtrack.group.status import Role
from radishtrack.peer import server
from radishtrack.peer.codec import CodecError, decode
from radishtrack.peer.messages import (
    Content,
    ContentPage,
    ContentPageWanted,
    ContentWanted,
    Message,
)
from radishtrack.pooler.catalog import (
    EMPTY_CATALOG,
    Catalog,
    GroupSettings,
    Member,
    NodeRecord,
    Organisation,
    ReadClass,
    Route,
)
from radishtrack.pooler.content_codec import ContentError
from radishtrack.pooler.content_difference import StoreContent, merge_catalog
from radishtrack.pooler.content_exchange import (
    MAX_FAILED_PAGES,
    PENDING_LIMIT_MS,
    ContentExchange,
)
from radishtrack.pooler.content_stream import (
    Bases,
    ContentHeader,
    EncodedContent,
    decode_difference,
    decode_header,
    encode_difference,
)
from radishtrack.pooler.content_transfer import (
    PAGE_BYTES,
    IncomingContent,
    ReceivedContent,
    make_empty_page,
    make_page,
)
from radishtrack.pooler.peers import MakeMessage, Peers
from radishtrack.pooler.ports import Duty, FleetListing
from radishtrack.pooler.store_content import (
    CopyContent,
    digest_fleet,
    digest_members,
)
from radishtrack.pooler.store_copy import StoreCopy
from tests.pooler_simulation import make_config, open_simulation, wait_until
from tests.test_pooler_store_copy import FakeStore

FIRST = NodeRecord("edge-1", "10.0.0.1", 7560, "a", 1, 2.0)
SECOND = NodeRecord("edge-2", "10.0.0.2", 7560, "a", 2, 1.0)
NO_CONTENT = CopyContent(1, 0, 0, 0)

names = st.sampled_from([f"n{number}" for number in range(6)])
numbers = st.integers(0, 9)


@st.composite
def draw_catalogs(draw: st.DrawFn, version: int) -> Catalog:
    organisations = {
        name: Organisation(name, float(draw(numbers)), 2.0)
        for name in draw(st.sets(names, min_size=1))
    }
    owners = st.sampled_from(sorted(organisations))
    return Catalog(
        version,
        {
            name: Route(
                name,
                "strekk",
                draw(st.sampled_from(ReadClass)),
                float(draw(numbers)),
                600.0,
                100.0,
                1,
                draw(st.booleans()),
            )
            for name in draw(st.sets(names))
        },
        organisations,
        {name.encode(): organisations[draw(owners)] for name in draw(st.sets(names))},
        {name: GroupSettings(name, draw(numbers), 1) for name in draw(st.sets(names))},
        float(draw(numbers)),
    )


@st.composite
def draw_contents(draw: st.DrawFn, version: int) -> StoreContent:
    return StoreContent(
        draw(draw_catalogs(version)),
        tuple(
            Member(
                name,
                "strekk",
                "10.0.1.1",
                8_085,
                "a",
                draw(numbers),
                draw(st.booleans()),
                draw(st.sampled_from(Role)),
                draw(numbers),
            )
            for name in sorted(draw(st.sets(names)))
        ),
        frozenset(draw(st.sets(names))),
        FleetListing(
            tuple(
                NodeRecord(name, "10.0.0.1", 7_560, "a", draw(numbers), 1.0)
                for name in sorted(draw(st.sets(names)))
            ),
            {name: Duty("n1", draw(numbers), "c") for name in draw(st.sets(names))},
            {name: draw(numbers) for name in draw(st.sets(names))},
            version,
        ),
    )


def describe(content: StoreContent) -> CopyContent:
    return CopyContent(
        content.fleet.revision,
        content.catalog.version,
        digest_members(content.members, content.zones),
        digest_fleet(content.fleet),
    )


async def encode(
    earlier: StoreContent, later: StoreContent, digest: int
) -> EncodedContent:
    described = describe(earlier)
    bases = Bases(described.catalog, described.members, described.fleet)
    header = ContentHeader(describe(later), bases, digest, later.fleet.revision)
    return await encode_difference(header, earlier, later, bases)


@given(draw_contents(1), draw_contents(2))
def test_a_difference_leads_to_the_later_content(
    earlier: StoreContent, later: StoreContent
) -> None:
    async def check() -> None:
        _, earlier_digest = await merge_catalog(EMPTY_CATALOG, 0, earlier.catalog)
        merged, digest = await merge_catalog(
            earlier.catalog, earlier_digest, later.catalog
        )
        assert merged == later.catalog
        encoded = await encode(earlier, later, digest)
        received, received_digest = await decode_difference(
            encoded.data, earlier, earlier_digest
        )
        assert received.catalog == later.catalog
        assert describe(received) == describe(later)
        # The digest doesn't depend on the way to a configuration.
        assert received_digest == digest
        assert (await merge_catalog(EMPTY_CATALOG, 0, later.catalog))[1] == digest
        header = decode_header(encoded.data)
        assert header.content == describe(later)

    asyncio.run(check())


@given(st.binary(max_size=60), draw_contents(1), st.integers(0, 400))
def test_malformed_differences_raise_one_kind_of_error(
    data: bytes, content: StoreContent, position: int
) -> None:
    """Any other error would end the task that keeps the copy up to date."""

    async def check() -> None:
        encoded = (await encode(StoreContent(), content, 0)).data
        broken = encoded[: position % len(encoded)]
        for malformed in (data, broken, broken + data):
            with contextlib.suppress(ContentError):
                decode_header(malformed)
            with contextlib.suppress(ContentError):
                await decode_difference(malformed, StoreContent(), 0)

    asyncio.run(check())


def make_catalog(version: int, routes: int) -> Catalog:
    route = Route("d", "strekk", ReadClass.STRICT, 0.0, 600.0, 100.0, 1, False)
    # Names that hardly shrink, as those of databases.
    digests = (hashlib.blake2b(bytes([n >> 8, n & 255])) for n in range(routes))
    databases = (digest.hexdigest()[:20] for digest in digests)
    added = {name: attrs.evolve(route, database=name) for name in databases}
    return attrs.evolve(EMPTY_CATALOG, version=version, routes=added)


@attrs.define(eq=False)
class FakePeers(Peers):
    """Peers whose only node answers by a function."""

    respond: Callable[[Message], object] = lambda _message: None
    requests: list[Message] = attrs.field(factory=list)
    asked: list[str] = attrs.field(factory=list)
    silent: set[str] = attrs.field(factory=set)

    async def send_request(
        self, node: NodeRecord, make_message: MakeMessage, timeout_ms: float
    ) -> Message | None:
        message = make_message(len(self.requests))
        self.requests.append(message)
        self.asked.append(node.name)
        if node.name in self.silent:
            return None
        response = self.respond(message)
        if asyncio.iscoroutine(response):
            response = await response
        return response  # type: ignore[no-any-return]


@attrs.define(eq=False)
class Pair:
    """A sender with a catalog of its own, and a receiver that takes it."""

    time: ManualTime
    sender: ContentExchange
    receiver: ContentExchange
    peers: FakePeers

    @property
    def wanted(self) -> CopyContent:
        return self.sender.store_copy.content


async def make_pair(routes: int) -> Pair:
    time = ManualTime(10_000.0)
    clock = make_manual_clock(time)
    copies = [
        StoreCopy(FakeStore(nodes=(FIRST, SECOND)), clock, node, lambda: None)
        for node in (FIRST, SECOND)
    ]
    for copy in copies:
        await copy.confirm()
    copies[1].reads_for_fleet = lambda: False
    peers = FakePeers(SECOND.name, clock, lambda: (FIRST, SECOND))
    sender = ContentExchange(FIRST, clock, copies[0], peers)
    receiver = ContentExchange(SECOND, clock, copies[1], peers)
    receiver.find_coordinator = lambda: FIRST
    copies[1].request_content = receiver.request
    store = copies[0].store
    assert isinstance(store, FakeStore)
    store.catalog, store.revision = make_catalog(7, routes), 2
    await copies[0].confirm()

    async def respond(message: Message) -> Message | None:
        assert isinstance(message, ContentPageWanted)
        return await sender.send_page(message)

    peers.respond = respond
    return Pair(time, sender, receiver, peers)


async def test_content_arrives_in_pages_of_bounded_size() -> None:
    pair = await make_pair(routes=3_000)
    received = await pair.receiver.request(pair.wanted)
    assert isinstance(received, ReceivedContent)
    assert received.parts.catalog == pair.sender.store_copy.catalog
    pages = len(pair.peers.requests)
    assert pages > 1
    (encoded,) = pair.sender.encoded.encoded
    assert (pages - 1) * PAGE_BYTES < len(encoded.data) <= pages * PAGE_BYTES


async def test_concurrent_requests_transfer_content_once() -> None:
    """A lookup and the task of the copy filled a small link with the same content."""
    pair = await make_pair(routes=3_000)
    copy = pair.receiver.store_copy
    await asyncio.gather(*(copy.confirm((pair.wanted, 10_500.0)) for _ in range(3)))
    assert copy.catalog == pair.sender.store_copy.catalog
    offsets = [
        message.offset
        for message in pair.peers.requests
        if isinstance(message, ContentPageWanted)
    ]
    assert offsets.count(PAGE_BYTES) == 1
    store = copy.store
    assert isinstance(store, FakeStore)
    assert store.catalog_reads == 1


async def test_a_lost_page_is_requested_again() -> None:
    """A lost response began the transfer anew, or ended it."""
    pair = await make_pair(routes=3_000)
    respond, lost = pair.peers.respond, [2]

    def lose_second(message: Message) -> object:
        if len(pair.peers.requests) in lost:
            return None
        return respond(message)

    pair.peers.respond = lose_second
    received = await pair.receiver.request(pair.wanted)
    assert isinstance(received, ReceivedContent)
    offsets = [
        message.offset
        for message in pair.peers.requests
        if isinstance(message, ContentPageWanted)
    ]
    assert offsets[1] == offsets[2] == PAGE_BYTES


async def test_content_that_changes_meanwhile_is_sent_to_its_end() -> None:
    """A transfer that begins anew with each change never ends."""
    pair = await make_pair(routes=3_000)
    respond, wanted = pair.peers.respond, pair.wanted
    store = pair.sender.store_copy.store
    assert isinstance(store, FakeStore)

    async def respond_and_change(message: Message) -> object:
        assert isinstance(store, FakeStore)
        response = respond(message)
        assert asyncio.iscoroutine(response)
        page = await response
        store.revision += 1
        store.catalog = make_catalog(store.revision + 10, 3_000)
        await pair.sender.store_copy.confirm()
        return page

    pair.peers.respond = respond_and_change
    received = await pair.receiver.request(wanted)
    assert isinstance(received, ReceivedContent)
    assert received.content.catalog == 7
    assert received.parts.catalog.version == 7


async def test_an_encoding_describes_the_content_that_it_has() -> None:
    """The copy may change before its encoding has begun."""
    pair = await make_pair(routes=10)
    copy = pair.sender.store_copy
    encoding = asyncio.create_task(pair.sender._encode(Bases()))
    await asyncio.sleep(0)
    store = copy.store
    assert isinstance(store, FakeStore)
    copy.update_catalog(make_catalog(8, 5), 0, 9)
    header = decode_header((await encoding).data)
    parts, digest = await decode_difference((await encoding).data, StoreContent(), 0)
    assert header.content.catalog == parts.catalog.version == 7
    assert digest == header.catalog_digest


async def test_a_sender_that_has_restarted_begins_anew() -> None:
    pair = await make_pair(routes=3_000)
    respond = pair.peers.respond

    def restart(message: Message) -> object:
        if len(pair.peers.requests) == 3:
            pair.sender.encoded.encoded.clear()
            pair.sender.store_copy.history.catalogs.clear()
        return respond(message)

    pair.peers.respond = restart
    received = await pair.receiver.request(pair.wanted)
    assert isinstance(received, ReceivedContent)
    assert received.parts.catalog == pair.sender.store_copy.catalog


async def test_a_difference_from_another_configuration_is_not_used() -> None:
    """A version that was written anew after a restore may have other routes."""
    pair = await make_pair(routes=10)
    copy = pair.receiver.store_copy
    assert await copy.confirm((pair.wanted, 10_500.0))
    assert copy.catalog.version == 7
    store = pair.sender.store_copy.store
    assert isinstance(store, FakeStore)
    store.catalog, store.revision = make_catalog(8, 11), 3
    await pair.sender.store_copy.confirm()
    copy.catalog = attrs.evolve(copy.catalog, routes={})
    copy.catalog_digest = 0
    received = await pair.receiver.request(pair.wanted)
    assert received is None


async def test_a_node_without_the_content_is_waited_for_and_not_avoided() -> None:
    """All nodes read the store while the one that reads for them was still reading."""
    pair = await make_pair(routes=10)
    wanted = attrs.evolve(pair.wanted, revision=5, catalog=9)
    respond = pair.peers.respond

    def advance(message: Message) -> object:
        pair.time.advance(PENDING_LIMIT_MS / 4)
        return respond(message)

    pair.peers.respond = advance
    assert await pair.receiver.request(wanted) is None
    assert len(pair.peers.requests) > MAX_FAILED_PAGES
    assert pair.receiver.find_source() == FIRST


async def test_a_node_without_the_store_is_not_waited_for() -> None:
    pair = await make_pair(routes=10)
    pair.sender.store_copy.is_available = False
    wanted = attrs.evolve(pair.wanted, revision=5, catalog=9)
    assert await pair.receiver.request(wanted) is None
    assert len(pair.peers.requests) == 1


async def test_a_node_whose_pages_add_nothing_is_given_up() -> None:
    """It was asked for the same page without end."""
    pair = await make_pair(routes=3_000)
    respond = pair.peers.respond

    async def respond_without_data(message: Message) -> object:
        response = respond(message)
        assert asyncio.iscoroutine(response)
        page = await response
        return attrs.evolve(page, data=b"") if page.offset else page

    pair.peers.respond = respond_without_data
    async with asyncio.timeout(5.0):
        assert await pair.receiver.request(pair.wanted) is None
    assert pair.receiver.find_source() is None


async def test_an_unresponsive_node_is_avoided() -> None:
    pair = await make_pair(routes=10)
    pair.peers.respond = lambda _message: None
    assert await pair.receiver.request(pair.wanted) is None
    assert pair.receiver.find_source() is None


async def test_the_next_node_is_asked_in_place_of_an_unresponsive_one() -> None:
    """All nodes of a zone read the store when its reader did not respond."""
    pair = await make_pair(routes=10)
    third = attrs.evolve(FIRST, name="edge-3")
    last = attrs.evolve(SECOND, name="edge-4")
    pair.receiver.node = last
    pair.receiver.store_copy.registered = (FIRST, third, last)
    reader = pair.receiver.find_reader()
    assert reader is not None
    pair.peers.silent = {reader.name}
    received = await pair.receiver.request(pair.wanted)
    assert isinstance(received, ReceivedContent)
    assert set(pair.peers.asked) == {FIRST.name, third.name}


async def test_a_node_of_an_earlier_version_is_asked_for_whole_parts() -> None:
    """It closes the connection on a message that it does not know."""
    pair = await make_pair(routes=10)

    def respond(message: Message) -> object:
        if isinstance(message, ContentWanted):
            return pair.sender.respond(message)
        return None

    pair.peers.respond = respond
    for _ in range(2):
        received = await pair.receiver.request(pair.wanted)
        assert isinstance(received, Content)
    kinds = [type(message) for message in pair.peers.requests]
    assert kinds == [ContentPageWanted, ContentWanted, ContentWanted]
    copy = pair.receiver.store_copy
    assert await copy.confirm((pair.wanted, 10_500.0))
    assert copy.catalog == pair.sender.store_copy.catalog
    assert copy.catalog_digest == pair.sender.store_copy.catalog_digest


def test_pages_of_another_transfer_replace_those_before() -> None:
    incoming = IncomingContent()
    first = EncodedContent(1, Bases(), NO_CONTENT, b"a" * (PAGE_BYTES + 1))
    second = EncodedContent(2, Bases(), NO_CONTENT, b"b" * 3)
    incoming.accept(make_page(1, first, 0, 100.0), 1_000.0)
    assert not incoming.is_complete
    incoming.accept(make_empty_page(2, True), 1_000.0)
    assert not incoming.accept(make_page(3, first, 0, 100.0), 1_000.0)
    assert len(incoming.data) == PAGE_BYTES
    incoming.accept(make_page(4, second, 0, -1.0), 1_100.0)
    assert incoming.is_complete and bytes(incoming.data) == b"bbb"
    assert incoming.confirmed_ms == float("-inf")


async def test_a_fleet_of_two_versions_shares_changes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Nodes are replaced one after the other, and must follow changes meanwhile."""

    def decode_earlier(frame: bytes) -> Message:
        message = decode(frame)
        if isinstance(message, ContentPageWanted | ContentPage):
            raise CodecError("unknown message type")
        return message

    monkeypatch.setattr(server, "decode", decode_earlier)
    async with open_simulation(nodes=3) as simulation:
        copies = [running.node.store_copy for running in simulation.nodes]
        for version in (9, 10):
            simulation.store.put("config", "main", make_config(version=version))
            await wait_until(
                lambda v=version: all(copy.catalog.version == v for copy in copies)
            )
