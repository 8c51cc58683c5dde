"""Which node holds the organisations' rates, and when another one takes over."""

from __future__ import annotations

import asyncio
import zlib
from typing import Final

import attrs

from radishtrack.clock import Clock
from radishtrack.events import Event, log_event
from radishtrack.peer.messages import DutyChanged, HolderAsked, HolderHeard
from radishtrack.pooler.catalog import NodeRecord
from radishtrack.pooler.control import NOBODY, Control
from radishtrack.pooler.peers import Peers
from radishtrack.pooler.ports import Duty, StoreUnavailable
from radishtrack.pooler.rank import rank_node
from radishtrack.pooler.tasks import start_task

RATES_DUTY: Final = "rates"
"""Name of the duty's record in the store."""
LOST_AFTER_MS: Final = 700.0
"""A holder that has not answered for so long is replaced; two exchanges fit in."""
STALE_COPY_MS: Final = 1_800.0
"""A holder whose copy of the store is older is replaced by a node with a recent one:
two of its reads, 0.8 s apart, have failed, and all nodes rely on them."""
RECENT_COPY_MS: Final = 1_000.0
"""A copy that is younger was confirmed without the holder, or just before it failed."""
RANK_DELAY_MS: Final = 200.0
"""Head start of each node over the next one, longer than a claim takes."""
WITNESSES: Final = 3
"""Other nodes that are asked whether they hear the holder."""
WITNESS_TIMEOUT_MS: Final = 200.0
"""An answer takes one round trip."""
ALONE_MS: Final = 3_000.0
"""A node that reaches no witness is probably cut off itself, so it waits longer."""
ANNOUNCE_TIMEOUT_MS: Final = 300.0
"""Nodes that miss the announcement read the record when they next ask the store."""


@attrs.define(eq=False)
class CoordinatorFailover:
    """One node's view of the holder.

    Parameters
    ----------
    name : str
        This node.
    clock : Clock
        Time in milliseconds.
    control : Control
        Copy of the store, with the duty's record.
    peers : Peers
        Links to the other nodes.
    """

    name: str
    clock: Clock
    control: Control
    peers: Peers
    last_response_ms: float = 0.0
    """When the holder last answered this node."""
    copy_confirmed_ms: float = 0.0
    """When the holder's copy of the store was confirmed, by its last answer."""
    probe_confirmed_ms: float = 0.0
    """When a node that was asked for the holder last answered."""
    announcing: asyncio.Task[None] | None = None

    @property
    def holder(self) -> str:
        """Name of the holder by the duty's record."""
        return self.control.find_duty(RATES_DUTY).duty.holder

    def record_response(self, asked_ms: float, copy_age_ms: float) -> None:
        """Record an answer of the holder to what was sent at `asked_ms`."""
        self.last_response_ms = self.clock.now_ms()
        self.copy_confirmed_ms = asked_ms - copy_age_ms

    def response_age_ms(self) -> float:
        """Return how long ago the holder has answered this node."""
        if self.holder == self.name:
            return 0.0
        return self.clock.now_ms() - self.last_response_ms

    def find_coordinator(self) -> NodeRecord | None:
        """Return the record of the holder, if it is another node that answers."""
        if self.holder == self.name or self.response_age_ms() > LOST_AFTER_MS:
            return None
        return self.find_node(self.holder)

    def find_node(self, name: str) -> NodeRecord | None:
        """Return a node's record."""
        return next((node for node in self.control.nodes if node.name == name), None)

    async def replace_lost(self) -> bool:
        """Become the holder if nobody is, or if the present one is lost."""
        # The duty may have been released or claimed a moment ago.
        await self.control.refresh(self.control.find_duty(RATES_DUTY).duty)
        known = self.control.find_duty(RATES_DUTY)
        if known.duty.holder == self.name:
            return False
        is_released = known.duty.holder == NOBODY
        due_ms = known.seen_ms
        if not is_released:
            due_ms = max(self.last_response_ms, known.seen_ms) + LOST_AFTER_MS
        due_ms += self._rank() * RANK_DELAY_MS
        if self.clock.now_ms() < due_ms:
            return False
        if not is_released and not await self.is_loss_confirmed(due_ms):
            return False
        return await self._claim(known.duty)

    async def replace_stale(self) -> bool:
        """Become the holder if the present one does not reach the store."""
        known = self.control.find_duty(RATES_DUTY).duty
        if known.holder in (self.name, NOBODY):
            return False
        age_ms = self.clock.now_ms() - self.copy_confirmed_ms
        if age_ms < STALE_COPY_MS + self._rank() * RANK_DELAY_MS:
            return False
        if self.control.age_ms() >= RECENT_COPY_MS:
            return False
        return await self._claim(known)

    async def is_loss_confirmed(self, due_ms: float) -> bool:
        """Tell whether other nodes don't hear the holder either.

        Parameters
        ----------
        due_ms : float
            From when on this node may replace the holder.
        """
        others = [node for node in self.peers.others() if node.name != self.holder]
        # Each node asks others, so that no three decide for all.
        others.sort(key=lambda node: zlib.crc32(f"{self.name}/{node.name}".encode()))
        witnesses = others[:WITNESSES]
        answers = await asyncio.gather(
            *(
                self.peers.send_request(node, HolderAsked, WITNESS_TIMEOUT_MS)
                for node in witnesses
            )
        )
        heard = [answer for answer in answers if isinstance(answer, HolderHeard)]
        now_ms = self.clock.now_ms()
        if any(answer.age_ms < LOST_AFTER_MS for answer in heard):
            self.probe_confirmed_ms = now_ms
            return False
        if heard or not witnesses:
            return True
        # One lost answer says nothing.
        return now_ms >= max(due_ms, self.probe_confirmed_ms) + ALONE_MS

    async def release(self) -> None:
        """Give the duty up, so that another node takes it without a wait."""
        try:
            await self.control.release_duty(RATES_DUTY)
        except StoreUnavailable as error:
            log_event(Event.PLATFORM_UNAVAILABLE, step=error.step, reason=error.reason)
            return
        await self._announce(self.control.find_duty(RATES_DUTY).duty)

    async def _claim(self, earlier: Duty) -> bool:
        try:
            duty = await self.control.claim_duty(RATES_DUTY)
        except StoreUnavailable as error:
            # The record shows at the next confirmation whether the claim took effect.
            log_event(Event.PLATFORM_UNAVAILABLE, step=error.step, reason=error.reason)
            return False
        if duty is None:
            return False
        log_event(
            Event.RATES_HELD,
            node=self.name,
            epoch=duty.revision,
            earlier=earlier.holder,
        )
        self.announcing = start_task(
            self._announce(duty), "announcement of the rates' holder"
        )
        return True

    async def _announce(self, duty: Duty) -> None:
        if duty.holder not in (self.name, NOBODY):
            return
        await self.peers.request_all(
            lambda request: DutyChanged(
                request, RATES_DUTY, duty.holder, duty.revision, duty.claim
            ),
            ANNOUNCE_TIMEOUT_MS,
        )

    def _rank(self) -> int:
        return rank_node(self.name, RATES_DUTY, self.control.nodes)
