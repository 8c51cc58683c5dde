"""Fetches configuration revisions from the platform and puts them into force."""

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
    """Takes manifests from the watch and fetches the chunks that are missing.

    Parameters
    ----------
    platform : PlatformClient
        Holds the chunks.
    configuration : ConfigurationState
        The configuration in force.
    when_accepted : callable
        Called after each manifest that was looked at.
    """

    platform: PlatformClient
    configuration: ConfigurationState
    when_accepted: Callable[[], None]
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    value: object = None

    def offer(self, value: object) -> None:
        """Take the latest value of the manifest's object."""
        self.value = value
        self.changed.set()

    async def run(self) -> None:
        """Accept one manifest after another, forever."""
        while True:
            await self.changed.wait()
            self.changed.clear()
            try:
                await self._accept(self.value)
            except (PlatformUnavailable, PlatformRefusal):
                # The chunks are needed before the revision can be in force.
                await asyncio.sleep(CHUNK_RETRY_S)
                self.changed.set()

    async def _accept(self, value: object) -> None:
        try:
            manifest = decode_manifest(value)
        except ChunkError as error:
            log_event(Event.CONFIGURATION_REJECTED, reason=error)
            return
        chunks: dict[str, str] = {}
        for digest in self.configuration.find_missing(manifest):
            found = await self.platform.get(CHUNK_KIND, digest)
            if found is not None and found.value is not None:
                chunks[digest] = decode_chunk(found.value)
        self.configuration.accept(manifest, chunks)
        self.when_accepted()
