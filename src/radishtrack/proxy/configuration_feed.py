"""Fetches configuration revisions from the platform and brings them into force."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

import attrs

from radishtrack.config.chunk import ChunkError, decode_chunk, decode_manifest
from radishtrack.config.state import ConfigurationState
from radishtrack.config.store import CHUNK_KIND
from radishtrack.events import Event, log_event
from radishtrack.objects.client import PlatformClient
from radishtrack.objects.records import PlatformRefusal, PlatformUnavailable

CHUNK_RETRY_S: Final = 0.2


@attrs.define
class ConfigurationFeed:
    """Fetches the missing chunks of each manifest that the watch returns.

    Parameters
    ----------
    platform : PlatformClient
        Stores the chunks.
    configuration : ConfigurationState
        The configuration in force.
    on_processed : callable
        Called after each valid manifest, whether or not its revision was accepted.
    """

    platform: PlatformClient
    configuration: ConfigurationState
    on_processed: Callable[[], None]
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    manifest_value: object = None
    manifest_version: int = 0

    def update_manifest(self, value: object, version: int) -> None:
        """Set the latest manifest object, which `run` then processes."""
        self.manifest_value, self.manifest_version = value, version
        self.changed.set()

    async def run(self) -> None:
        """Process manifests until cancelled."""
        while True:
            await self.changed.wait()
            self.changed.clear()
            try:
                await self._process(self.manifest_value, self.manifest_version)
            except (PlatformUnavailable, PlatformRefusal):
                # A revision can't come into force without its chunks.
                await asyncio.sleep(CHUNK_RETRY_S)
                self.changed.set()

    async def _process(self, value: object, version: int) -> None:
        try:
            manifest = decode_manifest(value)
        except ChunkError as error:
            log_event(Event.CONFIGURATION_REJECTED, reason=error)
            return
        chunks: dict[str, str] = {}
        for digest in self.configuration.find_missing(manifest):
            stored = await self.platform.get(CHUNK_KIND, digest)
            if stored is not None and stored.value is not None:
                chunks[digest] = decode_chunk(stored.value)
        self.configuration.accept(manifest, chunks, version)
        self.on_processed()
