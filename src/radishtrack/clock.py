"""The only source of time: a clock in milliseconds that is passed in."""

from __future__ import annotations

import time
from collections.abc import Callable

import attrs

NANOSECONDS_PER_MILLISECOND = 1_000_000


@attrs.define(frozen=True)
class Clock:
    """Monotonic clock.

    Parameters
    ----------
    now_ms : callable
        Returns milliseconds since an arbitrary origin; never decreases.
    """

    now_ms: Callable[[], float]


@attrs.define
class ManualTime:
    """Time that only moves when a test moves it."""

    value_ms: float = 0.0

    def advance(self, delta_ms: float) -> None:
        """Move the time forward by `delta_ms` milliseconds."""
        self.value_ms += delta_ms


def make_system_clock() -> Clock:
    """Return a clock on the operating system's monotonic time."""
    return Clock(lambda: time.monotonic_ns() / NANOSECONDS_PER_MILLISECOND)


def make_boot_clock() -> Clock:
    """Return a clock that also counts the time for which the VM was suspended.

    The monotonic clock stands still while a VM is suspended, so evidence would look
    younger than it is after the VM continues.
    """
    return Clock(
        lambda: time.clock_gettime_ns(time.CLOCK_BOOTTIME) / NANOSECONDS_PER_MILLISECOND
    )


def make_manual_clock(manual_time: ManualTime) -> Clock:
    """Return a clock that reads `manual_time`."""
    return Clock(lambda: manual_time.value_ms)
