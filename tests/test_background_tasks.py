"""Checks that one bad message or unexpected error ends no process and no task."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from radishtrack.clock import ManualTime, make_manual_clock, make_system_clock
from radishtrack.peer.link import PeerLink
from radishtrack.peer.messages import Message, Record, RecordRequest
from radishtrack.pooler.tasks import supervise
from radishtrack.proxy.allocators import Allocators
from radishtrack.proxy.copies import Copies
from radishtrack.proxy.votes import Votes
from radishtrack.settings import Address

PEER = "p2"
ADDRESS = Address("10.0.0.2", 7560)


async def test_long_lived_task_starts_again_after_an_error() -> None:
    """An error in one task ended the node, or the task ended and nobody noticed."""
    runs: list[int] = []

    async def run() -> None:
        runs.append(1)
        if len(runs) < 3:
            raise ValueError("malformed")

    async with asyncio.timeout(2):
        await supervise(run, "task", make_system_clock())
    assert len(runs) == 3


async def test_cancelled_task_does_not_start_again() -> None:
    async def run() -> None:
        await asyncio.Event().wait()

    task = asyncio.create_task(supervise(run, "task", make_system_clock()))
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


class RecordLink:
    """A peer whose record can't be parsed."""

    def __init__(self, value: bytes) -> None:
        self.value = value

    async def call(
        self, message: RecordRequest, _number: int, _timeout_s: float
    ) -> Message:
        return Record(message.request, 7, self.value)


@pytest.mark.parametrize("value", [b"\xff", b"\x01", b"", b"\xa0"])
async def test_malformed_record_of_a_peer_is_ignored(value: bytes) -> None:
    """Such a record ended the node."""
    updated: list[Any] = []

    async def get_link(_name: str) -> RecordLink:
        return RecordLink(value)

    votes = Votes(
        make_manual_clock(ManualTime()),
        SimpleNamespace(),  # type: ignore[arg-type]
        SimpleNamespace(get_link=get_link),  # type: ignore[arg-type]
        SimpleNamespace(update_record=updated.append),  # type: ignore[arg-type]
    )
    await votes._request_record(PEER, "strekk-db")
    assert updated == []


def test_organisation_that_was_removed_has_no_allocator() -> None:
    """A request that was under way when it was removed raised KeyError."""
    allocators = Allocators(
        "p1",
        "norge-ost",
        "p1.1",
        make_manual_clock(ManualTime()),
        SimpleNamespace(),  # type: ignore[arg-type]
        SimpleNamespace(),  # type: ignore[arg-type]
    )
    allocators.document = SimpleNamespace(organisations={})  # type: ignore[assignment]
    assert allocators.find_allocator_node("removed") == ""


async def test_link_to_an_unlisted_seed_is_used_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each round of copies opened another link to the same seed."""
    opened: list[str] = []

    async def open_link(address: str) -> Any:
        opened.append(address)
        return SimpleNamespace(node=PEER, closed=False)

    async def ignore(_copies: Copies, _link: PeerLink) -> None:
        return

    # The listed address differs from the seed's, so the router keeps another link.
    listed = SimpleNamespace(closed=False)
    copies = Copies.__new__(Copies)
    copies.router = SimpleNamespace(  # type: ignore[assignment]
        open_link=open_link, links={PEER: listed}
    )
    copies.seed_links = {}
    monkeypatch.setattr(Copies, "_request_over_link", ignore)
    for _ in range(3):
        await copies._request_seed(ADDRESS)
    assert opened == [str(ADDRESS)]
