"""Delegates a node's shares of rates to the coordinator, or acts as coordinator."""

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
from radishtrack.pooler.coordinator_failover import (
    RANK_DELAY_MS,
    RATES_DUTY,
    CoordinatorFailover,
)
from radishtrack.pooler.peers import Peers, Refused
from radishtrack.pooler.ports import Duty
from radishtrack.pooler.rate_limit import RateLimiter, RateToken
from radishtrack.pooler.shares import (
    NO_DELEGATION,
    RateCoordinator,
    make_rate_coordinator,
)
from radishtrack.pooler.store_copy import StoreCopy

EXCHANGE_INTERVAL_MS: Final = 300.0
"""Pause between exchanges without demand; three fit into the time of a delegation."""
EXCHANGE_TIMEOUT_MS: Final = 300.0
"""Time limit of an exchange, which takes one round trip."""
JOIN_DELAY_MS: Final = 1_000.0
"""Time after which all nodes have read the record of a new one."""
UNRESPONSIVE_NODE_MS: Final = 4_000.0
"""Time without a request after which a node is considered gone; a restart takes up to
2 s."""
MAX_COPY_AGE_MS: Final = 2_500.0
"""Age of its copy of the store from which a coordinator may have been replaced."""


@attrs.define(eq=False)
class RateExchange:
    """One node's part in dividing the rates; `run` never returns."""

    name: str
    clock: Clock
    store_copy: StoreCopy
    peers: Peers
    failover: CoordinatorFailover
    process_started_ms: float
    limiter: RateLimiter = attrs.field(factory=RateLimiter)
    coordinator: RateCoordinator | None = None
    """State as coordinator; None while another node has the duty."""
    epoch: int = 0
    reply: int = 0
    """Number of the current coordinator's last response."""
    delegated_to: str = ""
    """Coordinator to which this node has delegated its shares; empty if none."""
    counted_elsewhere_until_ms: float = 0.0
    """Until then an earlier coordinator may count this node's delegation."""
    last_request_ms: dict[str, float] = attrs.field(factory=dict)
    """When each node last sent a request to this one."""
    is_stopping: bool = False
    has_restarted_as_coordinator: bool = False
    """Whether the duty's record names an earlier process of this node."""
    exchange_requested: asyncio.Event = attrs.field(factory=asyncio.Event)
    exchange_done: asyncio.Event = attrs.field(factory=asyncio.Event)
    duty_announced: asyncio.Event = attrs.field(factory=asyncio.Event)
    """Set when another node announces who the coordinator is."""

    def configure(self) -> None:
        """Apply the current configuration and number of nodes."""
        now_ms = self.clock.now_ms()
        if not self.limiter.demands:
            # Until the other nodes have read this node's record, they divide the rates
            # without it.
            self.limiter.defer_own_shares(now_ms + JOIN_DELAY_MS)
            self.limiter.unused_since_ms = self.process_started_ms
            self.exchange_requested.set()
        nodes = max(1, len(self.store_copy.nodes))
        organisations = self.store_copy.catalog.organisations
        self.limiter.configure(organisations, nodes, now_ms)
        self.follow_duty()
        if self.coordinator is not None:
            self.coordinator.configure(
                organisations, (node.name for node in self.store_copy.nodes), now_ms
            )

    async def admit(self, organisation: str, wait_ms: float) -> RateToken | None:
        """Acquire one token of an organisation, waiting up to `wait_ms`."""
        now_ms = self.clock.now_ms()
        if (token := self.limiter.acquire(organisation, now_ms)) is not None:
            return token
        until_ms = now_ms + wait_ms
        self.limiter.add_waiting(organisation, 1)
        try:
            while (request_ms := self.limiter.next_request_ms(organisation)) < until_ms:
                await self._await_exchange(request_ms, until_ms)
                now_ms = self.clock.now_ms()
                if (token := self.limiter.acquire(organisation, now_ms)) is not None:
                    return token
                if now_ms >= until_ms:
                    return None
            return None
        finally:
            self.limiter.add_waiting(organisation, -1)

    def refund(self, token: RateToken) -> None:
        """Return the token of an operation of which nothing was sent to a member."""
        self.limiter.refund(token, self.clock.now_ms())

    def token_wait_ms(self, organisation: str) -> float:
        """Return the time until the rate of an organisation may have a token."""
        request_ms = self.limiter.next_request_ms(organisation)
        return max(0.0, request_ms - self.clock.now_ms())

    def grant(self, node: str, message: SharesWanted) -> SharesGranted:
        """Respond to a node's request as coordinator."""
        now_ms = self.clock.now_ms()
        self.last_request_ms[node] = now_ms
        coordinator = self.coordinator
        age_ms = self.store_copy.age_ms()
        if coordinator is None:
            return SharesGranted(message.request, 0, NO_DELEGATION, (), age_ms)
        if self.is_stopping:
            # The node uses its shares again at once, before its delegation expires, so
            # this coordinator must never count them again.
            coordinator.remove_delegation(node, now_ms)
            return SharesGranted(
                message.request, coordinator.epoch, NO_DELEGATION, (), age_ms
            )
        reply = message.reply if message.epoch == coordinator.epoch else NO_DELEGATION
        number, granted = coordinator.exchange(
            node, message.nodes, reply, message.wanted, now_ms, message.unused_ms
        )
        return SharesGranted(
            message.request, coordinator.epoch, number, granted, age_ms
        )

    def handle_shares_returned(
        self, node: str, message: SharesReturned
    ) -> SharesGranted:
        """End the delegation of a node that has changed to another coordinator."""
        epoch = 0
        if self.coordinator is not None:
            self.coordinator.remove_delegation(node, self.clock.now_ms())
            epoch = self.coordinator.epoch
        age_ms = self.store_copy.age_ms()
        return SharesGranted(message.request, epoch, NO_DELEGATION, (), age_ms)

    def record_duty(self, message: DutyChanged) -> DutyNoted:
        """Record that another node claimed the duty, or that the coordinator stops."""
        duty = Duty(message.holder, message.revision, message.claim)
        self.store_copy.duties.record(message.name, duty)
        self.follow_duty()
        self.duty_announced.set()
        self.exchange_requested.set()
        return DutyNoted(message.request)

    def is_coordinator(self) -> bool:
        """Return whether this node is the rate coordinator."""
        return self.coordinator is not None

    def list_unresponsive_nodes(self) -> tuple[str, ...]:
        """Return the registered nodes without a recent request to this coordinator."""
        # A coordinator with an old copy of the store may have been replaced; nodes then
        # send their requests to another one.
        if self.coordinator is None or self.store_copy.age_ms() >= MAX_COPY_AGE_MS:
            return ()
        before_ms = self.clock.now_ms() - UNRESPONSIVE_NODE_MS
        return tuple(
            node.name
            for node in self.store_copy.registered
            if node.name != self.name
            and max(self.coordinator.since_ms, self.last_request_ms.get(node.name, 0.0))
            < before_ms
        )

    async def run(self) -> None:
        """Exchange when tokens are needed, and at regular intervals."""
        self.failover.last_response_ms = self.clock.now_ms()
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(EXCHANGE_INTERVAL_MS / 1000):
                    await self.exchange_requested.wait()
            self.exchange_requested.clear()
            if not self.store_copy.has_content:
                continue
            self.duty_announced.clear()
            if not await self.exchange():
                # Waiting operations must not cause requests to an unresponsive node.
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(self._retry_pause_ms() / 1000):
                        await self.duty_announced.wait()
            self.exchange_done.set()
            self.exchange_done = asyncio.Event()

    def _retry_pause_ms(self) -> float:
        """Return the pause after an exchange without a response."""
        refusing_duty = self.failover.refusing_duty
        if refusing_duty == self.store_copy.duties.find(RATES_DUTY).duty:
            # This node's turn to replace the coordinator comes soon.
            return RANK_DELAY_MS / 2
        return EXCHANGE_INTERVAL_MS

    async def exchange(self) -> bool:
        """Send the coordinator one request, and replace it if it is lost.

        Returns
        -------
        bool
            Whether the coordinator has responded.
        """
        has_response = await self._exchange()
        if self.is_stopping:
            return has_response
        return await self._take_over(has_response) or has_response

    async def _await_exchange(self, request_ms: float, until_ms: float) -> None:
        """Wait for the next exchange at `request_ms` or later."""
        delay_ms = request_ms - self.clock.now_ms()
        if delay_ms > 0:
            await asyncio.sleep(delay_ms / 1000)
        self.exchange_requested.set()
        exchange_done = self.exchange_done
        with contextlib.suppress(TimeoutError):
            remaining_ms = max(0.0, until_ms - self.clock.now_ms())
            async with asyncio.timeout(remaining_ms / 1000):
                await exchange_done.wait()

    async def release(self) -> None:
        """Release the duty before this node stops, if another node can take it."""
        if not self.peers.others():
            return
        self.is_stopping = True
        await self.failover.release()
        self.follow_duty()

    async def return_shares(self) -> None:
        """End the delegation to an earlier coordinator, if that responds.

        Otherwise it may still count the delegation, also if connections to it are
        refused, and the node has to wait until that expires.
        """
        earlier, self.delegated_to = self.delegated_to, ""
        self.counted_elsewhere_until_ms = self.limiter.delegated_until_ms
        is_returned = earlier == self.name
        record = self.failover.find_node(earlier)
        if not is_returned and record is not None:
            response = await self.peers.send_request(
                record, SharesReturned, EXCHANGE_TIMEOUT_MS
            )
            is_returned = isinstance(response, SharesGranted)
        if is_returned:
            self._end_delegation()

    def _end_delegation(self) -> None:
        now_ms = self.clock.now_ms()
        self.limiter.end_delegation(now_ms)
        self.counted_elsewhere_until_ms = now_ms

    async def _take_over(self, has_response: bool) -> bool:
        """Replace a lost or stale coordinator; return whether this node did."""
        failover = self.failover
        if self.store_copy.duties.has_outdated_claim(RATES_DUTY):
            replace = failover.renew_claim
        else:
            replace = failover.replace_stale if has_response else failover.replace_lost
        if not await replace():
            return False
        self.configure()
        self.exchange_requested.set()
        return True

    async def _exchange(self) -> bool:
        """Send the coordinator one request; return whether it is the coordinator."""
        coordinator_name = self.failover.coordinator_name
        if self.delegated_to not in ("", coordinator_name):
            await self.return_shares()
        requested_ms = self.clock.now_ms()
        response = await self._request_shares(
            coordinator_name, self.limiter.collect_requests(requested_ms)
        )
        if response is None or response.epoch == 0:
            return False
        now_ms = self.clock.now_ms()
        if response.reply == NO_DELEGATION:
            if response.epoch == self.epoch:
                self._end_delegation()
            return False
        self.failover.record_response(requested_ms, response.copy_age_ms)
        if response.epoch != self.epoch:
            if self.delegated_to != coordinator_name and (
                now_ms < self.counted_elsewhere_until_ms
            ):
                # The shares are still delegated to the earlier coordinator, so this
                # response must not be confirmed. Its tokens are shares of other nodes.
                self.limiter.record_grants(response.granted, requested_ms, now_ms)
                return True
            # The coordinator counts the delegation only when the next request confirms
            # this response.
            self.exchange_requested.set()
        else:
            self.limiter.unused_since_ms = None
        self.delegated_to = coordinator_name
        self.epoch, self.reply = response.epoch, response.reply
        self.limiter.record_grants(response.granted, requested_ms, now_ms)
        return True

    async def _request_shares(
        self, coordinator_name: str, requested: tuple[tuple[str, int], ...]
    ) -> SharesGranted | None:
        nodes = max(1, len(self.store_copy.nodes))
        unused_ms = self.limiter.unused_ms(self.clock.now_ms())

        def make_request(request: int) -> SharesWanted:
            return SharesWanted(
                request, self.epoch, self.reply, nodes, requested, unused_ms
            )

        if coordinator_name == self.name:
            return self.grant(self.name, make_request(0))
        record = self.failover.find_node(coordinator_name)
        if record is None:
            return None
        response = await self.peers.send_request(
            record, make_request, EXCHANGE_TIMEOUT_MS
        )
        if isinstance(response, Refused):
            self.failover.record_refusal()
        return response if isinstance(response, SharesGranted) else None

    def follow_duty(self) -> None:
        """Become coordinator or stop being it, according to the duty's record."""
        duty = self.store_copy.duties.find(RATES_DUTY).duty
        if not self.store_copy.duties.is_own_claim(duty):
            self.has_restarted_as_coordinator = duty.holder == self.name
            self.coordinator = None
        elif self.coordinator is None:
            if self.store_copy.duties.has_outdated_claim(RATES_DUTY):
                # Another node may have claimed the duty after this claim.
                return
            restarted_ms = None
            if self.has_restarted_as_coordinator:
                restarted_ms = self.process_started_ms
            self.coordinator = make_rate_coordinator(
                duty.revision, self.clock.now_ms(), restarted_ms
            )
            self.has_restarted_as_coordinator = False
            # The others read the store themselves unless this node confirms their
            # copies in time.
            self.store_copy.is_outdated.set()
        elif self.coordinator.epoch != duty.revision:
            self.coordinator.renew(duty.revision, self.clock.now_ms())


def make_rate_exchange(
    name: str,
    clock: Clock,
    store_copy: StoreCopy,
    peers: Peers,
    process_started_ms: float,
) -> RateExchange:
    """Return a node's part in dividing the rates; no shares are delegated yet."""
    failover = CoordinatorFailover(name, clock, store_copy, peers)
    return RateExchange(name, clock, store_copy, peers, failover, process_started_ms)
