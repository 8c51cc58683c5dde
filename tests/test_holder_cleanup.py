"""Checks that a statement's cleanup is over before the session's next statement."""

from __future__ import annotations

from collections.abc import AsyncIterator
from types import SimpleNamespace
from typing import Any

import attrs

from radishtrack.clock import ManualTime, make_manual_clock
from radishtrack.peer.messages import Done, Execute, Message
from radishtrack.proxy.holder import Holder
from radishtrack.usage.counter import make_usage_counter

KEY = ("local", 1)
REQUEST = Execute(
    1, 1, "verksted", "strekk", "INSERT 1", "write", "", 0.0, 0, 0, "", 100.0, False
)
DONE = Done(1, 1, 0, 0, 0, "m1", "primary", True)


@attrs.define(eq=False)
class FakeTransaction:
    """A transaction whose statements record whether they have ended."""

    organisation: str = "verksted"
    backend: Any = attrs.field(
        factory=lambda: SimpleNamespace(name="strekk", active_requests=0)
    )
    connection: Any = attrs.field(factory=lambda: SimpleNamespace(is_in_doubt=False))
    resources: Any = None
    is_busy: bool = False
    last_used_ms: float = 0.0
    is_running: bool = False

    async def run(self, _request: Execute, _deadline: float) -> AsyncIterator[Message]:
        self.is_running = True
        try:
            yield DONE
        finally:
            self.is_running = False


async def admit(_backend: Any, _organisation: str, _deadline_ms: float) -> None:
    return


async def test_statement_in_a_transaction_has_ended_when_its_iterator_is_closed() -> (
    None
):
    """The late cleanup of a statement ended the transaction under the next one.

    The client saw 9001 "the transaction was rolled back" for an error of its own.
    """
    transaction = FakeTransaction()
    holder = Holder(
        make_manual_clock(ManualTime()), admit, make_usage_counter(), lambda _: "owner"
    )
    holder.transactions[KEY] = transaction  # type: ignore[assignment]
    messages = holder.execute(*KEY[:1], REQUEST)
    assert await anext(messages) is DONE
    await messages.aclose()  # type: ignore[attr-defined]
    assert not transaction.is_running
    assert not transaction.is_busy
    assert transaction.backend.active_requests == 0
