"""Limits a rate and divides it between holders, without running a node.

Run it with `python examples/embed_rates.py`. The caller passes the time as a number.
"""

from __future__ import annotations

from collections.abc import Iterator

from radishtrack.rates.bucket import make_empty_bucket
from radishtrack.rates.fair_division import divide_fairly

RATE_PER_S = 400
BURST = 100
STEP_MS = 10.0


def admit(seconds: int, requests_per_step: int) -> Iterator[int]:
    """Yield the number of requests that one token bucket admits in each second."""
    bucket = make_empty_bucket(RATE_PER_S * 1_000_000, BURST, 0.0)
    steps_per_second = int(1000 / STEP_MS)
    for second in range(seconds):
        admitted = 0
        for step in range(1, steps_per_second + 1):
            bucket.refill((second * steps_per_second + step) * STEP_MS)
            consumed = min(requests_per_step, bucket.available())
            bucket.consume(consumed)
            admitted += consumed
        yield admitted


def main() -> None:
    """Print the admitted requests and the division of a rate."""
    print(f"rate {RATE_PER_S}/s, burst {BURST}, sent 1000/s:")
    print("  admitted in each second:", *admit(3, 10))
    print("  sent 300/s, admitted in each second:", *admit(3, 3))
    demands = {"holder-a": 50.0, "holder-b": 500.0, "holder-c": 500.0}
    print(f"rate {RATE_PER_S}/s over demands {demands}:")
    print(f"  {divide_fairly(demands, RATE_PER_S)}")


if __name__ == "__main__":
    main()
