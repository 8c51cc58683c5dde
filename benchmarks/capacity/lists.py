"""Bytes, processor time and memory of the keys and of the list of VMs.

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
KEYS_EACH: Final = 2


def make_key_objects(organisations: int) -> list[dict[str, Any]]:
    """Return the platform's objects with two keys for each organisation."""
    chance = random.Random(1)
    objects = []
    for number in range(organisations):
        name = f"organisation-{number:04}"
        keys = [issue_key(name, chance.randbytes) for _ in range(KEYS_EACH)]
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
    """Measure bytes, processor time and memory of the keyring."""
    memories, sizes = [], []
    for count in ORGANISATION_SIZES:
        text = json.dumps({"revision": count, "objects": make_key_objects(count)})

        def load(text: str = text) -> object:
            keyring = make_keyring()
            for item in json.loads(text)["objects"]:
                found = parse_object(item)
                keyring.apply_object(found.name, found.version, found.value)
            return keyring

        cost = measure_cpu_us(load)
        gc.collect()
        tracemalloc.start()
        keyring = load()
        gc.collect()
        memory, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        del keyring
        emit(
            "keys",
            organisations=count,
            bytes=len(text),
            load_cpu_us=cost,
            memory_bytes=memory,
        )
        memories.append((count, float(memory)))
        sizes.append((count, float(len(text))))
    emit_fit("keyring memory by organisations", memories)
    emit_fit("key bytes at a start by organisations", sizes)


def apply_list(text: str) -> None:
    """Take a list of VMs as a node does."""
    records = [parse_vm(item) for item in json.loads(text)["vms"]]
    make_membership(make_nodes(1)[0]).apply_list(map(_make_node, records))


async def measure_vm_list() -> None:
    """Measure one read of the list of VMs."""
    fleet = await start_fleet()
    client = fleet.make_node_client()
    known, sizes, costs = 0, [], []
    for count in NODE_SIZES:
        for node in make_nodes(count)[known:]:
            await fleet.operator.announce(
                VmRecord(
                    node.id, node.zone, node.region, VmState.LIVE, node.peer_address
                )
            )
        known = count
        await client.vms()
        counted = fleet.relay.total
        await client.vms()
        size = fleet.relay.total - counted
        listed = [
            {**attrs.asdict(vm), "state": vm.state.value} for vm in await client.vms()
        ]
        text = json.dumps({"vms": listed})
        cost = measure_cpu_us(partial(apply_list, text), repeats=9)
        emit(
            "list of VMs",
            nodes=count,
            bytes=size,
            zlib_bytes=len(zlib.compress(text.encode())),
            parse_cpu_us=cost,
        )
        sizes.append((count, float(size)))
        costs.append((count, cost.median))
    emit_fit("list bytes by nodes", sizes)
    emit_fit("list parse us by nodes", costs)
    await client.close()
    await fleet.close()


def main() -> None:
    """Run all measurements."""
    logging.disable(logging.CRITICAL)
    measure_keys()
    uvloop.run(measure_vm_list())


if __name__ == "__main__":
    main()
