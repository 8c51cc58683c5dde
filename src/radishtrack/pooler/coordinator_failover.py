"""Selects the rate coordinator, to which nodes delegate shares, and its failover."""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable
from typing import Final

import attrs

from radishtrack.clock import Clock
from radishtrack.events import Event, log_event
from radishtrack.peer.messages import DutyChanged, HolderAsked, HolderHeard
from radishtrack.pooler.catalog import NodeRecord
from radishtrack.pooler.duties import NO_HOLDER
from radishtrack.pooler.peers import Peers
from radishtrack.pooler.ports import Duty, StoreUnavailable
from radishtrack.pooler.rank import rank_node
from radishtrack.pooler.store_copy import StoreCopy
from radishtrack.pooler.tasks import start_task

RATES_DUTY: Final = "rates"
"""Name of the duty's record in the store."""
LOST_AFTER_MS: Final = 700.0
"""Time without a response after which the coordinator is replaced; it covers two
exchanges."""
STALE_COPY_MS: Final = 1_800.0
"""Age of the coordinator's copy of the store from which a node with a recent copy
replaces it: two of its reads, 0.7 s apart, have failed, and all nodes rely on them."""
RECENT_COPY_MS: Final = 1_000.0
"""Age below which a copy was confirmed without the coordinator, or just before it
failed."""
RANK_DELAY_MS: Final = 200.0
"""Delay per rank before a node claims the duty; longer than a claim takes."""
INDIRECT_PROBES: Final = 3
"""Number of nodes that are asked whether the coordinator responds to them."""
INDIRECT_PROBE_TIMEOUT_MS: Final = 200.0
"""Time limit of an indirect probe, which takes one round trip."""
ISOLATED_WAIT_MS: Final = 3_000.0
"""Additional wait of a node that reaches no probed node, since it is probably isolated
itself."""
ANNOUNCE_TIMEOUT_MS: Final = 300.0
"""Time limit of an announcement; nodes that miss it read the record at their next call
of the store."""


def _serve_always() -> bool:
    return True


@attrs.define(eq=False)
class CoordinatorFailover:
    """Replaces the rate coordinator from the point of view of one node.

    Parameters
    ----------
    name : str
        This node.
    clock : Clock
        Time in milliseconds.
    store_copy : StoreCopy
        Copy of the store, with the duty's record.
    peers : Peers
        Links to the other nodes.
    """

    name: str
    clock: Clock
    store_copy: StoreCopy
    peers: Peers
    last_response_ms: float = 0.0
    """When the coordinator last responded to this node."""
    copy_confirmed_ms: float = 0.0
    """When the coordinator's copy of the store was confirmed, by its last response."""
    probe_confirmed_ms: float = 0.0
    """When an indirect probe last showed that the coordinator responds."""
    refusing_duty: Duty | None = None
    """Record of a coordinator to which connections are refused."""
    refused_ms: float = 0.0
    """When that was found."""
    can_serve: Callable[[], bool] = _serve_always
    """Returns whether other nodes can reach this one as coordinator."""
    checked_duty: Duty | None = None
    """Record that was last compared with the store before a replacement."""
    announcing: asyncio.Task[None] | None = None

    @property
    def coordinator_name(self) -> str:
        """Name of the coordinator in the duty's record."""
        return self.store_copy.duties.find(RATES_DUTY).duty.holder

    def record_response(self, requested_ms: float, copy_age_ms: float) -> None:
        """Record a response of the coordinator to a request sent at `requested_ms`."""
        self.last_response_ms = self.clock.now_ms()
        self.copy_confirmed_ms = requested_ms - copy_age_ms

    def record_refusal(self) -> None:
        """Record that connections to the coordinator are refused.

        Its process has probably ended, so it is replaced without the wait for an
        unresponsive one. If it runs behind a cut, two nodes act as coordinators for a
        while, and each grants only what is delegated to it.
        """
        duty = self.store_copy.duties.find(RATES_DUTY).duty
        if duty != self.refusing_duty:
            self.refusing_duty, self.refused_ms = duty, self.clock.now_ms()

    def response_age_ms(self) -> float:
        """Return the time since the coordinator last responded to this node."""
        if self.coordinator_name == self.name:
            return 0.0
        return self.clock.now_ms() - self.last_response_ms

    def find_coordinator(self) -> NodeRecord | None:
        """Return the coordinator's record if it is another node and responds."""
        if self.coordinator_name == self.name or self.response_age_ms() > LOST_AFTER_MS:
            return None
        return self.find_node(self.coordinator_name)

    def find_node(self, name: str) -> NodeRecord | None:
        """Return a node's record."""
        return next((node for node in self.store_copy.nodes if node.name == name), None)

    async def replace_lost(self) -> bool:
        """Become the coordinator if there is none, or if it does not respond."""
        if not self.can_serve():
            return False
        recorded = self.store_copy.duties.find(RATES_DUTY).duty
        if recorded.holder == self.name and not self.store_copy.duties.is_own_claim(
            recorded
        ):
            # An earlier process of this node was the coordinator. Nodes may confirm its
            # responses until there is a new epoch.
            return await self._claim(recorded)
        if recorded != self.checked_duty:
            # The duty may just have been released or claimed.
            self.checked_duty = recorded
            await self.store_copy.read_records()
        observed = self.store_copy.duties.find(RATES_DUTY)
        if observed.duty.holder == self.name:
            return False
        needs_probes = False
        if observed.duty == self.refusing_duty:
            due_ms = self.refused_ms
        elif observed.duty.holder == NO_HOLDER:
            due_ms = observed.observed_ms
        else:
            needs_probes = True
            due_ms = max(self.last_response_ms, observed.observed_ms) + LOST_AFTER_MS
        due_ms += self._rank() * RANK_DELAY_MS
        if self.clock.now_ms() < due_ms:
            return False
        if needs_probes and not await self.is_loss_confirmed(due_ms):
            return False
        return await self._claim(observed.duty)

    async def renew_claim(self) -> bool:
        """Claim this node's duty again, after the store has come back from a backup."""
        return await self._claim(self.store_copy.duties.find(RATES_DUTY).duty)

    async def replace_stale(self) -> bool:
        """Become the coordinator if the current one does not reach the store."""
        observed = self.store_copy.duties.find(RATES_DUTY).duty
        if observed.holder in (self.name, NO_HOLDER) or not self.can_serve():
            return False
        age_ms = self.clock.now_ms() - self.copy_confirmed_ms
        if age_ms < STALE_COPY_MS + self._rank() * RANK_DELAY_MS:
            return False
        if self.store_copy.age_ms() >= RECENT_COPY_MS:
            return False
        # After a restore no copy is confirmed for a while, whoever reads the store.
        settled_ms = self.store_copy.settling.settled_ms
        if self.clock.now_ms() < settled_ms + STALE_COPY_MS:
            return False
        return await self._claim(observed)

    async def is_loss_confirmed(self, due_ms: float) -> bool:
        """Return whether indirect probes confirm that the coordinator is unresponsive.

        Parameters
        ----------
        due_ms : float
            Earliest time at which this node may replace the coordinator.

        Returns
        -------
        bool
            True also if there is no other node, or if no probed node has responded for
            `ISOLATED_WAIT_MS`.
        """
        others = [
            node for node in self.peers.others() if node.name != self.coordinator_name
        ]
        # Each node probes different nodes, so that no three decide for all.
        others.sort(key=lambda node: zlib.crc32(f"{self.name}/{node.name}".encode()))
        probed_nodes = others[:INDIRECT_PROBES]
        results = await asyncio.gather(
            *(
                self.peers.send_request(node, HolderAsked, INDIRECT_PROBE_TIMEOUT_MS)
                for node in probed_nodes
            )
        )
        responses = [result for result in results if isinstance(result, HolderHeard)]
        now_ms = self.clock.now_ms()
        if any(response.age_ms < LOST_AFTER_MS for response in responses):
            self.probe_confirmed_ms = now_ms
            return False
        if responses or not probed_nodes:
            return True
        # One lost response is no evidence.
        return now_ms >= max(due_ms, self.probe_confirmed_ms) + ISOLATED_WAIT_MS

    async def release(self) -> None:
        """Release the duty, so that another node can claim it without a wait."""
        try:
            await self.store_copy.duties.release(RATES_DUTY)
        except StoreUnavailable as error:
            log_event(Event.PLATFORM_UNAVAILABLE, step=error.step, reason=error.reason)
            return
        await self._announce(self.store_copy.duties.find(RATES_DUTY).duty)

    async def _claim(self, earlier: Duty) -> bool:
        try:
            duty = await self.store_copy.duties.claim(RATES_DUTY)
        except StoreUnavailable as error:
            # The next confirmation of the copy shows whether the claim took effect.
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
            self._announce(duty), "announcement of the rate coordinator"
        )
        return True

    async def _announce(self, duty: Duty) -> None:
        if duty.holder not in (self.name, NO_HOLDER):
            return
        await self.peers.request_all(
            lambda request: DutyChanged(
                request, RATES_DUTY, duty.holder, duty.revision, duty.claim
            ),
            ANNOUNCE_TIMEOUT_MS,
        )

    def _rank(self) -> int:
        return rank_node(self.name, RATES_DUTY, self.store_copy.nodes)
