"""Exchanges shares of rates with the rates' holder, or is that holder."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Final

import attrs

from radishtrack.clock import Clock
from radishtrack.peer.messages import (
    DutyChanged,
    DutyNoted,
    SharesGranted,
    SharesReturned,
    SharesWanted,
)
from radishtrack.pooler.control import Control
from radishtrack.pooler.holder_succession import RATES_DUTY, HolderSuccession
from radishtrack.pooler.peers import NotRunning, Peers
from radishtrack.pooler.ports import Duty
from radishtrack.pooler.rate_limit import RateLimiter
from radishtrack.pooler.shares import (
    NOTHING_LENT,
    ShareHolder,
    make_share_holder,
)

EXCHANGE_INTERVAL_MS: Final = 300.0
"""Pause between exchanges without a need: three fit into the time of a loan."""
EXCHANGE_TIMEOUT_MS: Final = 300.0
"""An answer takes one round trip."""
JOIN_MS: Final = 1_000.0
"""All nodes have read the record of a new one by then."""
SILENT_NODE_MS: Final = 4_000.0
"""A node that has not asked for so long is taken as gone: a restart takes up to 2 s."""
COPY_LIMIT_MS: Final = 2_500.0
"""A holder whose copy of the store is older may have been replaced."""


@attrs.define(eq=False)
class RateExchange:
    """State of one node; `run` never returns."""

    name: str
    clock: Clock
    control: Control
    peers: Peers
    succession: HolderSuccession
    limiter: RateLimiter = attrs.field(factory=RateLimiter)
    coordinator: ShareHolder | None = None
    """This node's state as holder, while it is that."""
    epoch: int = 0
    reply: int = 0
    """The last answer of the present holder."""
    lent_to: str = ""
    """The holder that has received this node's shares."""
    heard_ms: dict[str, float] = attrs.field(factory=dict)
    """When each node last asked this one."""
    is_stopping: bool = False
    wanted: asyncio.Event = attrs.field(factory=asyncio.Event)
    exchanged: asyncio.Event = attrs.field(factory=asyncio.Event)

    def configure(self) -> None:
        """Apply the present configuration and number of nodes."""
        now_ms = self.clock.now_ms()
        if not self.limiter.demands:
            # The other nodes divide the rates without this one until they know of it.
            self.limiter.start_later(now_ms + JOIN_MS)
        nodes = max(1, len(self.control.nodes))
        organisations = self.control.catalog.organisations
        self.limiter.configure(organisations, nodes, now_ms)
        self.follow_duty()
        if self.coordinator is not None:
            self.coordinator.configure(organisations, now_ms)

    async def admit(self, organisation: str, wait_ms: float) -> bool:
        """Use one token of an organisation, and wait for it up to `wait_ms`."""
        now_ms = self.clock.now_ms()
        if self.limiter.take(organisation, now_ms):
            return True
        until_ms = now_ms + wait_ms
        self.limiter.want(organisation, 1)
        try:
            while (asks_ms := self.limiter.asks_from_ms(organisation)) < until_ms:
                await self._await_exchange(asks_ms, until_ms)
                now_ms = self.clock.now_ms()
                if self.limiter.take(organisation, now_ms):
                    return True
                if now_ms >= until_ms:
                    return False
            return False
        finally:
            self.limiter.want(organisation, -1)

    def grant(self, node: str, message: SharesWanted) -> SharesGranted:
        """Answer a node, as holder."""
        now_ms = self.clock.now_ms()
        self.heard_ms[node] = now_ms
        holder = self.coordinator
        age_ms = self.control.age_ms()
        if holder is None:
            return SharesGranted(message.request, 0, NOTHING_LENT, (), age_ms)
        if self.is_stopping:
            # The node may use its shares again at once, instead of when its promise
            # ends; this holder has to count them as returned for good.
            holder.forget(node)
            return SharesGranted(
                message.request, holder.epoch, NOTHING_LENT, (), age_ms
            )
        reply = message.reply if message.epoch == holder.epoch else NOTHING_LENT
        number, granted = holder.exchange(
            node, message.nodes, reply, message.wanted, now_ms
        )
        return SharesGranted(message.request, holder.epoch, number, granted, age_ms)

    def take_back(self, node: str, message: SharesReturned) -> SharesGranted:
        """End a node's loan, because it lends to another holder from now on."""
        epoch = 0
        if self.coordinator is not None:
            self.coordinator.forget(node)
            epoch = self.coordinator.epoch
        age_ms = self.control.age_ms()
        return SharesGranted(message.request, epoch, NOTHING_LENT, (), age_ms)

    def note_duty(self, message: DutyChanged) -> DutyNoted:
        """Take in that another node became the holder, or that the holder stops."""
        duty = Duty(message.holder, message.revision, message.claim)
        self.control.note_duty(message.name, duty)
        self.follow_duty()
        self.wanted.set()
        return DutyNoted(message.request)

    def is_holder(self) -> bool:
        """Tell whether this node is the holder."""
        return self.coordinator is not None

    def list_silent_nodes(self) -> tuple[str, ...]:
        """Return the registered nodes that this holder has not heard of for long."""
        # A holder that was out of touch may have been replaced without knowing it.
        if self.coordinator is None or self.control.age_ms() >= COPY_LIMIT_MS:
            return ()
        before_ms = self.clock.now_ms() - SILENT_NODE_MS
        return tuple(
            node.name
            for node in self.control.registered
            if node.name != self.name
            and max(self.coordinator.since_ms, self.heard_ms.get(node.name, 0.0))
            < before_ms
        )

    async def run(self) -> None:
        """Exchange whenever tokens are needed, and regularly."""
        self.succession.answered_ms = self.clock.now_ms()
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(EXCHANGE_INTERVAL_MS / 1000):
                    await self.wanted.wait()
            self.wanted.clear()
            if self.control.confirmed_ms is None:
                await asyncio.sleep(EXCHANGE_INTERVAL_MS / 1000)
                continue
            is_answered = await self._exchange()
            if not self.is_stopping:
                await self._take_over(is_answered)
            if not is_answered:
                await asyncio.sleep(EXCHANGE_INTERVAL_MS / 1000)
            self.exchanged.set()
            self.exchanged = asyncio.Event()

    async def _await_exchange(self, asks_ms: float, until_ms: float) -> None:
        """Wait for the next exchange that is sent from `asks_ms` on."""
        delay_ms = asks_ms - self.clock.now_ms()
        if delay_ms > 0:
            await asyncio.sleep(delay_ms / 1000)
        self.wanted.set()
        exchanged = self.exchanged
        with contextlib.suppress(TimeoutError):
            remaining_ms = max(0.0, until_ms - self.clock.now_ms())
            async with asyncio.timeout(remaining_ms / 1000):
                await exchanged.wait()

    async def release(self) -> None:
        """Give the duty up before this node stops."""
        self.is_stopping = True
        await self.succession.release()
        self.follow_duty()

    async def return_shares(self) -> None:
        """Take the shares back from an earlier holder, if it can be asked.

        A holder that has ended grants nothing any more; with one that is silent, the
        node has to wait until its promise ends.
        """
        earlier, self.lent_to = self.lent_to, ""
        is_returned = earlier == self.name
        record = self.succession.find_node(earlier)
        if not is_returned and record is not None:
            answer = await self.peers.ask(record, SharesReturned, EXCHANGE_TIMEOUT_MS)
            is_returned = isinstance(answer, SharesGranted | NotRunning)
        if is_returned:
            self.limiter.end_promise(self.clock.now_ms())

    async def _take_over(self, is_answered: bool) -> None:
        """Become the holder if there is a reason, and no other node is faster."""
        succession = self.succession
        replace = succession.replace_stale if is_answered else succession.replace_lost
        if await replace():
            self.configure()
            self.wanted.set()

    async def _exchange(self) -> bool:
        """Ask the holder once; return whether it answered."""
        holder = self.succession.holder
        if self.lent_to not in ("", holder):
            await self.return_shares()
        asked_ms = self.clock.now_ms()
        answer = await self._ask(holder, self.limiter.list_wanted(asked_ms))
        if answer is None or answer.epoch == 0:
            return False
        now_ms = self.clock.now_ms()
        if answer.reply == NOTHING_LENT:
            if answer.epoch == self.epoch:
                self.limiter.end_promise(now_ms)
            return False
        self.succession.note_answer(asked_ms, answer.copy_age_ms)
        if answer.epoch != self.epoch:
            if now_ms < self.limiter.lent_until_ms:
                # The shares are still lent to the earlier holder.
                return True
            # The loan counts only once the holder knows that its answer has arrived.
            self.wanted.set()
        self.lent_to = holder
        self.epoch, self.reply = answer.epoch, answer.reply
        self.limiter.note_granted(answer.granted, asked_ms, now_ms)
        return True

    async def _ask(
        self, holder: str, wanted: tuple[tuple[str, int], ...]
    ) -> SharesGranted | None:
        nodes = max(1, len(self.control.nodes))
        if holder == self.name:
            own = SharesWanted(0, self.epoch, self.reply, nodes, wanted)
            return self.grant(self.name, own)
        record = self.succession.find_node(holder)
        if record is None:
            return None
        answer = await self.peers.ask(
            record,
            lambda request: SharesWanted(
                request, self.epoch, self.reply, nodes, wanted
            ),
            EXCHANGE_TIMEOUT_MS,
        )
        return answer if isinstance(answer, SharesGranted) else None

    def follow_duty(self) -> None:
        """Begin or end this node's time as holder, by the duty's record."""
        duty = self.control.find_duty(RATES_DUTY).duty
        if duty.holder != self.name:
            self.coordinator = None
        elif self.coordinator is None or self.coordinator.epoch != duty.revision:
            self.coordinator = make_share_holder(duty.revision, self.clock.now_ms())


def make_rate_exchange(
    name: str, clock: Clock, control: Control, peers: Peers
) -> RateExchange:
    """Return a node's part in dividing the rates; nothing is lent yet."""
    succession = HolderSuccession(name, clock, control, peers)
    return RateExchange(name, clock, control, peers, succession)
