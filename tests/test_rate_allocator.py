"""Checks each rule on which the bound of a rate depends."""

from __future__ import annotations

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishtrack.rates.allocator import Allocator, make_allocator
from radishtrack.rates.bucket import UNITS_PER_TOKEN, make_empty_bucket
from radishtrack.rates.fair_division import divide_fairly
from radishtrack.rates.lease import LEASE_MS, make_lease_state
from radishtrack.rates.messages import (
    DELEGATION_MS,
    DRIFT_MARGIN,
    MAX_GRANT_VALIDITY_MS,
    STANDING_VALIDITY_MS,
    LeaseRecord,
    NotAllocator,
    ReleasedLevel,
    Settlement,
    Stamp,
    StandingShare,
    TokenGrant,
    TokenRequest,
    make_rate_limit,
)
from radishtrack.rates.share import (
    Admitted,
    NeedTokens,
    Refused,
    ShareState,
    make_share_state,
)
from radishtrack.rates.standing_plan import plan_shares, sum_held
from radishtrack.revision import make_revision

LIMIT = make_rate_limit(100, 100)
HOLDER_SHARE = StandingShare("h", 50_000_000, 50, 1, 50_000_000, 50)
FOREIGN = LeaseRecord("org", "other", 1, 1, LEASE_MS, LIMIT, (HOLDER_SHARE,))


def make_request(
    request_id: int, token_count: int, holder: str = "h", echo: Stamp | None = None
) -> TokenRequest:
    return TokenRequest("org", holder, request_id, token_count, 100.0, echo=echo)


def start_allocator(
    record: LeaseRecord | None, read_ms: float, now_ms: float
) -> Allocator:
    """Return an allocator that took over from `record` at `now_ms`."""
    allocator = make_allocator("org", "me", LIMIT)
    allocator.observe(record, 7 if record else 0, read_ms)
    assert allocator.should_acquire(now_ms)
    write = allocator.prepare_write(now_ms)
    allocator.on_lease_written(write.record.revision, 8, now_ms)
    return allocator


def grant_tokens(allocator: Allocator, request: TokenRequest, now_ms: float) -> int:
    grant = allocator.on_request(request, now_ms)
    assert isinstance(grant, TokenGrant)
    return grant.tokens


def test_takeover_waits_for_the_lease_and_the_grants_made_at_its_end() -> None:
    allocator = make_allocator("org", "me", LIMIT)
    allocator.observe(FOREIGN, 7, 1_000.0)
    allocator.observe(FOREIGN, 7, 9_000.0)
    assert not allocator.should_acquire(1_000.0 + (LEASE_MS + 500.0) * 1.002)
    assert allocator.should_acquire(1_000.0 + (LEASE_MS + 500.0) * 1.0022)


def test_a_new_allocator_starts_empty_after_an_expired_lease() -> None:
    allocator = start_allocator(FOREIGN, 0.0, 20_000.0)
    assert grant_tokens(allocator, make_request(1, 50), 20_001.0) == 0


def test_a_lease_is_measured_from_before_the_write_was_sent() -> None:
    allocator = make_allocator("org", "me", LIMIT)
    allocator.observe(None, 0, 0.0)
    write = allocator.prepare_write(0.0)
    allocator.on_lease_written(write.record.revision, 1, 9_000.0)
    assert isinstance(
        allocator.on_request(make_request(1, 1), LEASE_MS - 1.0), TokenGrant
    )
    assert isinstance(allocator.on_request(make_request(2, 1), LEASE_MS), NotAllocator)


def test_a_write_whose_response_was_lost_is_found_by_reading() -> None:
    allocator = make_allocator("org", "me", LIMIT)
    allocator.observe(None, 0, 0.0)
    write = allocator.prepare_write(0.0)
    retried = allocator.prepare_write(2_000.0)
    assert retried.record.revision != write.record.revision
    allocator.observe(write.record, 1, 3_000.0)
    assert allocator.lease.is_held(LEASE_MS - 1.0)
    assert not allocator.lease.is_held(LEASE_MS)


def test_an_allocator_stops_when_it_reads_the_record_of_another() -> None:
    allocator = start_allocator(None, 0.0, 0.0)
    allocator.observe(attrs.evolve(FOREIGN, epoch=2), 9, 100.0)
    assert isinstance(allocator.on_request(make_request(1, 1), 200.0), NotAllocator)


def test_a_released_bucket_is_handed_over_exactly_and_only_once() -> None:
    first = start_allocator(None, 0.0, 0.0)
    assert grant_tokens(first, make_request(1, 10), 300.0) == 10
    write = first.prepare_release(300.0)
    assert write is not None and write.record.released is not None
    assert isinstance(first.on_request(make_request(2, 1), 300.0), NotAllocator)
    level = write.record.released.level_units
    assert 19 * UNITS_PER_TOKEN < level < 20 * UNITS_PER_TOKEN
    second = make_allocator("org", "me2", LIMIT)
    second.observe(write.record, 9, 50_000.0)
    assert second.should_acquire(50_000.0)
    acquisition = second.prepare_write(50_000.0)
    second.on_lease_written(acquisition.record.revision, 10, 50_000.0)
    assert second.bucket is not None
    assert (second.bucket.level_units, second.bucket.reserved) == (level, 10)
    assert acquisition.record.released is None
    assert acquisition.record.epoch == write.record.epoch + 1


def test_a_pending_renewal_does_not_revive_an_allocator_that_released() -> None:
    allocator = start_allocator(None, 0.0, 0.0)
    renewal = allocator.prepare_write(6_000.0)
    assert allocator.prepare_release(6_001.0) is not None
    allocator.observe(renewal.record, 9, 6_010.0)
    assert isinstance(allocator.on_request(make_request(1, 1), 6_020.0), NotAllocator)
    second_release = allocator.prepare_release(6_030.0)
    assert second_release is not None and second_release.expected_version == 9


def capacity_after_echo(echo: Stamp | None, sent_ms: float, now_ms: float) -> int:
    """Return the bucket's capacity after a holder with half of the limit echoed."""
    allocator = start_allocator(FOREIGN, 0.0, 20_000.0)
    allocator.on_request(make_request(1, 0, echo=echo), sent_ms)
    assert isinstance(allocator.on_request(make_request(9, 0, "x"), now_ms), TokenGrant)
    assert allocator.bucket is not None
    return allocator.bucket.capacity


@pytest.mark.parametrize(
    ("echo", "sent_ms", "now_ms", "capacity"),
    [
        (None, 20_100.0, 20_100.0, 50),
        (Stamp(2, 1, 20_000.0), 20_100.0, 20_100.0, 100),
        # A time on the clock of an earlier allocator.
        (Stamp(1, 1, 999_999.0), 20_100.0, 20_100.0, 50),
        # The holder counts from the receipt of the grant, not of its request.
        (Stamp(2, 1, 20_000.0), 29_000.0, 20_000.0 + DELEGATION_MS * 0.997, 100),
        (Stamp(2, 1, 20_000.0), 29_000.0, 20_000.0 + DELEGATION_MS * 0.998, 50),
    ],
)
def test_a_delegation_counts_only_until_the_holder_may_use_its_share(
    echo: Stamp | None, sent_ms: float, now_ms: float, capacity: int
) -> None:
    assert capacity_after_echo(echo, sent_ms, now_ms) == capacity


def test_delegations_end_before_a_lease_that_could_not_be_renewed() -> None:
    allocator = start_allocator(FOREIGN, 0.0, 20_000.0)
    echo = Stamp(2, 1, 30_000.0)
    allocator.on_request(make_request(1, 0, echo=echo), 30_900.0)
    assert allocator.bucket is not None and allocator.bucket.capacity == 100
    grant = allocator.on_request(make_request(1, 0, "x"), 31_500.0)
    assert isinstance(grant, TokenGrant) and not grant.is_delegation
    allocator.on_request(make_request(2, 0, echo=echo), 31_600.0)
    assert allocator.bucket.capacity == 50


def test_a_share_in_a_pending_write_is_set_aside() -> None:
    allocator = start_allocator(None, 0.0, 0.0)
    assert isinstance(allocator.on_request(make_request(1, 0), 100.0), TokenGrant)
    write = allocator.prepare_write(6_000.0)
    assert write.record.standing_shares[0].burst == 50
    allocator.on_request(make_request(1, 0, "x"), 6_100.0)
    assert allocator.bucket is not None and allocator.bucket.capacity == 50


def test_a_shrunk_share_stays_set_aside_until_its_holder_applies_it() -> None:
    allocator = start_allocator(FOREIGN, 0.0, 20_000.0)
    for holder in ("h", "x"):
        allocator.on_request(make_request(1, 0, holder), 20_100.0)
    shrunk = allocator.prepare_write(26_000.0)
    shares_by_holder = {share.holder: share for share in shrunk.record.standing_shares}
    assert (shares_by_holder["h"].burst, shares_by_holder["h"].held_burst) == (25, 50)
    assert "x" not in shares_by_holder
    allocator.on_lease_written(shrunk.record.revision, 9, 26_000.0)
    unchanged = allocator.prepare_write(29_000.0)
    assert unchanged.record.standing_shares == shrunk.record.standing_shares
    allocator.on_lease_written(unchanged.record.revision, 10, 29_000.0)
    request = attrs.evolve(make_request(2, 0), standing_revision=shrunk.record.revision)
    allocator.on_request(request, 26_100.0)
    grown = allocator.prepare_write(32_000.0)
    shares_by_holder = {share.holder: share for share in grown.record.standing_shares}
    assert (shares_by_holder["h"].held_burst, shares_by_holder["x"].burst) == (25, 25)


@pytest.mark.parametrize(("factor", "held_burst"), [(1.002, 50), (1.0022, 25)])
def test_a_share_is_set_aside_while_its_holder_may_use_an_older_record(
    factor: float, held_burst: int
) -> None:
    allocator = start_allocator(FOREIGN, 0.0, 20_000.0)
    allocator.on_request(make_request(1, 0, "x"), 20_100.0)
    shrunk = allocator.prepare_write(26_000.0)
    allocator.on_lease_written(shrunk.record.revision, 9, 26_000.0)
    allocator.lease.expires_ms = 1e9
    end_ms = 26_000.0 + STANDING_VALIDITY_MS * factor
    for name in ("h", "x"):
        allocator.on_request(make_request(2, 0, name), end_ms - 1.0)
    shares_by_holder = {
        share.holder: share
        for share in allocator.prepare_write(end_ms).record.standing_shares
    }
    assert shares_by_holder["h"].held_burst == held_burst


@settings(max_examples=100, derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.lists(st.sampled_from("abcdef"), unique=True),
            st.sampled_from([(100, 100), (0.1, 1), (7, 9), (100, 5)]),
            st.sets(st.sampled_from("abcdef")),
        ),
        max_size=12,
    )
)
def test_standing_shares_never_exceed_the_half_set_aside(
    steps: list[tuple[list[str], tuple[float, int], set[str]]],
) -> None:
    """Holders join, leave and answer in any order; a lowered limit adds nothing."""
    shares: tuple[StandingShare, ...] = ()
    for revision, (holders, (rate, burst), settled) in enumerate(steps, 1):
        limit = make_rate_limit(rate, burst)
        before = sum_held(shares)
        known = {share: share.holder in settled for share in shares}
        shares = plan_shares(shares, holders, limit, revision, known.__getitem__)
        held = sum_held(shares)
        assert held.rate_micro <= max(before.rate_micro, limit.rate_micro // 2)
        assert held.burst <= max(before.burst, limit.burst // 2)
        for share in shares:
            assert share.rate_micro <= share.held_rate_micro
            assert share.burst <= share.held_burst


def test_a_repeated_request_gets_the_same_grant_again() -> None:
    allocator = start_allocator(None, 0.0, 0.0)
    first = allocator.on_request(make_request(1, 5), 400.0)
    assert allocator.on_request(make_request(1, 5), 401.0) == first
    assert allocator.bucket is not None and allocator.bucket.reserved == 5


def test_a_repeated_return_of_tokens_counts_once() -> None:
    allocator = start_allocator(None, 0.0, 0.0)
    grant_tokens(allocator, make_request(1, 10), 400.0)
    returning = attrs.evolve(make_request(2, 0), settlements=(Settlement(1, 0, 10),))
    allocator.on_request(returning, 401.0)
    allocator.on_request(attrs.evolve(returning, request_id=3), 402.0)
    assert allocator.bucket is not None and allocator.bucket.reserved == 0
    assert allocator.bucket.available() == 40


def make_share_with_grant(tokens: int, *, sent_ms: float = 0.0) -> ShareState:
    share = make_share_state("org", "h", LIMIT, sent_ms)
    share.make_request(sent_ms, tokens)
    share.on_grant(
        TokenGrant("org", "h", 1, Stamp(5, 1, 0.0), tokens, 500.0), sent_ms + 100.0
    )
    return share


def test_a_grant_expires_from_the_time_its_request_was_sent() -> None:
    assert isinstance(make_share_with_grant(5).try_admit(499.9), Admitted)
    assert not isinstance(make_share_with_grant(5).try_admit(500.0), Admitted)


@pytest.mark.parametrize(
    ("request_id", "epoch"), [(2, 4), (1, 5), (9, 5)], ids=["old epoch", "again", "new"]
)
def test_grants_of_old_epochs_or_unknown_requests_are_dropped(
    request_id: int, epoch: int
) -> None:
    share = make_share_with_grant(5)
    share.make_request(110.0, 5)
    grant = TokenGrant("org", "h", request_id, Stamp(epoch, 2, 0.0), 7, 500.0)
    assert not share.on_grant(grant, 120.0)
    assert share.held_tokens() == 5


def test_an_older_grant_does_not_undo_a_newer_one_on_the_delegation() -> None:
    """Grant 2 ended the delegation, but grant 3, which renewed it, arrives first."""
    share = make_share_state("org", "h", LIMIT, 0.0)
    share.on_record(FOREIGN, 0.0, 0.0)
    for _ in range(3):
        share.make_request(0.0, 0)
    share.on_grant(TokenGrant("org", "h", 3, Stamp(1, 3, 0.0), 0, 500.0), 10.0)
    share.on_grant(
        TokenGrant("org", "h", 2, Stamp(1, 2, 0.0), 0, 500.0, is_delegation=False), 11.0
    )
    assert not isinstance(share.try_admit(5_000.0), Admitted)
    assert isinstance(share.try_admit(10.0 + DELEGATION_MS + 100.0), Admitted)


def test_a_standing_share_starts_empty_and_expires() -> None:
    share = make_share_state("org", "h", LIMIT, 0.0)
    share.on_record(FOREIGN, 1_000.0, 2_000.0)
    assert not share.standing.try_consume(2_001.0)
    assert sum(share.standing.try_consume(3_000.0) for _ in range(99)) == 49
    share.standing.delegate(3_000.0)
    assert not share.standing.try_consume(3_000.0 + DELEGATION_MS + 1.0)
    assert share.standing.try_consume(1_000.0 + STANDING_VALIDITY_MS - 1.0)
    assert not share.standing.try_consume(1_000.0 + STANDING_VALIDITY_MS)
    older = attrs.evolve(FOREIGN, revision=0)
    share.on_record(older, STANDING_VALIDITY_MS, STANDING_VALIDITY_MS + 2_000.0)
    assert not share.standing.try_consume(STANDING_VALIDITY_MS + 4_000.0)


def test_a_standing_share_shrinks_with_a_lowered_limit() -> None:
    share = make_share_state("org", "h", LIMIT, 0.0)
    share.on_record(FOREIGN, 0.0, 0.0)
    share.set_limit(make_rate_limit(10, 10), 0.0)
    assert sum(share.standing.try_consume(60_000.0) for _ in range(99)) == 5


def test_refusals_are_cached_until_the_retry_time() -> None:
    share = make_share_state("org", "h", LIMIT, 0.0)
    assert isinstance(share.try_admit(0.0), NeedTokens)
    waiting = share.try_admit(1.0)
    assert isinstance(waiting, NeedTokens) and waiting.request is None
    share.on_grant(
        TokenGrant("org", "h", 1, Stamp(1, 1, 0.0), 0, 500.0, retry_after_ms=30.0), 5.0
    )
    assert share.try_admit(15.0) == Refused(20.0)
    assert isinstance(share.try_admit(35.0), NeedTokens)


def test_a_fast_clock_does_not_raise_the_rate() -> None:
    """A clock that is 0.1% fast shows 1,001 s when 1,000 s have passed."""
    bucket = make_empty_bucket(10_000_000, 20_000, 0.0)
    bucket.refill(1_001_000.0)
    assert 9_999 <= bucket.available() <= 10_000


@settings(max_examples=100, derandomize=True, deadline=None)
@given(
    st.dictionaries(st.sampled_from("abcde"), st.integers(0, 1000), min_size=1),
    st.integers(0, 1500),
)
def test_division_is_max_min_fair(demands: dict[str, int], rate: int) -> None:
    parts = divide_fairly({k: float(v) for k, v in demands.items()}, float(rate))
    assert sum(parts.values()) == pytest.approx(min(rate, sum(demands.values())))
    most = max(parts.values())
    for name, part in parts.items():
        assert part <= demands[name]
        assert part == demands[name] or part == pytest.approx(most)


def test_shares_follow_demand_and_frequent_requests_bring_no_advantage() -> None:
    """Holder b sends five times as many requests as a; c needs little and gets it."""
    allocator = start_allocator(None, 0.0, 0.0)
    received = {"a": 0, "b": 0, "c": 0}
    demand = {"a": 200.0, "b": 200.0, "c": 10.0}
    request_interval_ms = {"a": 50, "b": 10, "c": 100}
    allocator.lease.expires_ms = 1e9
    for now_ms in range(10, 20_000, 10):
        for number, name in enumerate(received):
            if now_ms % request_interval_ms[name] == 0:
                token_count = 1 if name == "c" else 40
                request = TokenRequest(
                    "org", name, now_ms + number, token_count, demand[name]
                )
                received[name] += grant_tokens(allocator, request, float(now_ms))
    assert received["c"] >= 190
    assert 0.8 <= received["a"] / received["b"] <= 1.25
    assert sum(received.values()) >= 0.97 * 2_000


LOST_LEASE_MS = (LEASE_MS + MAX_GRANT_VALIDITY_MS) * DRIFT_MARGIN


def make_released(era: int) -> LeaseRecord:
    return attrs.evolve(
        FOREIGN, epoch=make_revision(era, 1), released=ReleasedLevel(50_000_000, 0)
    )


def test_a_lease_that_was_released_before_a_restore_is_not_acquired_at_once() -> None:
    """The next holder's record was lost, and both granted the released tokens."""
    allocator = make_allocator("org", "me", LIMIT)
    allocator.observe(make_released(1), make_revision(1, 7), 0.0)
    assert allocator.should_acquire(2_000.0)
    allocator.observe(make_released(1), make_revision(2, 7), 2_000.0)
    assert not allocator.should_acquire(2_000.0 + LOST_LEASE_MS - 1.0)
    now_ms = 2_000.0 + LOST_LEASE_MS
    assert allocator.should_acquire(now_ms)
    write = allocator.prepare_write(now_ms)
    allocator.on_lease_written(write.record.revision, make_revision(2, 8), now_ms)
    assert allocator.bucket is not None and allocator.bucket.level_units == 0


def test_a_lost_lease_record_is_not_taken_for_a_lease_that_nobody_had() -> None:
    """Its holder goes on granting until its lease ends."""
    allocator = make_allocator("org", "me", LIMIT)
    allocator.observe(FOREIGN, make_revision(1, 7), 0.0)
    allocator.observe(None, make_revision(2, 0), 1_000.0)
    assert not allocator.should_acquire(1_000.0 + LOST_LEASE_MS - 1.0)
    assert allocator.should_acquire(1_000.0 + LOST_LEASE_MS)


def test_the_holder_of_a_lost_lease_may_acquire_it_again_at_once() -> None:
    """The organisation lost its allocator for as long as the lease lasts."""
    allocator = make_allocator("org", "me", LIMIT)
    allocator.observe(None, make_revision(1, 0), 0.0)
    write = allocator.prepare_write(0.0)
    allocator.on_lease_written(write.record.revision, make_revision(1, 8), 0.0)
    epoch = allocator.epoch
    allocator.observe(None, make_revision(2, 0), 2_000.0)
    assert allocator.should_acquire(2_000.0)
    write = allocator.prepare_write(2_000.0)
    allocator.on_lease_written(write.record.revision, make_revision(2, 3), 2_000.0)
    assert allocator.epoch > epoch and allocator.lease.is_held(2_000.0)


def test_an_epoch_rises_over_the_lost_ones() -> None:
    """Holders dropped grants of the next allocator as those of an earlier one."""
    lost = make_lease_state("other")
    lost.observe(FOREIGN, make_revision(1, 7), 0.0)
    lease = make_lease_state("me")
    lease.observe(FOREIGN, make_revision(2, 7), 0.0)
    assert lease.next_epoch() > lost.next_epoch() > FOREIGN.epoch
