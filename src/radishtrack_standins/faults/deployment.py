"""Deployment of one scenario, and the faults that can be injected into it."""

from __future__ import annotations

import asyncio
import random
import shutil
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import attrs

from radishtrack_standins.cluster import (
    HOST,
    Cluster,
    ClusterPlan,
    call_json,
    make_group_value,
    make_member_arguments,
    make_proxy,
    wait_until_ready,
)
from radishtrack_standins.faults.client import Client, make_client
from radishtrack_standins.launch import StandinProcess, start_standin

if TYPE_CHECKING:
    from radishtrack_standins.faults.report import Report

WAIT_TIMEOUT_S: Final = 20.0
START_ATTEMPTS: Final = 3
ADDRESS_IN_USE: Final = "address already in use"
WARM_UP_STATEMENTS: Final = 5
TABLES: Final = (
    "CREATE TABLE orders (id VARCHAR(64) PRIMARY KEY, organisation VARCHAR(64))",
    "CREATE TABLE receipts (id INTEGER PRIMARY KEY AUTO_INCREMENT, "
    "order_id VARCHAR(64))",
    "CREATE TABLE history (id INTEGER PRIMARY KEY, note VARCHAR(64))",
)


@attrs.define
class Deployment:
    """A running deployment, its report and its random generator."""

    cluster: Cluster
    report: Report
    random: random.Random
    admin_relays: dict[str, StandinProcess] = attrs.field(factory=dict)
    platform_relays: list[StandinProcess] = attrs.field(factory=list)
    path_relays: list[StandinProcess] = attrs.field(factory=list)
    """Relays to the first primary's ports; they can be cut for single processes."""
    rate_refusals: Counter[str] = attrs.field(factory=Counter)

    def create_client(
        self, number: int, organisation: str = "", *, autocommit: bool = True
    ) -> Client:
        """Return a client of the proxy with this number; it connects when used."""
        client = make_client(self.cluster, number, organisation, autocommit=autocommit)
        client.rate_refusals = self.rate_refusals
        return client

    async def control_member(self, member: str, **switches: Any) -> None:
        """Set fault switches of a member."""
        await asyncio.to_thread(self.cluster.control_member, member, switches)

    async def control_platform(self, **switches: Any) -> None:
        """Set fault switches of the platform."""
        await asyncio.to_thread(self.cluster.control_platform, switches)

    async def control_relay(self, relay: StandinProcess, **switches: Any) -> None:
        """Set fault switches of a relay."""
        url = f"http://{HOST}:{relay.ports['control_port']}/control"
        await asyncio.to_thread(call_json, "POST", url, switches)

    async def read_primary(self) -> str:
        """Return the recorded primary."""
        return await asyncio.to_thread(self.cluster.primary)

    async def read_rows(self, table: str) -> list[list[Any]]:
        """Return a table's rows at the recorded primary."""
        member = await self.read_primary()
        return await asyncio.to_thread(self.cluster.read_rows, member, table)

    async def query_member(self, member: str, path: str) -> Any:
        """Return the response of a member's control port to a GET request."""
        port = self.cluster.members[member].ports["control_port"]
        return await asyncio.to_thread(call_json, "GET", f"http://{HOST}:{port}{path}")

    async def run_cli(self, *arguments: str) -> Any:
        """Run the command-line tool against the platform of this deployment."""
        url = self.cluster.platform_url
        return await asyncio.to_thread(
            self.cluster.run_cli, *arguments, "--platform", url
        )

    async def wait_for_promotion(
        self, old_primary: str, timeout_s: float = WAIT_TIMEOUT_S
    ) -> float:
        """Wait until another primary is recorded.

        Returns
        -------
        float
            Seconds waited; infinity if the primary is still `old_primary`.
        """
        start_s = time.monotonic()
        while time.monotonic() - start_s < timeout_s:
            if await self.read_primary() != old_primary:
                return time.monotonic() - start_s
            await asyncio.sleep(0.05)
        return float("inf")

    async def warm_up(self) -> float:
        """Wait until every proxy serves every organisation.

        Returns
        -------
        float
            Seconds waited.

        Raises
        ------
        RuntimeError
            If that takes longer than `WAIT_TIMEOUT_S`; no fault is injected yet.
        """
        start_s = time.monotonic()
        for name, _, _ in self.cluster.plan.organisations:
            for number in range(len(self.cluster.proxies)):
                client = self.create_client(number, name)
                client.has_rate_retries = False
                client.rate_refusals = Counter()
                served_count = 0
                while served_count < WARM_UP_STATEMENTS:
                    result = await client.run("SHOW TABLES")
                    served_count = served_count + 1 if result.ran else 0
                    if time.monotonic() - start_s > WAIT_TIMEOUT_S:
                        raise RuntimeError(
                            f"proxy does not serve after the start: {result}"
                        )
                    await asyncio.sleep(0.05)
                client.abort()
        return time.monotonic() - start_s

    async def create_tables(self) -> None:
        """Create the tables through a proxy.

        Raises
        ------
        RuntimeError
            If a statement fails; no fault is injected yet.
        """
        client = self.create_client(0)
        for statement in TABLES:
            result = await client.run(statement)
            if not result.ran:
                raise RuntimeError(f"CREATE TABLE failed: {result}")
        client.abort()


def start_deployment(
    plan: ClusterPlan,
    report: Report,
    seed: int,
    *,
    needs_relays: bool = False,
    needs_paths: bool = False,
) -> Deployment:
    """Start a deployment.

    Parameters
    ----------
    plan : ClusterPlan
        Processes to start, and their configuration.
    report : Report
        Collects the results.
    seed : int
        Seed of the deployment's random generator.
    needs_relays : bool
        Whether the proxies reach the members' administrative ports and the platform
        through relays that can be cut one by one. With `needs_paths` only the platform
        has such relays.
    needs_paths : bool
        Whether the first primary is reached through relays that can be cut for single
        proxies.

    Raises
    ------
    RuntimeError
        If a process does not start, or the chosen ports were in use at each attempt.
    """
    for _ in range(START_ATTEMPTS):
        try:
            return _try_start(plan, report, seed, needs_relays, needs_paths)
        except RuntimeError as error:
            # Another process may take a port between its choice and its use.
            if ADDRESS_IN_USE not in str(error):
                raise
    raise RuntimeError("chosen ports were in use at each attempt")


def _try_start(
    plan: ClusterPlan, report: Report, seed: int, needs_relays: bool, needs_paths: bool
) -> Deployment:
    directory = Path(tempfile.mkdtemp(prefix="radishtrack-faults-"))
    platform = start_standin("platform", f"--vm-list-lag-ms={plan.vm_list_lag_ms}")
    cluster = Cluster(plan, directory, platform, {}, [])
    deployment = Deployment(cluster, report, random.Random(seed))
    try:
        _start_members_and_relays(
            deployment, needs_relays and not needs_paths, needs_paths
        )
        _configure_and_start_proxies(deployment, needs_relays)
    except BaseException:
        close_deployment(deployment)
        raise
    return deployment


def _start_members_and_relays(
    deployment: Deployment, needs_relays: bool, needs_paths: bool
) -> None:
    cluster = deployment.cluster
    for number in range(1, cluster.plan.members + 1):
        name = f"m{number}"
        arguments = make_member_arguments(cluster.plan, cluster.directory, name)
        if cluster.members:
            arguments.append(f"--source={HOST}:{cluster.members['m1'].ports['port']}")
        member = start_standin("member", *arguments)
        cluster.members[name] = member
        if needs_paths and name == "m1":
            for kind in ("port", "admin_port"):
                relay = start_standin(
                    "faults.paths", f"--target={HOST}:{member.ports[kind]}"
                )
                deployment.path_relays.append(relay)
                member.ports[kind] = relay.ports["port"]
        if needs_relays:
            target = f"{HOST}:{member.ports['admin_port']}"
            deployment.admin_relays[name] = start_standin("relay", f"--target={target}")
            member.ports["admin_port"] = deployment.admin_relays[name].ports["port"]


def _configure_and_start_proxies(deployment: Deployment, needs_relays: bool) -> None:
    cluster = deployment.cluster
    cluster.call_platform(
        "PUT",
        f"/objects/groups/{cluster.plan.database}",
        {"value": make_group_value(cluster), "expected_version": 0},
    )
    applied = cluster.apply_configuration(cluster.plan.organisations, 0)
    if applied.returncode:
        raise RuntimeError(applied.stderr + applied.stdout)
    for name, _, _ in cluster.plan.organisations:
        cluster.issue_key(name)
    for number, zone in enumerate(cluster.plan.zones, 1):
        proxy = make_proxy(cluster, f"p{number}", zone)
        cluster.proxies.append(proxy)
        if needs_relays:
            target = f"{HOST}:{cluster.platform.ports['port']}"
            relay = start_standin("relay", f"--target={target}")
            deployment.platform_relays.append(relay)
            url = f"http://{HOST}:{relay.ports['port']}"
            text = proxy.settings.read_text().replace(cluster.platform_url, url)
            proxy.settings.write_text(text)
    for proxy in cluster.proxies:
        proxy.start()
    wait_until_ready(cluster)


def close_deployment(deployment: Deployment) -> None:
    """End all processes and remove the scenario's files."""
    deployment.cluster.close()
    relays = (
        *deployment.admin_relays.values(),
        *deployment.platform_relays,
        *deployment.path_relays,
    )
    for relay in relays:
        relay.stop()
    shutil.rmtree(deployment.cluster.directory, ignore_errors=True)
