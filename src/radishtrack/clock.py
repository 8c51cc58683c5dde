"""Clocks in milliseconds, passed to code as its only source of time."""

from __future__ import annotations

import time
from collections.abc import Callable

import attrs

NANOSECONDS_PER_MILLISECOND = 1_000_000


@attrs.define(frozen=True)
class Clock:
    """A monotonic clock.

    Parameters
    ----------
    now_ms : callable
        Returns milliseconds since an arbitrary origin; never decreases.
    """

    now_ms: Callable[[], float]


@attrs.define
class ManualTime:
    """Time that advances only on request, for tests."""

    value_ms: float = 0.0

    def advance(self, delta_ms: float) -> None:
        """Advance the time by `delta_ms` milliseconds."""
        self.value_ms += delta_ms


def make_system_clock() -> Clock:
    """Return a clock that reads the operating system's monotonic clock."""
    return Clock(lambda: time.monotonic_ns() / NANOSECONDS_PER_MILLISECOND)


def make_boot_clock() -> Clock:
    """Return a clock that includes the time during which the VM was suspended.

    The monotonic clock stops while a VM is suspended, so that evidence would appear
    younger than it is when the VM resumes.
    """
    return Clock(
        lambda: time.clock_gettime_ns(time.CLOCK_BOOTTIME) / NANOSECONDS_PER_MILLISECOND
    )


def make_manual_clock(manual_time: ManualTime) -> Clock:
    """Return a clock that reads `manual_time`."""
    return Clock(lambda: manual_time.value_ms)
