"""Parsing and validation of the platform's settings file."""

from __future__ import annotations

import json
import math
from pathlib import Path
from typing import Any, Final

import attrs

from radishtrack.platform.documents import parse_address

SETTINGS_VARIABLE: Final = "RADISHTRACK_SETTINGS"
KEY_AGE_LIMIT_FRACTION: Final = 0.6
"""Fraction of the bound on revoked keys after which a node that can't confirm its copy
refuses keys. Nothing requires it to serve after that; the rest is margin."""
MS_PER_S: Final = 1_000.0
FULL_LINK_MBPS: Final = 100.0
"""Link with which a node can use all its cores for a duty: it passes a configuration of
some 10,000 routes on to a hundred nodes within a second or two."""


class SettingsError(ValueError):
    """Raised for a settings file that can't be read or is invalid."""


@attrs.frozen
class PlatformSettings:
    """Settings of one process: its own addresses and those of the platform.

    Parameters
    ----------
    node : str
        Name of the node.
    ip : str
        Address of the VM.
    zone : str
        Availability zone.
    frontend, ready : tuple of str and int
        Addresses for clients and for the load balancer's probe.
    peer_port : int
        Port for peers.
    store : str
        ``host:port`` of the object store.
    orders : str
        ``host:port`` at which promotions are ordered.
    grace_ms : float
        Time between SIGTERM and SIGKILL.
    key_age_limit_ms : float or None
        Age of the configuration from which on keys are refused; None without a bound.
    cores : float
        Processor cores that the process may use, less where its link is small; 0 if the
        settings don't say.
    evacuation_ms : float or None
        Time from the store's acknowledgement of an evacuation to the last request that
        reaches a member of the zone; None if zones can't be evacuated.
    configuration_age_limit_ms : float or None
        Time after its acknowledgement in which a configuration must be in force; None
        without a bound.
    """

    node: str
    ip: str
    zone: str
    frontend: tuple[str, int]
    ready: tuple[str, int]
    peer_port: int
    store: str
    orders: str
    grace_ms: float
    key_age_limit_ms: float | None
    cores: float = 0.0
    evacuation_ms: float | None = None
    configuration_age_limit_ms: float | None = None


def parse_settings(text: str) -> PlatformSettings:
    """Return the settings in a file's text.

    Raises
    ------
    SettingsError
        If the text is not valid JSON, or a field is missing or of another type.
    """
    try:
        data: Any = json.loads(text)
        bounds = data["bounds"]
        is_strict = bool(bounds.get("revokeStrict", False))
        revoke_ms = _quantity(bounds.get("revokeMs", 0))
        evacuation_ms = bounds.get("evacuationMs")
        apply_ms = bounds.get("configApplyMs")
        return PlatformSettings(
            node=_text(data["nodeName"]),
            ip=_text(data["ip"]),
            zone=_text(data["zone"]),
            frontend=parse_address(data["listen"]["frontend"]),
            ready=parse_address(data["listen"]["ready"]),
            # `internalPorts` holds the first and last port of a free range.
            peer_port=int(data["internalPorts"][0]),
            store=_address(data["platform"]["address"]),
            orders=_address(data["cloudApi"]["address"]),
            grace_ms=_quantity(bounds["graceS"]) * MS_PER_S,
            key_age_limit_ms=KEY_AGE_LIMIT_FRACTION * revoke_ms if is_strict else None,
            cores=_cores(data.get("limits", {})),
            evacuation_ms=None if evacuation_ms is None else _quantity(evacuation_ms),
            configuration_age_limit_ms=None
            if apply_ms is None
            else _quantity(apply_ms),
        )
    except (
        KeyError,
        TypeError,
        ValueError,
        IndexError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as error:
        raise SettingsError(f"settings: {error!r}") from error


def read_settings(path: Path) -> PlatformSettings:
    """Return the settings in a file.

    Raises
    ------
    SettingsError
        If the file can't be read or is invalid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"settings: {error}") from error
    return parse_settings(text)


def _text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"not a non-empty string: {value!r}")
    return value


def _quantity(value: Any) -> float:
    quantity = float(value)
    if not 0 <= quantity < math.inf:
        raise ValueError(f"not a finite, non-negative number: {value!r}")
    return quantity


def _cores(limits: Any) -> float:
    """Return the share of one core, times its speed in cores of the platform.

    The holder of a duty sends to many nodes, so a small link counts like few cores.
    """
    cores = _quantity(limits.get("cpuQuota", 0.0)) * _quantity(
        limits.get("cpuCores", 0)
    )
    link_mbps = _quantity(limits.get("linkMbps") or FULL_LINK_MBPS)
    return cores * min(1.0, link_mbps / FULL_LINK_MBPS)


def _address(value: Any) -> str:
    parse_address(value)
    return str(value)
