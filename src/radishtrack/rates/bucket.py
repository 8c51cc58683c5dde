"""Token bucket in integers: admitted <= capacity + rate x length on every interval.

A reserved token may be used at any time until it is settled. The bucket counts it as
used at the latest possible time: while it is reserved, the level cannot rise above
capacity minus reserved tokens. The interval bound then holds for the actual times of
use and does not depend on how long a token stays reserved.
"""

from __future__ import annotations

from typing import Final

import attrs

from radishtrack.rates.messages import MICRO

NANOSECONDS_PER_MILLISECOND: Final = 1_000_000
UNITS_PER_TOKEN: Final = MICRO * 1_000_000_000
"""One unit is what a rate of one millionth of a token per second adds in 1 ns."""
DRIFT_NUMERATOR: Final = 1000
DRIFT_DENOMINATOR: Final = 1001
"""A clock may run fast by 0.1%, so the refill counts 1000 of 1001 ns."""


@attrs.define
class Bucket:
    """Token bucket with reserved tokens.

    Parameters
    ----------
    rate_micro : int
        Refill in millionths of a token per second.
    capacity : int
        Largest number of tokens, reserved ones included.
    updated_ns : int
        Time up to which the refill is counted.
    level_units : int
        Free tokens, in units of 1 / `UNITS_PER_TOKEN` token.
    reserved : int
        Tokens granted and not yet settled.
    """

    rate_micro: int
    capacity: int
    updated_ns: int
    level_units: int = 0
    reserved: int = 0

    def refill(self, now_ms: float) -> None:
        """Add the refill up to `now_ms`."""
        now_ns = int(now_ms * NANOSECONDS_PER_MILLISECOND)
        # Both readings are truncated, so 1 ns of the difference may not have passed.
        elapsed_ns = now_ns - self.updated_ns - 1
        if elapsed_ns <= 0:
            return
        self.updated_ns = now_ns
        added = self.rate_micro * elapsed_ns * DRIFT_NUMERATOR // DRIFT_DENOMINATOR
        self.level_units = min(self.level_units + added, self.max_level_units())

    def credit(self, rate_micro: int, duration_ms: float) -> None:
        """Add what another bucket's rate added in the time in which it was not used."""
        duration_ns = int(duration_ms * NANOSECONDS_PER_MILLISECOND)
        added = rate_micro * duration_ns * DRIFT_NUMERATOR // DRIFT_DENOMINATOR
        self.level_units = min(self.level_units + added, self.max_level_units())

    def max_level_units(self) -> int:
        """Return the highest level that the reserved tokens allow."""
        return max(0, self.capacity - self.reserved) * UNITS_PER_TOKEN

    def available(self) -> int:
        """Return the number of whole free tokens."""
        return self.level_units // UNITS_PER_TOKEN

    def consume(self, tokens: int) -> None:
        """Remove `tokens` free tokens that are used now."""
        self.level_units -= tokens * UNITS_PER_TOKEN

    def reserve(self, tokens: int) -> None:
        """Reserve `tokens` free tokens, which may be used until they are settled."""
        self.consume(tokens)
        self.reserved += tokens

    def settle(self, tokens: int, returned: int = 0) -> None:
        """End the reservation of `tokens`, of which `returned` were never used.

        Call `refill` first, so that the refill up to now is capped by the old limit.
        """
        self.reserved -= tokens
        self.level_units = min(
            self.level_units + returned * UNITS_PER_TOKEN, self.max_level_units()
        )

    def configure(self, rate_micro: int, capacity: int) -> None:
        """Change rate and capacity from the time of the last refill."""
        self.rate_micro = rate_micro
        self.capacity = capacity
        self.level_units = min(self.level_units, self.max_level_units())

    def wait_ms(self, tokens: int = 1) -> float:
        """Return the time until `tokens` are free; infinite if they never are."""
        missing = tokens * UNITS_PER_TOKEN - self.level_units
        if missing <= 0:
            return 0.0
        if self.rate_micro == 0 or tokens > self.capacity:
            return float("inf")
        return missing / self.rate_micro / NANOSECONDS_PER_MILLISECOND


def make_empty_bucket(rate_micro: int, capacity: int, now_ms: float) -> Bucket:
    """Return an empty bucket at `now_ms`."""
    return Bucket(rate_micro, capacity, int(now_ms * NANOSECONDS_PER_MILLISECOND) + 1)
