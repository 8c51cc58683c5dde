"""CPU time, bytes and memory of one node without clients.

Run as ``python benchmarks/capacity/node.py``; prints JSON lines. A whole node runs in
this process; the platform and three members are stand-ins in separate processes. All
databases share the three members, which costs the node as much as separate members.
"""

from __future__ import annotations

import asyncio
import logging
import tempfile
import time
from pathlib import Path
from typing import Any, Final

import attrs
import uvloop
from measuring import (
    DATABASES,
    NODES,
    ORGANISATIONS,
    OWNERS,
    CountingRelay,
    Spread,
    emit,
    emit_fit,
    make_fleet_document,
    make_nodes,
    read_rss_bytes,
    start_relay,
    summarise,
)

from radishtrack.clock import make_system_clock
from radishtrack.config.chunk import (
    EMPTY_MANIFEST,
    encode_chunk,
    encode_manifest,
    make_next_manifest,
    split_document,
)
from radishtrack.config.document import Document, make_document
from radishtrack.config.model import Database
from radishtrack.config.store import CHUNK_KIND, MANIFEST_KIND, MANIFEST_NAME
from radishtrack.objects.budget import CallBudget
from radishtrack.objects.client import PlatformClient, make_platform_client
from radishtrack.objects.records import VmRecord, VmState
from radishtrack.proxy.assembly import make_node_server
from radishtrack.proxy.node import NodeServer
from radishtrack.settings import load_settings
from radishtrack_standins.launch import StandinProcess, start_standin

HELD_SIZES: Final = (0, 3, 6, 12)
RELAYED_SIZES: Final = (1, 3, 6)
WINDOW_S: Final = 1.5
WINDOWS: Final = 3
SETTLE_S: Final = 1.0
START_TIMEOUT_S: Final = 30.0
HOME_REGION: Final = "home"
"""Region of the measured node, which holds all databases of that region."""


@attrs.define(frozen=True)
class MemberStandins:
    """The member stand-ins and a relay in front of each."""

    members: tuple[StandinProcess, ...]
    relays: tuple[CountingRelay, ...]
    use_relays: bool

    def make_group_value(self) -> dict[str, Any]:
        """Return a group record, whose status polls use the relays if `use_relays`."""
        return {
            "term": 1,
            "primary": "m1",
            "members": {
                f"m{number}": {
                    "host": "127.0.0.1",
                    "port": member.ports["port"],
                    "admin_port": relay.port
                    if self.use_relays
                    else member.ports["admin_port"],
                    "zone": "home-a",
                }
                for number, (member, relay) in enumerate(
                    zip(self.members, self.relays, strict=True), 1
                )
            },
            "history": [[1, 0]],
            "attempt": "initial",
        }


def make_client(url: str) -> PlatformClient:
    """Return a client whose call budget is never exhausted."""
    return make_platform_client(url, make_system_clock(), budget=CallBudget(1e6, 1e6))


async def store_document(client: PlatformClient, document: Document) -> None:
    """Store the first revision of a configuration."""
    chunks = split_document(document)
    for digest, text in chunks.items():
        await client.put(CHUNK_KIND, digest, encode_chunk(text), 0)
    manifest = make_next_manifest(
        EMPTY_MANIFEST, chunks, apply_id="first", author="operator", changes=("first",)
    )
    await client.put(MANIFEST_KIND, MANIFEST_NAME, encode_manifest(manifest), 0)


def add_held_databases(document: Document, held: int) -> Document:
    """Return a copy of a document with `held` more databases in `HOME_REGION`."""
    template = next(iter(make_fleet_document(1, 1).databases.values()))
    added = [
        Database(
            f"held-{number}",
            OWNERS[0],
            HOME_REGION,
            1,
            template.connections,
            template.members,
        )
        for number in range(held)
    ]
    return make_document(
        document.owners.values(),
        document.organisations.values(),
        (*document.databases.values(), *added),
        document.services.values(),
    )


def make_server(url: str, directory: Path) -> NodeServer:
    """Return the server of a node, not yet started."""
    path = directory / "node.toml"
    path.write_text(
        f"""
[node]
id = "measured"
zone = "home-a"
region = "{HOME_REGION}"
[listen]
client_host = "127.0.0.1"
client_port = 0
peer_host = "127.0.0.1"
peer_port = 0
admin_host = "127.0.0.1"
admin_port = 0
[platform]
url = "{url}"
[peers]
secret = "a-secret-of-the-measured-fleet"
[database_login]
user = "radishtrack"
password = ""
"""
    )
    result = load_settings(path)
    if result.is_error():
        raise RuntimeError("\n".join(str(error) for error in result.error))
    return make_node_server(result.ok, make_system_clock(), incarnation=1)


async def sample_cpu_percent(windows: int = WINDOWS) -> Spread:
    """Return the CPU usage of this process in percent of a core."""
    samples = []
    for _ in range(windows):
        cpu_before_s, begin_s = time.process_time(), time.monotonic()
        await asyncio.sleep(WINDOW_S)
        elapsed_s = time.monotonic() - begin_s
        samples.append(100 * (time.process_time() - cpu_before_s) / elapsed_s)
    return summarise(samples)


async def measure_node(
    members: tuple[StandinProcess, ...],
    document: Document,
    held: int,
    nodes: int,
    *,
    use_relays: bool,
    windows: int = WINDOWS,
) -> tuple[Spread, float]:
    """Run a node; return its percent of a core and its status bytes per second."""
    platform = start_standin("platform")
    url = f"http://127.0.0.1:{platform.ports['port']}"
    client = make_client(url)
    relays = tuple([await start_relay(m.ports["admin_port"]) for m in members])
    standins = MemberStandins(members, relays, use_relays)
    document_with_held = add_held_databases(document, held)
    await store_document(client, document_with_held)
    for name in document_with_held.databases:
        value = standins.make_group_value()
        await client.put("groups", name, value, 0)
    for node in make_nodes(nodes):
        vm = VmRecord(node.id, node.zone, node.region, VmState.LIVE, node.peer_address)
        await client.announce(vm)
    with tempfile.TemporaryDirectory() as directory:
        server = make_server(url, Path(directory))
        await server.start()
        begin = time.monotonic()
        end = begin + START_TIMEOUT_S
        while (
            server.configuration.revision == 0 or len(server.holder.databases) != held
        ):
            if time.monotonic() > end:
                raise RuntimeError(f"node did not hold its {held} databases in time")
            await asyncio.sleep(0.05)
        start_s = time.monotonic() - begin
        await asyncio.sleep(SETTLE_S)
        begin, bytes_before = time.monotonic(), sum(relay.total for relay in relays)
        core_percent = await sample_cpu_percent(windows)
        elapsed_s = time.monotonic() - begin
        bytes_per_s = (sum(relay.total for relay in relays) - bytes_before) / elapsed_s
        memory_bytes = read_rss_bytes()
        await server.close()
    emit(
        "node without clients",
        databases=len(document.databases),
        organisations=len(document.organisations),
        nodes=nodes,
        held=held,
        relayed=use_relays,
        core_percent=core_percent,
        status_bytes_per_s=bytes_per_s,
        process_memory_mb=memory_bytes / 1e6,
        configuration_after_s=start_s,
    )
    for relay in relays:
        await relay.close()
    await client.close()
    platform.stop()
    return core_percent, bytes_per_s


async def measure_all(members: tuple[StandinProcess, ...]) -> None:
    """Measure by number of held databases, then at the target scale."""
    small = make_fleet_document(3, 8)
    cpu_points, byte_points = [], []
    for held in HELD_SIZES:
        core_percent, _ = await measure_node(members, small, held, 8, use_relays=False)
        cpu_points.append((float(held), core_percent.median))
    emit_fit("core percent by databases held", cpu_points)
    for held in RELAYED_SIZES:
        _, bytes_per_s = await measure_node(
            members, small, held, 8, use_relays=True, windows=1
        )
        byte_points.append((float(held), bytes_per_s))
    emit_fit("status bytes a second by databases held", byte_points)
    fleet = make_fleet_document(DATABASES, ORGANISATIONS)
    await measure_node(members, fleet, 3, NODES, use_relays=False)


def main() -> None:
    """Start the member stand-ins and measure."""
    logging.disable(logging.CRITICAL)
    emit("node imports", memory_mb=read_rss_bytes() / 1e6)
    with tempfile.TemporaryDirectory() as directory:
        members: list[StandinProcess] = []
        try:
            for number in range(1, 4):
                arguments = [f"--name=m{number}", f"--directory={directory}/m{number}"]
                if members:
                    arguments.append(f"--source=127.0.0.1:{members[0].ports['port']}")
                members.append(start_standin("member", *arguments))
            uvloop.run(measure_all(tuple(members)))
        finally:
            for member in members:
                member.stop()


if __name__ == "__main__":
    main()
