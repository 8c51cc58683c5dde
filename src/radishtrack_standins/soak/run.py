"""One run of the soak test: a fleet, clients, the faults of a seed and checks."""

from __future__ import annotations

import asyncio
import signal
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import Any, Final

import attrs

from radishtrack.clock import make_boot_clock
from radishtrack.platform.lines import ConnectionEnded
from radishtrack_standins.object_store import StandinStore, StoreBackup
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
from radishtrack_standins.soak.schedule import (
    RESTORED,
    Fault,
    draw_faults,
    draw_restores,
)

NODE_NAMES: Final = ("edge-1", "edge-2", "edge-3")
ORGANISATIONS: Final = {"verksted": "key-1", "storgata": "key-2"}
RATE_PER_S: Final = 150
BURST: Final = 150
CLIENTS: Final = 8
MEMBER_UPDATE_INTERVAL_S: Final = 0.5
"""Interval at which changed entries of members are written."""
START_TIMEOUT_S: Final = 12.0
RECOVERY_TIMEOUT_S: Final = 15.0
"""Time within which every node serves a write after the last fault (`recoverS`)."""
MAX_LOST_RESPONSES: Final = 12
KEPT_BACKUPS: Final = 24
"""Backups of the store, one for each update of the members' entries."""
REVOKED_ORGANISATION: Final = "storgata"
MAX_REWRITE_DELAY_S: Final = 1.0
"""Longest time after a restore until the operator writes the configuration again."""
STALE_PRIMARY_S: Final = 1.0
"""Time for which a resumed node reaches the replaced primary."""

FaultActions = tuple[Callable[[], Awaitable[None]], Callable[[], Awaitable[None]]]
"""Functions that begin and end a fault."""


@attrs.define(eq=False)
class Soak:
    """State of a run; made by `open_soak`."""

    store: StandinStore
    group: Group
    nodes: dict[str, NodeProcess]
    ledger: Ledger
    now_ms: Callable[[], float]
    version: int = 0
    rate_per_s: float = RATE_PER_S
    highest_rate_per_s: float = RATE_PER_S
    backups: deque[StoreBackup] = attrs.field(
        factory=lambda: deque(maxlen=KEPT_BACKUPS)
    )
    """Recent backups of the store, oldest first."""

    def configure(self) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        self.highest_rate_per_s = max(self.highest_rate_per_s, self.rate_per_s)
        self.store.put("config", "main", self._make_config())

    def revoke(self, organisation: str) -> None:
        """Revoke the only key of an organisation."""
        self.ledger.revoked_ms[organisation] = self.now_ms()
        self.configure()

    def register_members(self) -> None:
        """Write the entries of members that have changed."""
        for member in self.group.members.values():
            spec = make_member_entry(member, slots=4)
            stored = self.store.objects.get(("servers", member.name))
            if stored is None or stored["spec"] != spec:
                self.store.put("servers", member.name, spec)

    def handle_promotion_order(self, group: str, member: str) -> int:
        """Carry out a promotion, unless its fencing token is below an earlier one."""
        holders = {
            holder
            for *_, holder, token in self.store.orders
            if token == self.store.orders[-1][-1]
        }
        if len(holders) > 1:
            self.ledger.violations.append(f"{sorted(holders)} used the same token")
        tokens = [token for *_, token in self.store.orders]
        if tokens[-1] < max(tokens):
            return 409
        return self.group.promote(group, member)

    async def inject(self, fault: Fault) -> None:
        """Begin a fault at its time, and end it after its duration."""
        await asyncio.sleep(fault.at_s)
        node, relay = self.nodes[fault.node], None
        if fault.target in node.relays:
            relay = node.relays[fault.target]
        begin, end = self._make_fault(fault, node, relay)
        await begin()
        await asyncio.sleep(fault.duration_s)
        await end()

    async def update_members(self) -> None:
        """Write changed entries of members at an interval; never returns."""
        while True:
            self.register_members()
            self.backups.append(self.store.back_up())
            await asyncio.sleep(MEMBER_UPDATE_INTERVAL_S)

    async def heal(self) -> None:
        """End all faults; start stopped members and nodes."""
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

    async def list_unavailable_nodes(self, timeout_s: float) -> list[str]:
        """Return the nodes that do not serve a write within `timeout_s`."""
        is_serving = await asyncio.gather(
            *(self._is_serving_within(node, timeout_s) for node in self.nodes.values())
        )
        return [
            name
            for name, is_ok in zip(self.nodes, is_serving, strict=True)
            if not is_ok
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

    async def _is_serving_within(self, node: NodeProcess, timeout_s: float) -> bool:
        client = self.make_client(f"probe-{node.name}-{self.version}", "verksted", 0)
        deadline_ms = self.now_ms() + timeout_s * 1000
        while self.now_ms() < deadline_ms:
            try:
                connection = await client.connect(node, STRICT_DATABASE)
                statement_id, response = await client.execute(connection, "WRITE q1 x")
                connection.abort()
            except (ConnectionEnded, OSError, TimeoutError):
                response = ""
            else:
                self.ledger.record_write(statement_id, response, self.now_ms())
            if response.startswith("COMPLETE"):
                return True
            await asyncio.sleep(0.1)
        return False

    def _make_fault(
        self, fault: Fault, node: NodeProcess, relay: Relay | None
    ) -> FaultActions:
        """Return the functions that begin and end a fault."""
        faults = self.store.faults
        member = self.group.members.get(fault.target)

        async def do_nothing() -> None:
            return

        async def start() -> None:
            node.start()

        async def end_node() -> None:
            number = signal.SIGKILL if fault.kind == "kill" else signal.SIGTERM
            if not await node.end(number):
                self.ledger.violations.append(f"{node.name} did not end in time")

        async def set_store(status: int, delay_s: float) -> None:
            faults.status, faults.delay_s = status, delay_s

        async def lose_responses(writes: int, responses: int) -> None:
            faults.lose_writes += writes
            if member is not None:
                member.faults.lose_answers += responses

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
                return lambda: lose_responses(2, 0), do_nothing
            case "answer_lost":
                responses = 1 + int(MAX_LOST_RESPONSES * fault.strength)
                return lambda: lose_responses(0, responses), do_nothing
            case "rate":
                return set_rate, do_nothing
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
            case kind if kind == RESTORED:
                return self._make_restore(fault.strength)
            case "reset":
                return lambda: set_relay(refuse=True), lambda: set_relay(refuse=False)
        raise ValueError(f"unknown fault {fault.kind}")

    def _make_restore(self, strength: float) -> FaultActions:
        """Return a fault after which the store lacks the last seconds.

        A key is revoked in the lost seconds, and the operator writes its configuration
        again only some time after the restore.
        """

        async def begin() -> None:
            if REVOKED_ORGANISATION not in self.ledger.revoked_ms:
                self.revoke(REVOKED_ORGANISATION)
            self.store.faults.status = 503

        async def end() -> None:
            backup = self.backups[int(strength * (len(self.backups) - 1))]
            self.store.restore(backup, ("servers",))
            self.store.faults.status = 0
            await asyncio.sleep((1.0 - strength) * MAX_REWRITE_DELAY_S)
            self.store.put("config", "main", self._make_config())

        return begin, end

    def _make_primary_crash(self) -> FaultActions:
        crashed: list[str] = []

        async def begin() -> None:
            if self.group.primary is not None:
                crashed.append(self.group.primary.name)
                await self.group.crash(crashed[0])

        async def end() -> None:
            for name in crashed:
                await self.group.restart(name)

        return begin, end

    def _make_primary_isolation(self, node: NodeProcess) -> FaultActions:
        """Return a fault that freezes a node and cuts the primary from all others.

        The node resumes with outdated evidence, and reaches a primary that does not
        know that it was replaced.
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
            await asyncio.sleep(STALE_PRIMARY_S)
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
    """Start the store, members and nodes; stop them on exit."""
    store = StandinStore()
    await store.start()
    group = await start_group()
    ledger = Ledger()
    clock = make_boot_clock()
    for member in group.members.values():
        member.on_run = lambda organisation, statement_id: ledger.record_run(
            organisation, clock.now_ms(), statement_id
        )
    nodes = await make_nodes(NODE_NAMES, store, group, directory)
    soak = Soak(store, group, nodes, ledger, clock.now_ms)
    store.on_order = soak.handle_promotion_order
    soak.register_members()
    soak.configure()
    update_task = asyncio.create_task(soak.update_members())
    try:
        for node in nodes.values():
            node.start()
        yield soak
    finally:
        update_task.cancel()
        for node in nodes.values():
            await node.end(signal.SIGKILL)
            for relay in node.relays.values():
                await relay.close()
        await group.stop()
        await store.stop()


async def run_soak(
    seed: int, length_s: float, directory: Path, restores: int = 0
) -> Ledger:
    """Run the faults of a seed and return the ledger with its violations.

    Parameters
    ----------
    seed : int
        Determines the faults.
    length_s : float
        Time in which faults begin.
    directory : Path
        For the settings and logs of the nodes.
    restores : int
        Number of times that the store comes back from a backup, besides.
    """
    async with open_soak(directory) as soak:
        ledger = soak.ledger
        if unavailable := await soak.list_unavailable_nodes(START_TIMEOUT_S):
            ledger.violations.append(
                f"{unavailable} did not serve a write after the start"
            )
            return ledger
        names = [f"c{number}" for number in range(CLIENTS)]
        tasks = [
            asyncio.create_task(
                soak.make_client(name, list(ORGANISATIONS)[number % 2], seed).run()
            )
            for number, name in enumerate(names)
        ]
        faults = [
            *draw_faults(seed, length_s, NODE_NAMES, MEMBERS),
            *draw_restores(seed, length_s, restores, NODE_NAMES),
        ]
        await asyncio.gather(*(soak.inject(fault) for fault in faults))
        await soak.heal()
        if REVOKED_ORGANISATION not in ledger.revoked_ms:
            soak.revoke(REVOKED_ORGANISATION)
        if unavailable := await soak.list_unavailable_nodes(RECOVERY_TIMEOUT_S):
            ledger.violations.append(
                f"{unavailable} did not recover after the last fault"
            )
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
            ledger.check_rate(organisation, soak.highest_rate_per_s, BURST)
        return ledger
