"""Provides the platform operations of commands through the platform's client."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from typing import Any

from radishtrack.cli._context import CommandError, NamedObject, PlatformAccess, VmEntry
from radishtrack.clock import make_system_clock
from radishtrack.config.store import (
    ObjectStore,
    StoredObject,
    StoreUnavailable,
    WriteResult,
)
from radishtrack.objects.client import PlatformClient, make_platform_client
from radishtrack.objects.records import (
    PlatformRefusal,
    PlatformUnavailable,
    VmRecord,
    VmState,
    Written,
)


@contextlib.asynccontextmanager
async def open_platform(url: str) -> AsyncIterator[PlatformAccess]:
    """Yield the operations of the platform at `url`.

    Raises
    ------
    CommandError
        If the platform refuses a request.
    """
    client = make_platform_client(url, make_system_clock())
    try:
        yield make_platform_access(client)
    except PlatformRefusal as error:
        raise CommandError(str(error)) from error
    finally:
        await client.close()


def make_object_store(client: PlatformClient) -> ObjectStore:
    """Return an object store that reads and writes through a client."""

    async def get(kind: str, name: str) -> StoredObject | None:
        try:
            stored = await client.get(kind, name)
        except PlatformUnavailable as error:
            raise StoreUnavailable(str(error)) from error
        return StoredObject(stored.version, stored.value) if stored else None

    async def put(kind: str, name: str, value: Any, version: int) -> WriteResult:
        try:
            result = await client.put(kind, name, value, version)
        except PlatformUnavailable:
            return WriteResult.UNKNOWN
        if isinstance(result, Written):
            return WriteResult.WRITTEN
        return WriteResult.CONFLICT

    return ObjectStore(get, put)


def make_platform_access(client: PlatformClient) -> PlatformAccess:
    """Return the operations that commands use, through a client."""

    async def list_objects(kind: str) -> tuple[NamedObject, ...]:
        try:
            objects = await client.list_objects(kind)
        except PlatformUnavailable as error:
            raise StoreUnavailable(str(error)) from error
        return tuple(
            NamedObject(item.name, item.version, item.value) for item in objects
        )

    async def list_vms() -> tuple[VmEntry, ...]:
        try:
            records = await client.vms()
        except PlatformUnavailable as error:
            raise StoreUnavailable(str(error)) from error
        return tuple(
            VmEntry(vm.id, vm.zone, vm.region, vm.state.value, vm.peer_address)
            for vm in records
        )

    async def announce_leaving(vm: VmEntry) -> None:
        record = VmRecord(vm.id, vm.zone, vm.region, VmState.LEAVING, vm.peer_address)
        try:
            await client.announce(record)
        except PlatformUnavailable as error:
            raise StoreUnavailable(str(error)) from error

    return PlatformAccess(
        make_object_store(client), list_objects, list_vms, announce_leaving
    )
