"""Encodes and decodes the platform object ``allocators/<organisation>``."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs

from radishtrack.rates.messages import (
    LeaseRecord,
    RateLimit,
    ReleasedLevel,
    StandingShare,
)


class LeaseRecordError(ValueError):
    """Raised for a value that is not a lease record."""


def encode_lease(record: LeaseRecord) -> dict[str, Any]:
    """Return the platform value of a record.

    The level is written as text, because it can exceed 2**53.
    """
    value: dict[str, Any] = attrs.asdict(record)
    value["standing_shares"] = list(value["standing_shares"])
    if record.released is not None:
        value["released"]["level_units"] = str(record.released.level_units)
    return value


def decode_lease(value: Mapping[str, Any]) -> LeaseRecord:
    """Return the record in a platform value.

    Raises
    ------
    LeaseRecordError
        If a field is missing or invalid.
    """
    try:
        released = value["released"]
        return LeaseRecord(
            str(value["organisation"]),
            str(value["holder_node"]),
            int(value["epoch"]),
            int(value["revision"]),
            float(value["expires_after_ms"]),
            RateLimit(**value["limit"]),
            tuple(StandingShare(**share) for share in value["standing_shares"]),
            None
            if released is None
            else ReleasedLevel(
                int(released["level_units"]), int(released["outstanding"])
            ),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise LeaseRecordError(
            f"missing or invalid field in lease record: {error!r}"
        ) from error
