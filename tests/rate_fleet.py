"""Simulation of the rate exchange of a fleet: restarts, cuts, joins and lost messages.

Time is manual and advances in steps; requests between nodes are direct calls that may
be lost either way.
"""

from __future__ import annotations

from random import Random
from typing import Any

import attrs

from radishtrack.clock import ManualTime, make_manual_clock
from radishtrack.peer.messages import (
    DutyChanged,
    HolderAsked,
    HolderHeard,
    SharesReturned,
    SharesWanted,
)
from radishtrack.pooler.catalog import Catalog, Member, NodeRecord, Organisation
from radishtrack.pooler.coordinator_failover import RATES_DUTY
from radishtrack.pooler.peers import Refused
from radishtrack.pooler.ports import Duty, FleetListing, StoreUnavailable
from radishtrack.pooler.rate_exchange import RateExchange, make_rate_exchange
from radishtrack.pooler.store_copy import StoreCopy

STEP_MS = 20
EXCHANGE_MS = 100
COPY_INTERVAL_MS = 460
START_MS = 400
"""Time from the start of a process until it knows the configuration."""
KEY_AGE_LIMIT_MS = 3_000.0
WAITING = 300
ORGANISATION = Organisation("verksted", rate_per_s=400.0, burst=400.0)
CATALOG = Catalog(1, {}, {ORGANISATION.name: ORGANISATION}, {}, {}, 1_000.0)


@attrs.define(eq=False)
class SharedStore:
    """The store's content, shared by all processes."""

    nodes: dict[str, NodeRecord] = attrs.field(factory=dict)
    duties: dict[str, Duty] = attrs.field(factory=dict)
    revision: int = 1


@attrs.define(eq=False)
class StoreAccess:
    """One process's calls of the store."""

    store: SharedStore
    is_cut: bool = False

    def _check(self) -> None:
        if self.is_cut:
            raise StoreUnavailable("call", "cut off", is_effect_unknown=False)

    async def list_fleet(self) -> FleetListing:
        self._check()
        store = self.store
        nodes = tuple(store.nodes.values())
        return FleetListing(nodes, dict(store.duties), {}, store.revision)

    async def register_node(self, node: NodeRecord) -> None:
        self._check()
        self.store.nodes[node.name] = node
        self.store.revision += 1

    async def remove_node(self, name: str) -> None:
        self._check()
        self.store.nodes.pop(name, None)
        self.store.revision += 1

    async def read_catalog(self) -> Catalog:
        self._check()
        return CATALOG

    async def list_members(self) -> tuple[Member, ...]:
        return ()

    async def list_evacuations(self) -> frozenset[str]:
        return frozenset()

    async def claim_duty(
        self, name: str, duty: Duty, holder: str, claim: str
    ) -> Duty | None:
        self._check()
        present = self.store.duties.get(name)
        if (present.revision if present else 0) != duty.revision:
            return None
        self.store.revision += 1
        claimed = Duty(holder, self.store.revision, claim)
        self.store.duties[name] = claimed
        return claimed

    async def announce_term(self, group: str, term: int) -> None:
        raise NotImplementedError

    async def find_secret(self) -> bytes | None:
        raise NotImplementedError


@attrs.define(eq=False)
class Process:
    """One process of a node."""

    name: str
    rates: RateExchange
    access: StoreAccess
    ready_ms: float
    next_exchange_ms: float
    next_copy_ms: float = 0.0
    frozen_until_ms: float = 0.0
    is_isolated: bool = False


@attrs.define(eq=False)
class FleetPeers:
    """Requests of one process to the others."""

    fleet: RateFleet
    name: str

    def others(self) -> tuple[NodeRecord, ...]:
        store_copy = self.fleet.processes[self.name].rates.store_copy
        return tuple(node for node in store_copy.nodes if node.name != self.name)

    async def send_request(self, node: NodeRecord, make: Any, timeout_ms: float) -> Any:
        return self.fleet.deliver(self.name, node.name, make(1))

    async def request_all(self, make: Any, timeout_ms: float) -> dict[str, Any]:
        return {
            node.name: self.fleet.deliver(self.name, node.name, make(1))
            for node in self.others()
        }


@attrs.define(eq=False)
class RateFleet:
    """Nodes that share one organisation's rate; with demand, all want more than it."""

    seed: int
    loss: float
    refusal_share: float = 0.7
    """Share of requests to a stopped process that its host refuses."""
    cut_refusal_share: float = 0.0
    """Share of requests to or from an isolated process that are refused."""
    time: ManualTime = attrs.field(factory=lambda: ManualTime(10_000.0))
    store: SharedStore = attrs.field(factory=SharedStore)
    processes: dict[str, Process] = attrs.field(factory=dict)
    down_until_ms: dict[str, float] = attrs.field(factory=dict)
    """When a killed node starts again, by name."""
    admitted: list[float] = attrs.field(factory=list)
    random: Random = attrs.field(init=False)
    starts: int = 0
    has_demand: bool = True

    def __attrs_post_init__(self) -> None:
        self.random = Random(self.seed)

    def start(self, name: str) -> None:
        """Start a process of a node; it serves after `START_MS`."""
        self.starts += 1
        now_ms = self.time.value_ms
        clock = make_manual_clock(self.time)
        record = NodeRecord(name, "10.0.0.1", 7560, "a", self.starts)
        access = StoreAccess(self.store)
        store_copy = StoreCopy(access, clock, record, lambda: None)
        rates = make_rate_exchange(
            name,
            clock,
            store_copy,
            FleetPeers(self, name),  # type: ignore[arg-type]
            now_ms,
        )
        store_copy.on_change = rates.configure
        ready_ms = now_ms + START_MS + self.random.randrange(0, 200)
        self.processes[name] = Process(name, rates, access, ready_ms, ready_ms)

    def kill(self, name: str, down_ms: float) -> None:
        """End a node's process; it starts again after `down_ms`."""
        self.processes.pop(name, None)
        self.down_until_ms[name] = self.time.value_ms + down_ms

    def deliver(self, sender: str, receiver: str, message: Any) -> Any:
        """Return the receiver's response; None if it is lost or unresponsive."""
        process = self.processes.get(receiver)
        if sender not in self.processes:
            return None
        if process is None or self.time.value_ms < process.ready_ms:
            is_refused = self.random.random() < self.refusal_share
            return Refused() if is_refused else None
        if process.is_isolated or self.processes[sender].is_isolated:
            is_refused = self.random.random() < self.cut_refusal_share
            return Refused() if is_refused else None
        if (
            self.time.value_ms < process.frozen_until_ms
            or self.random.random() < self.loss
        ):
            return None
        response = respond(process.rates, sender, message)
        return None if self.random.random() < self.loss else response

    async def advance(self, duration_ms: float) -> None:
        """Run all processes for a time."""
        until_ms = self.time.value_ms + duration_ms
        while self.time.value_ms < until_ms:
            now_ms = self.time.value_ms
            for name, start_ms in tuple(self.down_until_ms.items()):
                if now_ms >= start_ms:
                    del self.down_until_ms[name]
                    self.start(name)
            processes = list(self.processes.values())
            self.random.shuffle(processes)
            for process in processes:
                if now_ms >= max(process.ready_ms, process.frozen_until_ms):
                    await self._step(process, now_ms)
            self.time.advance(STEP_MS)

    async def _step(self, process: Process, now_ms: float) -> None:
        rates = process.rates
        if now_ms >= process.next_copy_ms:
            process.next_copy_ms = now_ms + COPY_INTERVAL_MS
            await rates.store_copy.confirm()
            rates.configure()
        if rates.store_copy.age_ms() >= KEY_AGE_LIMIT_MS:
            return
        limiter = rates.limiter
        waiting = WAITING if self.has_demand else 0
        limiter.add_waiting(ORGANISATION.name, waiting)
        if now_ms >= process.next_exchange_ms or rates.exchange_requested.is_set():
            process.next_exchange_ms = now_ms + EXCHANGE_MS
            rates.exchange_requested.clear()
            await rates.exchange()
        limiter.add_waiting(ORGANISATION.name, -waiting)
        while self.has_demand and limiter.acquire(ORGANISATION.name, now_ms):
            self.admitted.append(now_ms)


def respond(rates: RateExchange, sender: str, message: Any) -> Any:
    """Return a node's response to a peer's message."""
    match message:
        case SharesWanted():
            return rates.grant(sender, message)
        case SharesReturned():
            return rates.handle_shares_returned(sender, message)
        case HolderAsked(request):
            return HolderHeard(request, rates.failover.response_age_ms())
        case DutyChanged():
            return rates.record_duty(message)
    raise NotImplementedError(type(message))


def most_admitted(times: list[float], window_ms: float) -> int:
    """Return the largest number of operations in a window of that length."""
    most = first = 0
    for last, last_ms in enumerate(times):
        while times[first] <= last_ms - window_ms:
            first += 1
        most = max(most, last - first + 1)
    return most


def find_holder(fleet: RateFleet) -> str:
    """Return the node that the duty's record names."""
    duty = fleet.store.duties.get(RATES_DUTY)
    return duty.holder if duty is not None else ""
