"""One run of the soak: a fleet, clients, the faults of a seed, and the verdict."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import Any, Final

import attrs

from radishtrack.clock import make_boot_clock
from radishtrack.platform.lines import ConnectionEnded
from radishtrack_standins.object_store import StandInStore
from radishtrack_standins.platform_objects import (
    STRICT_DATABASE,
    make_config,
    make_member_entry,
)
from radishtrack_standins.relay import Relay
from radishtrack_standins.soak.clients import SoakClient
from radishtrack_standins.soak.fleet import NodeProcess, make_nodes
from radishtrack_standins.soak.group import GROUP, MEMBERS, Group, start_group
from radishtrack_standins.soak.ledger import Ledger
from radishtrack_standins.soak.schedule import Fault, draw_faults

NODES: Final = ("edge-1", "edge-2", "edge-3")
ORGANISATIONS: Final = {"verksted": "key-1", "storgata": "key-2"}
RATE_PER_S: Final = 150
BURST: Final = 150
CLIENTS: Final = 8
BEAT_S: Final = 0.5
"""Pause between looks at whether members' entries have changed."""
START_S: Final = 12.0
RECOVER_S: Final = 15.0
"""After the last fault, every node serves a write within this time (`recoverS`)."""
MOST_LOST_ANSWERS: Final = 12
WAKE_S: Final = 1.0
"""Time that a woken node has with a primary that was replaced."""

Steps = tuple[Callable[[], Awaitable[None]], Callable[[], Awaitable[None]]]
"""What begins and what ends a fault."""


@attrs.define(eq=False)
class Soak:
    """State of a run; make it with `open_soak`."""

    store: StandInStore
    group: Group
    nodes: dict[str, NodeProcess]
    ledger: Ledger
    now_ms: Callable[[], float]
    version: int = 0
    rate_per_s: float = RATE_PER_S
    highest_rate: float = RATE_PER_S

    def configure(self) -> None:
        """Write the configuration as an operator does."""
        self.version += 1
        self.highest_rate = max(self.highest_rate, self.rate_per_s)
        self.store.put("config", "main", self._make_config())

    def revoke(self, organisation: str) -> None:
        """Withdraw an organisation's only key."""
        self.ledger.revoked_ms[organisation] = self.now_ms()
        self.configure()

    def register_members(self) -> None:
        """Write the members' entries that have changed."""
        for member in self.group.members.values():
            spec = make_member_entry(member, slots=4)
            present = self.store.objects.get(("servers", member.name))
            if present is None or present["spec"] != spec:
                self.store.put("servers", member.name, spec)

    def order(self, group: str, member: str) -> int:
        """Carry out a promotion unless its fencing token is older than another."""
        tokens = [token for *_, token in self.store.orders]
        if tokens[-1] < max(tokens):
            return 409
        return self.group.promote(group, member)

    async def inject(self, fault: Fault) -> None:
        """Apply a fault, wait, and end it."""
        await asyncio.sleep(fault.at_s)
        node, relay = self.nodes[fault.node], None
        if fault.target in node.relays:
            relay = node.relays[fault.target]
        begin, end = self._make_fault(fault, node, relay)
        await begin()
        await asyncio.sleep(fault.for_s)
        await end()

    async def beat(self) -> None:
        """Keep the members' entries up to date; never returns."""
        while True:
            self.register_members()
            await asyncio.sleep(BEAT_S)

    async def heal(self) -> None:
        """End everything that may still be wrong."""
        self.store.faults.status = 0
        self.store.faults.delay_s = self.store.faults.lose_writes = 0
        self.group.isolated.clear()
        for name, member in self.group.members.items():
            member.faults.lose_answers = 0
            await self.group.restart(name)
        for node in self.nodes.values():
            for relay in node.relays.values():
                await relay.heal()
                await relay.set(delay_ms=0.0)
            node.send(signal.SIGCONT)
            node.start()

    async def await_service(self, limit_s: float) -> list[str]:
        """Return the nodes that do not serve a write within a time."""
        served = await asyncio.gather(
            *(self._serves(node, limit_s) for node in self.nodes.values())
        )
        return [
            name for name, is_ok in zip(self.nodes, served, strict=True) if not is_ok
        ]

    def make_client(self, name: str, organisation: str, seed: int) -> SoakClient:
        """Return a client of an organisation."""
        return SoakClient(
            name,
            ORGANISATIONS[organisation],
            Random(f"{seed}/{name}"),
            self.nodes,
            self.group,
            self.ledger,
            self.now_ms,
        )

    async def _serves(self, node: NodeProcess, limit_s: float) -> bool:
        client = self.make_client(f"probe-{node.name}-{self.version}", "verksted", 0)
        until_ms = self.now_ms() + limit_s * 1000
        while self.now_ms() < until_ms:
            try:
                connection = await client.connect(node, STRICT_DATABASE)
                statement_id, answer = await client.ask(connection, "WRITE q1 x")
                connection.abort()
            except (ConnectionEnded, OSError, TimeoutError):
                answer = ""
            else:
                self.ledger.note_write(statement_id, answer, self.now_ms())
            if answer.startswith("COMPLETE"):
                return True
            await asyncio.sleep(0.1)
        return False

    def _make_fault(
        self, fault: Fault, node: NodeProcess, relay: Relay | None
    ) -> Steps:
        """Return what begins and what ends a fault."""
        faults = self.store.faults
        member = self.group.members.get(fault.target)

        async def nothing() -> None:
            return

        async def start() -> None:
            node.start()

        async def end_node() -> None:
            number = signal.SIGKILL if fault.kind == "kill" else signal.SIGTERM
            if not await node.end(number):
                self.ledger.violations.append(f"{node.name} did not end in time")

        async def set_store(status: int, delay_s: float) -> None:
            faults.status, faults.delay_s = status, delay_s

        async def lose(writes: int, answers: int) -> None:
            faults.lose_writes += writes
            if member is not None:
                member.faults.lose_answers += answers

        async def set_rate() -> None:
            self.rate_per_s = RATE_PER_S * (0.3 + fault.strength)
            self.configure()

        async def send(number: signal.Signals) -> None:
            node.send(number)

        async def set_relay(**values: object) -> None:
            assert relay is not None
            await relay.set(**values)

        match fault.kind:
            case "kill" | "terminate":
                return end_node, start
            case "freeze":
                return lambda: send(signal.SIGSTOP), lambda: send(signal.SIGCONT)
            case "crash":
                return (
                    lambda: self.group.crash(fault.target),
                    lambda: self.group.restart(fault.target),
                )
            case "crash_primary":
                return self._make_primary_crash()
            case "isolate_primary":
                return self._make_primary_isolation(node)
            case "store_down":
                return lambda: set_store(503, 0.0), lambda: set_store(0, 0.0)
            case "store_slow":
                slow_s = 0.1 + 0.4 * fault.strength
                return lambda: set_store(0, slow_s), lambda: set_store(0, 0.0)
            case "store_loses_answers":
                return lambda: lose(2, 0), nothing
            case "answer_lost":
                answers = 1 + int(MOST_LOST_ANSWERS * fault.strength)
                return lambda: lose(0, answers), nothing
            case "rate":
                return set_rate, nothing
            case "cut_one_way":
                name = "cut_to_target" if fault.strength < 0.5 else "cut_from_target"
                return (
                    lambda: set_relay(**{name: True}),
                    lambda: set_relay(**{name: False}),
                )
            case "cut":
                both = ("cut_to_target", "cut_from_target")
                return (
                    lambda: set_relay(**dict.fromkeys(both, True)),
                    lambda: set_relay(**dict.fromkeys(both, False)),
                )
            case "delay":
                delay_ms = 20.0 + 400.0 * fault.strength
                return (
                    lambda: set_relay(delay_ms=delay_ms),
                    lambda: set_relay(delay_ms=0.0),
                )
            case "reset":
                return lambda: set_relay(refuse=True), lambda: set_relay(refuse=False)
        raise ValueError(f"unknown fault {fault.kind}")

    def _make_primary_crash(self) -> Steps:
        crashed: list[str] = []

        async def begin() -> None:
            if self.group.primary is not None:
                crashed.append(self.group.primary.name)
                await self.group.crash(crashed[0])

        async def end() -> None:
            for name in crashed:
                await self.group.restart(name)

        return begin, end

    def _make_primary_isolation(self, node: NodeProcess) -> Steps:
        """Return a cut of the primary from all but one node, which is frozen.

        The node wakes with what it believed before, and reaches a member that does not
        know of its replacement.
        """
        isolated: list[str] = []
        others = [other for other in self.nodes.values() if other is not node]

        async def begin() -> None:
            if self.group.primary is None:
                return
            isolated.append(self.group.primary.name)
            self.group.isolated.add(isolated[0])
            node.send(signal.SIGSTOP)
            for other in others:
                await other.relays[isolated[0]].cut()

        async def end() -> None:
            node.send(signal.SIGCONT)
            await asyncio.sleep(WAKE_S)
            for name in isolated:
                self.group.isolated.discard(name)
                for other in others:
                    await other.relays[name].heal()

        return begin, end

    def _make_config(self) -> dict[str, Any]:
        keys = {
            name: [] if name in self.ledger.revoked_ms else [key]
            for name, key in ORGANISATIONS.items()
        }
        return make_config(
            self.version, GROUP, keys, rate_per_s=self.rate_per_s, burst=BURST
        )


@asynccontextmanager
async def open_soak(directory: Path) -> AsyncIterator[Soak]:
    """Start the store, the members and the nodes, and end them afterwards."""
    store = StandInStore()
    await store.start()
    group = await start_group()
    ledger = Ledger()
    clock = make_boot_clock()
    for member in group.members.values():
        member.on_run = lambda organisation, _id: ledger.note_run(
            organisation, clock.now_ms()
        )
    nodes = await make_nodes(NODES, store, group, directory)
    soak = Soak(store, group, nodes, ledger, clock.now_ms)
    store.on_order = soak.order
    soak.register_members()
    soak.configure()
    beat = asyncio.create_task(soak.beat())
    try:
        for node in nodes.values():
            node.start()
        yield soak
    finally:
        beat.cancel()
        for node in nodes.values():
            await node.end(signal.SIGKILL)
            for relay in node.relays.values():
                await relay.close()
        await group.stop()
        await store.stop()


async def run_soak(seed: int, length_s: float, directory: Path) -> Ledger:
    """Run the faults of a seed and return what was seen."""
    async with open_soak(directory) as soak:
        ledger = soak.ledger
        if missing := await soak.await_service(START_S):
            ledger.violations.append(f"{missing} did not start to serve")
            return ledger
        names = [f"c{number}" for number in range(CLIENTS)]
        tasks = [
            asyncio.create_task(
                soak.make_client(name, list(ORGANISATIONS)[number % 2], seed).run()
            )
            for number, name in enumerate(names)
        ]
        faults = draw_faults(seed, length_s, NODES, MEMBERS)
        await asyncio.gather(*(soak.inject(fault) for fault in faults))
        await soak.heal()
        soak.revoke("storgata")
        if missing := await soak.await_service(RECOVER_S):
            ledger.violations.append(f"{missing} did not recover")
        await asyncio.sleep(1.0)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        primary = soak.group.primary
        if primary is None:
            ledger.violations.append("the group has no primary")
        else:
            ledger.check_logs(soak.group.logs[primary.name])
        ledger.outcomes["promotion orders"] = len(soak.store.orders)
        for organisation in ORGANISATIONS:
            ledger.check_rate(organisation, soak.highest_rate, BURST)
        return ledger
