"""Bytes, CPU time and memory of the keys and of the list of VMs.

Run as ``python benchmarks/capacity/lists.py``; prints JSON lines.
"""

from __future__ import annotations

import gc
import json
import logging
import random
import tracemalloc
import zlib
from functools import partial
from typing import Any, Final

import attrs
import uvloop
from measuring import (
    NODES,
    ORGANISATIONS,
    emit,
    emit_fit,
    make_nodes,
    measure_cpu_us,
)
from watch import start_fleet

from radishtrack.keys.key import issue_key
from radishtrack.keys.keyring import KIND as KEYS_KIND
from radishtrack.keys.keyring import make_keyring
from radishtrack.membership.nodes import make_membership
from radishtrack.objects.records import VmRecord, VmState, parse_object, parse_vm
from radishtrack.proxy.node import _make_node

ORGANISATION_SIZES: Final = (8, 100, ORGANISATIONS)
NODE_SIZES: Final = (50, 150, 295, NODES)
KEYS_PER_ORGANISATION: Final = 2


def make_key_objects(organisations: int) -> list[dict[str, Any]]:
    """Return the key object of each organisation, with two keys each."""
    rng = random.Random(1)
    objects = []
    for number in range(organisations):
        name = f"organisation-{number:04}"
        keys = [issue_key(name, rng.randbytes) for _ in range(KEYS_PER_ORGANISATION)]
        entries = [
            {"id": key.key_id, "verifier": key.verifier_hex, "revoked": False}
            for key in keys
        ]
        objects.append(
            {
                "kind": KEYS_KIND,
                "name": name,
                "version": number + 2,
                "value": {"keys": entries},
            }
        )
    return objects


def measure_keys() -> None:
    """Measure bytes, CPU time and memory of the keyring."""
    memory_points, size_points = [], []
    for count in ORGANISATION_SIZES:
        text = json.dumps({"revision": count, "objects": make_key_objects(count)})

        def load(text: str = text) -> object:
            keyring = make_keyring()
            for item in json.loads(text)["objects"]:
                record = parse_object(item)
                keyring.apply_object(record.name, record.version, record.value)
            return keyring

        cpu_us = measure_cpu_us(load)
        gc.collect()
        tracemalloc.start()
        keyring = load()
        gc.collect()
        memory_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        del keyring
        emit(
            "keys",
            organisations=count,
            bytes=len(text),
            load_cpu_us=cpu_us,
            memory_bytes=memory_bytes,
        )
        memory_points.append((count, float(memory_bytes)))
        size_points.append((count, float(len(text))))
    emit_fit("keyring memory by organisations", memory_points)
    emit_fit("key bytes at a start by organisations", size_points)


def apply_list(text: str) -> None:
    """Parse and apply a list of VMs as a node does."""
    records = [parse_vm(item) for item in json.loads(text)["vms"]]
    make_membership(make_nodes(1)[0]).apply_list(map(_make_node, records))


async def measure_vm_list() -> None:
    """Measure bytes and CPU time of one read of the list of VMs."""
    fleet = await start_fleet()
    client = fleet.make_node_client()
    announced, size_points, cost_points = 0, [], []
    for count in NODE_SIZES:
        for node in make_nodes(count)[announced:]:
            await fleet.operator.announce(
                VmRecord(
                    node.id, node.zone, node.region, VmState.LIVE, node.peer_address
                )
            )
        announced = count
        await client.vms()
        bytes_before = fleet.relay.total
        await client.vms()
        size_bytes = fleet.relay.total - bytes_before
        listed = [
            {**attrs.asdict(vm), "state": vm.state.value} for vm in await client.vms()
        ]
        text = json.dumps({"vms": listed})
        cpu_us = measure_cpu_us(partial(apply_list, text), repeats=9)
        emit(
            "list of VMs",
            nodes=count,
            bytes=size_bytes,
            zlib_bytes=len(zlib.compress(text.encode())),
            parse_cpu_us=cpu_us,
        )
        size_points.append((count, float(size_bytes)))
        cost_points.append((count, cpu_us.median))
    emit_fit("list bytes by nodes", size_points)
    emit_fit("list parse us by nodes", cost_points)
    await client.close()
    await fleet.close()


def main() -> None:
    """Run all measurements."""
    logging.disable(logging.CRITICAL)
    measure_keys()
    uvloop.run(measure_vm_list())


if __name__ == "__main__":
    main()
