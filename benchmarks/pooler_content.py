"""CPU time and bytes of a changed configuration, by number of routes.

Run: PYTHONPATH=src .venv/bin/python benchmarks/pooler_content.py
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import time
from collections.abc import Awaitable
from typing import TypeVar

import attrs

from radishtrack.platform.documents import parse_catalog
from radishtrack.platform.object_store import StoredObject
from radishtrack.pooler.catalog import EMPTY_CATALOG, Catalog
from radishtrack.pooler.content_codec import encode_catalog
from radishtrack.pooler.content_difference import StoreContent, merge_catalog
from radishtrack.pooler.content_stream import (
    Bases,
    ContentHeader,
    decode_difference,
    encode_difference,
)
from radishtrack.pooler.store_content import CopyContent
from radishtrack_standins.platform_objects import make_config

SIZES = (54, 4_254, 42_054)
"""Numbers of routes."""
ADDED = 1_400
LINK_BYTES_PER_MS = 5e6 / 8 / 1_000

_T = TypeVar("_T")


def make_document(version: int, routes: int) -> bytes:
    """Return a configuration with names that hardly shrink."""
    config = make_config(version, "g", {"a": ["key"]}, rate_per_s=1, burst=1)
    first = config["routes"][0]
    names = (hashlib.blake2b(str(n).encode()).hexdigest()[:9] for n in range(routes))
    config["routes"] += [first | {"host": name, "name": f"r-{name}"} for name in names]
    return json.dumps(config).encode()


async def measure(name: str, work: Awaitable[_T]) -> _T:
    """Print the time of some work, and the longest time in which nothing else ran."""
    longest_ms, last_s = 0.0, time.perf_counter()

    async def watch() -> None:
        nonlocal longest_ms, last_s
        while True:
            await asyncio.sleep(0)
            now_s = time.perf_counter()
            longest_ms, last_s = max(longest_ms, (now_s - last_s) * 1_000), now_s

    watcher = asyncio.create_task(watch())
    started_s = time.perf_counter()
    result = await work
    elapsed_ms = (time.perf_counter() - started_s) * 1_000
    watcher.cancel()
    print(f"  {name}: {elapsed_ms:.1f} ms, at most {longest_ms:.1f} ms at once")
    return result


async def transfer(
    name: str, earlier: Catalog, earlier_digest: int, later: Catalog, digest: int
) -> None:
    """Print time and size of a difference."""
    bases = Bases(catalog=earlier.version)
    header = ContentHeader(CopyContent(1, later.version, 0, 0), bases, digest, 1)
    base = StoreContent(catalog=earlier)
    encoding = encode_difference(header, base, StoreContent(catalog=later), bases)
    encoded = await measure(f"{name}, encode", encoding)
    decoding = decode_difference(encoded.data, base, earlier_digest)
    _, received_digest = await measure(f"{name}, apply", decoding)
    assert received_digest == digest
    size = len(encoded.data)
    print(f"  {name}: {size} bytes, {size / LINK_BYTES_PER_MS:.0f} ms at 5 Mbit/s")


async def main() -> None:
    """Print the figures of the whole configuration and of two changes."""
    for size in SIZES:
        document = make_document(1, size)
        started_s = time.perf_counter()
        spec = json.loads(document)
        json_ms = (time.perf_counter() - started_s) * 1_000
        print(f"{size} routes: {len(document)} bytes of JSON, {json_ms:.1f} ms at once")
        parsed = await measure("decode", parse_catalog(StoredObject("main", 1, spec)))
        print(f"  to earlier nodes: {len(encode_catalog(parsed))} bytes")
        catalog, digest = await measure(
            "share rows", merge_catalog(EMPTY_CATALOG, 0, parsed)
        )
        await transfer("whole", EMPTY_CATALOG, 0, catalog, digest)
        added = json.loads(make_document(2, size + ADDED))
        later = await parse_catalog(StoredObject("main", 2, added))
        later, later_digest = await merge_catalog(catalog, digest, later)
        await transfer(f"{ADDED} more", catalog, digest, later, later_digest)
        first = next(iter(catalog.routes))
        route = attrs.evolve(catalog.routes[first], statement_timeout_ms=1.0)
        changed = attrs.evolve(
            catalog, version=3, routes={**catalog.routes, first: route}
        )
        changed, changed_digest = await merge_catalog(catalog, digest, changed)
        await transfer("one field", catalog, digest, changed, changed_digest)


if __name__ == "__main__":
    asyncio.run(main())
