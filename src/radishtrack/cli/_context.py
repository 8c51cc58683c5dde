"""Dependencies of commands, which tests can replace."""

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
    """A platform object and its name."""

    name: str
    version: int
    value: Any


@attrs.define(frozen=True)
class VmEntry:
    """A VM in the platform's list."""

    id: str
    zone: str
    region: str
    state: str
    peer_address: str


@attrs.define(frozen=True)
class PlatformAccess:
    """Operations of the platform that commands use.

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
    """Output streams and platform access for one command."""

    open_platform: OpenPlatform
    out: TextIO = attrs.field(factory=lambda: sys.stdout)
    err: TextIO = attrs.field(factory=lambda: sys.stderr)

    def write(self, text: str) -> None:
        """Write a line to standard output."""
        print(text, file=self.out)

    def write_json(self, value: object) -> None:
        """Write a JSON value to standard output."""
        print(json.dumps(value, indent=2), file=self.out)

    def write_message(self, text: str) -> None:
        """Write a message for the user to standard error."""
        print(text, file=self.err)
