"""Objects, VM records and results of the platform's API."""

from __future__ import annotations

import enum
from collections.abc import Mapping

import attrs

Json = None | bool | int | float | str | list["Json"] | dict[str, "Json"]
Value = Mapping[str, Json]


@attrs.define(frozen=True)
class PlatformObject:
    """One object at one version.

    Parameters
    ----------
    kind, name : str
        Identify the object.
    version : int
        Rises with every write, and when the store is restored; see
        `radishtrack.revision`. 0 if the object does not exist.
    value : mapping or None
        The object's value; None if the object was deleted.
    """

    kind: str
    name: str
    version: int
    value: Value | None


class VmState(enum.Enum):
    """Whether a VM stays or is about to be removed."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.define(frozen=True)
class VmRecord:
    """An entry of the platform's list of VMs, which lags behind.

    Parameters
    ----------
    id : str
        Identifier of the VM.
    zone, region : str
        Availability zone and region of the VM.
    state : VmState
        Whether the VM stays.
    peer_address : str
        ``host:port`` at which its node serves peers.
    """

    id: str
    zone: str
    region: str
    state: VmState
    peer_address: str


@attrs.define(frozen=True)
class Written:
    """The write took effect and gave the object this version."""

    version: int


@attrs.define(frozen=True)
class Conflict:
    """The write had no effect, since the object has this other version."""

    version: int


WriteResult = Written | Conflict


@attrs.define(frozen=True)
class WatchResponse:
    """Changes after the revision of a watch.

    Parameters
    ----------
    revision : int
        The revision from which to continue.
    objects : tuple of PlatformObject
        Changed objects, in order of their versions; a deleted one has no value.
    """

    revision: int
    objects: tuple[PlatformObject, ...]


class PlatformUnavailable(Exception):
    """Raised when the platform gave no usable response.

    Parameters
    ----------
    step : str
        The call that failed.
    peer : str
        URL of the platform.
    is_effect_unknown : bool
        Whether a write may have taken effect, now or later.
    reason : str
        Cause of the failure.
    """

    def __init__(
        self, step: str, peer: str, is_effect_unknown: bool, reason: str = ""
    ) -> None:
        super().__init__(f"platform unavailable: {reason} [step={step} at {peer}]")
        self.step = step
        self.peer = peer
        self.is_effect_unknown = is_effect_unknown
        self.reason = reason


class PlatformRefusal(Exception):
    """Raised when the platform rejects a call, for example for an oversized value.

    Repeating the call does not help.

    Parameters
    ----------
    step : str
        The call that was rejected.
    peer : str
        URL of the platform.
    status : int
        HTTP status.
    reason : str
        The platform's explanation.
    """

    def __init__(self, step: str, peer: str, status: int, reason: str) -> None:
        super().__init__(
            f"platform rejected the call: {status} {reason} [step={step} at {peer}]"
        )
        self.step = step
        self.peer = peer
        self.status = status
        self.reason = reason


def parse_object(data: Mapping[str, Json]) -> PlatformObject:
    """Return an object from a response of the platform.

    Raises
    ------
    KeyError, ValueError
        If a field is missing or has another type.
    """
    value = data.get("value")
    version = data.get("version")
    if not isinstance(version, int) or not isinstance(value, dict | None):
        raise ValueError(f"object {data.get('kind')}/{data.get('name')} is malformed")
    return PlatformObject(str(data["kind"]), str(data["name"]), version, value)


def parse_vm(data: Mapping[str, Json]) -> VmRecord:
    """Return an entry of the VM list.

    Raises
    ------
    KeyError, ValueError
        If a field is missing or the state is unknown.
    """
    return VmRecord(
        id=str(data["id"]),
        zone=str(data["zone"]),
        region=str(data["region"]),
        state=VmState(data["state"]),
        peer_address=str(data["peer_address"]),
    )
