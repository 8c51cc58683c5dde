"""Simulation of allocators and holders for the rate tests.

Nodes have drifting clocks, the network loses and delays messages, the platform does
conditional updates, and an oracle checks the bound on every interval.
"""

# ruff: noqa: D101
from __future__ import annotations

import heapq
import random
from typing import Any

import attrs

from radishtrack.rates.allocator import Allocator, make_allocator
from radishtrack.rates.lease import LeaseWrite
from radishtrack.rates.messages import (
    LeaseRecord,
    NotAllocator,
    RateLimit,
    TokenGrant,
    TokenRequest,
)
from radishtrack.rates.share import Admitted, NeedTokens, ShareState, make_share_state

PLATFORM = "platform"
OLD_LIMIT_MS = 502.0
"""Tokens granted under an old limit may be used for this long."""


@attrs.define
class Oracle:
    """Token bucket in true time, initially full.

    Its level is negative exactly if some interval exceeds the bound.
    """

    limit: RateLimit
    level: float = 0.0
    updated_ms: float = 0.0
    admitted: int = 0
    lowest: float = 0.0
    old_limits: list[tuple[float, RateLimit]] = attrs.field(factory=list)
    """Earlier limits, with the time until which their tokens may be used."""

    def refill(self, true_ms: float) -> None:
        ends = sorted(until_ms for until_ms, _ in self.old_limits)
        for end_ms in [*(end_ms for end_ms in ends if end_ms < true_ms), true_ms]:
            limits = [self.limit, *(old for _, old in self.old_limits)]
            rate = max(limit.rate_per_second for limit in limits)
            burst = max(limit.burst for limit in limits)
            gained = (end_ms - self.updated_ms) * rate / 1000.0
            self.level = min(self.level + gained, float(burst))
            self.updated_ms = end_ms
            self.old_limits = [old for old in self.old_limits if old[0] > end_ms]

    def admit(self, true_ms: float) -> None:
        self.refill(true_ms)
        self.level -= 1.0
        self.admitted += 1
        self.lowest = min(self.lowest, self.level)

    def change(self, limit: RateLimit, true_ms: float) -> None:
        self.refill(true_ms)
        self.old_limits.append((true_ms + OLD_LIMIT_MS, self.limit))
        self.limit = limit


@attrs.define
class NodeClock:
    offset_ms: float
    speed: float

    def at(self, true_ms: float) -> float:
        return self.offset_ms + true_ms * self.speed


@attrs.define(frozen=True)
class Get:
    sent_ms: float


@attrs.define(frozen=True)
class GetResponse:
    record: LeaseRecord | None
    version: int
    sent_ms: float


@attrs.define(frozen=True)
class PutResponse:
    revision: int
    version: int


@attrs.define(frozen=True)
class RequestFailed:
    request_id: int


class RateSimulation:
    """Two allocator nodes, some holders and the platform."""

    def __init__(
        self,
        limit: RateLimit,
        *,
        seed: int = 0,
        holders: int = 3,
        speeds: tuple[float, ...] = (1.0,),
        demand: int = 5,
    ) -> None:
        self.random = random.Random(seed)
        self.limit = limit
        self.true_ms = 0.0
        self.speeds = speeds
        self.oracle = Oracle(limit, float(limit.burst))
        self.clocks: dict[str, NodeClock] = {}
        self.allocators: dict[str, Allocator] = {}
        self.holders: dict[str, ShareState] = {}
        self.lease_nodes: dict[str, str] = {}
        self.demand: dict[str, int] = {}
        self.default_demand = demand
        self.hoarded = 0
        """Tokens that each holder requests and leaves unused; 0 for normal demand."""
        self.paused: set[str] = set()
        self.cut: set[str] = set()
        """Nodes that can reach no other."""
        self.platform_cut: set[str] = set()
        """Nodes that can't reach the platform."""
        self.platform_down = False
        self.loss = 0.0
        self.duplication = 0.0
        self.longest_delay_ms = 4.0
        self.record: LeaseRecord | None = None
        self.version = 0
        self.network: list[tuple[float, int, str, str, Any]] = []
        self.inbox: list[tuple[float, int, str, str, Any]] = []
        """Messages for paused nodes."""
        self.sequence = 0
        self.read_ms: dict[str, float] = {}
        self.generation = 0
        for _ in range(2):
            self.add_allocator()
        for _ in range(holders):
            self.add_holder()

    # Nodes.

    def new_name(self, kind: str) -> str:
        self.generation += 1
        name = f"{kind}{self.generation}"
        speed = self.speeds[self.generation % len(self.speeds)]
        self.clocks[name] = NodeClock(self.random.uniform(0, 1e6), speed)
        return name

    def add_allocator(self) -> str:
        name = self.new_name("a")
        self.allocators[name] = make_allocator("org", name, self.limit)
        return name

    def add_holder(self) -> str:
        name = self.new_name("h")
        now_ms = self.now(name)
        self.holders[name] = make_share_state("org", name, self.limit, now_ms)
        self.demand[name] = self.default_demand
        return name

    def remove(self, name: str) -> None:
        self.allocators.pop(name, None)
        self.holders.pop(name, None)
        self.paused.discard(name)

    def now(self, name: str) -> float:
        return self.clocks[name].at(self.true_ms)

    def set_limit(self, limit: RateLimit) -> None:
        self.limit = limit
        self.oracle.change(limit, self.true_ms)
        for name, allocator in self.allocators.items():
            allocator.set_limit(limit, self.now(name))
        for name, holder in self.holders.items():
            holder.set_limit(limit, self.now(name))

    def active_allocator(self) -> str | None:
        for name, allocator in self.allocators.items():
            if allocator.lease.is_held(self.now(name)):
                return name
        return None

    # Network.

    def send(self, source: str, target: str, message: Any) -> None:
        copies = 2 if self.random.random() < self.duplication else 1
        for _ in range(copies):
            if self.random.random() < self.loss:
                continue
            delay_ms = self.random.uniform(0.2, self.longest_delay_ms)
            self.sequence += 1
            heapq.heappush(
                self.network,
                (self.true_ms + delay_ms, self.sequence, source, target, message),
            )

    def is_cut(self, source: str, target: str) -> bool:
        if PLATFORM in (source, target) and (
            self.platform_down or {source, target} & self.platform_cut
        ):
            return True
        return source in self.cut or target in self.cut

    def deliver(self) -> None:
        if self.inbox and not self.paused:
            for entry in self.inbox:
                heapq.heappush(self.network, entry)
            self.inbox.clear()
        while self.network and self.network[0][0] <= self.true_ms:
            entry = heapq.heappop(self.network)
            _, _, source, target, message = entry
            if target in self.paused:
                self.inbox.append(entry)
            elif not self.is_cut(source, target):
                self.receive(source, target, message)

    def receive(self, source: str, target: str, message: Any) -> None:
        if target == PLATFORM:
            self.receive_platform(source, message)
        elif target in self.allocators:
            self.receive_allocator(source, target, message)
        elif target in self.holders:
            self.receive_holder(target, message)

    def receive_platform(self, source: str, message: Any) -> None:
        if isinstance(message, Get):
            response = GetResponse(self.record, self.version, message.sent_ms)
            self.send(PLATFORM, source, response)
        elif message.expected_version == self.version:
            assert isinstance(message, LeaseWrite)
            self.version += 1
            self.record = message.record
            response = PutResponse(message.record.revision, self.version)
            self.send(PLATFORM, source, response)

    def receive_allocator(self, source: str, target: str, message: Any) -> None:
        allocator, now_ms = self.allocators[target], self.now(target)
        if isinstance(message, GetResponse):
            allocator.observe(message.record, message.version, now_ms)
        elif isinstance(message, PutResponse):
            allocator.on_lease_written(message.revision, message.version, now_ms)
        elif isinstance(message, TokenRequest):
            grant = allocator.on_request(message, now_ms)
            if isinstance(grant, NotAllocator):
                self.send(target, source, RequestFailed(message.request_id))
            else:
                self.send(target, source, grant)

    def receive_holder(self, target: str, message: Any) -> None:
        holder, now_ms = self.holders[target], self.now(target)
        if isinstance(message, GetResponse) and message.record is not None:
            holder.on_record(message.record, message.sent_ms, now_ms)
            self.lease_nodes[target] = message.record.holder_node
        elif isinstance(message, TokenGrant):
            holder.on_grant(message, now_ms)
        elif isinstance(message, RequestFailed):
            holder.on_request_failed(message.request_id, now_ms)

    # Time.

    def run(self, duration_ms: float, step_ms: float = 10.0) -> int:
        """Run all nodes that are not paused; return how many requests were admitted."""
        before = self.oracle.admitted
        for _ in range(round(duration_ms / step_ms)):
            self.true_ms += step_ms * self.random.uniform(0.5, 1.5)
            self.deliver()
            for name in list(self.allocators):
                if name not in self.paused:
                    self.step_allocator(name)
            for name in list(self.holders):
                if name not in self.paused:
                    self.step_holder(name)
        return self.oracle.admitted - before

    def read(self, name: str, now_ms: float) -> None:
        if now_ms - self.read_ms.get(name, -1e9) >= 200.0:
            self.read_ms[name] = now_ms
            self.send(name, PLATFORM, Get(now_ms))

    def step_allocator(self, name: str) -> None:
        allocator, now_ms = self.allocators[name], self.now(name)
        self.read(name, now_ms)
        if allocator.should_acquire(now_ms) or allocator.should_renew(now_ms):
            self.send(name, PLATFORM, allocator.prepare_write(now_ms))

    def release(self, name: str) -> None:
        write = self.allocators[name].prepare_release(self.now(name))
        if write is not None:
            self.send(name, PLATFORM, write)

    def step_holder(self, name: str) -> None:
        now_ms = self.now(name)
        self.read(name, now_ms)
        if self.hoarded:
            if not self.holders[name].pending:
                request = self.holders[name].make_request(now_ms, self.hoarded)
                self.ask(name, request)
            return
        request = self.holders[name].tick(now_ms)
        if request is not None:
            self.ask(name, request)
        for _ in range(self.demand[name]):
            if not self.try_admit(name):
                break

    def try_admit(self, name: str) -> bool:
        admission = self.holders[name].try_admit(self.now(name))
        if isinstance(admission, Admitted):
            self.oracle.admit(self.true_ms)
            if admission.request is not None:
                self.ask(name, admission.request)
            return True
        if isinstance(admission, NeedTokens) and admission.request is not None:
            self.ask(name, admission.request)
        return False

    def ask(self, name: str, request: TokenRequest) -> None:
        allocator = self.lease_nodes.get(name)
        if allocator not in self.allocators or self.random.random() < 0.1:
            allocator = self.random.choice(sorted(self.allocators))
        self.send(name, allocator, request)

    def assert_bound(self) -> None:
        assert self.oracle.lowest > -1e-6, (
            f"admitted {-self.oracle.lowest} requests too many in some interval"
        )
