"""What commands need from outside, so that tests can pass their own."""

from __future__ import annotations

import contextlib
import enum
import json
import sys
from collections.abc import Awaitable, Callable
from typing import Any, TextIO

import attrs

from radishtrack.config.store import ObjectStore


class ExitCode(enum.IntEnum):
    """Exit codes of all commands."""

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4


class CommandError(Exception):
    """Raised to end a command with a message and an exit code."""

    def __init__(self, message: str, code: ExitCode = ExitCode.FAILED) -> None:
        super().__init__(message)
        self.code = code


@attrs.define(frozen=True)
class NamedObject:
    """A platform object with its name."""

    name: str
    version: int
    value: Any


@attrs.define(frozen=True)
class VmEntry:
    """An entry of the platform's list of VMs."""

    id: str
    zone: str
    region: str
    state: str
    peer_address: str


@attrs.define(frozen=True)
class PlatformAccess:
    """The platform operations that commands use.

    Parameters
    ----------
    store : ObjectStore
        Reads and conditional writes.
    list_objects : callable
        Returns all objects of a kind.
    list_vms : callable
        Returns the list of VMs.
    announce_leaving : callable
        Marks a VM as leaving.
    """

    store: ObjectStore
    list_objects: Callable[[str], Awaitable[tuple[NamedObject, ...]]]
    list_vms: Callable[[], Awaitable[tuple[VmEntry, ...]]]
    announce_leaving: Callable[[VmEntry], Awaitable[None]]


OpenPlatform = Callable[[str], contextlib.AbstractAsyncContextManager[PlatformAccess]]


@attrs.define(frozen=True)
class Context:
    """Streams and platform of one run of the command line."""

    open_platform: OpenPlatform
    out: TextIO = attrs.field(factory=lambda: sys.stdout)
    err: TextIO = attrs.field(factory=lambda: sys.stderr)

    def write(self, text: str) -> None:
        """Write a line of output."""
        print(text, file=self.out)

    def write_json(self, value: object) -> None:
        """Write output for scripts: one JSON value."""
        print(json.dumps(value, indent=2), file=self.out)

    def note(self, text: str) -> None:
        """Write a line for people to standard error."""
        print(text, file=self.err)
