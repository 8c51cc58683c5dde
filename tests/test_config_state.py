"""A node keeps its last valid configuration and never reverts to a lower revision."""

from __future__ import annotations

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishtrack.config.chunk import (
    EMPTY_MANIFEST,
    Manifest,
    compute_digest,
    make_next_manifest,
    split_document,
)
from radishtrack.config.state import (
    Accepted,
    ConfigurationState,
    Rejected,
    Stale,
    make_configuration_state,
)
from radishtrack.revision import make_revision
from test_config_store import make_fleet

SECRET = "a peer secret of the fleet"


@attrs.define(frozen=True)
class Step:
    """A revision with its chunks."""

    manifest: Manifest
    chunks: dict[str, str]


def make_steps(count: int) -> list[Step]:
    steps: list[Step] = []
    manifest = EMPTY_MANIFEST
    for number in range(1, count + 1):
        chunks = split_document(make_fleet(rate=number))
        manifest = make_next_manifest(
            manifest, chunks, apply_id=f"{number}", author="kari", changes=()
        )
        steps.append(Step(manifest, chunks))
    return steps


STEPS = make_steps(6)


def get_rate(state: ConfigurationState) -> float:
    return state.document.organisations["org-0"].rate


def accept(state: ConfigurationState, step: Step) -> object:
    missing = state.find_missing(step.manifest)
    return state.accept(
        step.manifest, {digest: step.chunks[digest] for digest in missing}
    )


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.lists(st.tuples(st.integers(0, 5), st.booleans()), max_size=15))
def test_the_revision_never_reverts(arrivals: list[tuple[int, bool]]) -> None:
    """Answers arrive in any order, repeated, and some with damaged chunks."""
    state = make_configuration_state()
    best = 0
    for index, damaged in arrivals:
        step = STEPS[index]
        if damaged:
            state.accept(step.manifest, dict.fromkeys(step.chunks, "[]"))
        else:
            accept(state, step)
            best = max(best, index + 1)
        assert state.revision == best
        if best:
            assert get_rate(state) == best


def test_only_a_higher_revision_is_accepted() -> None:
    state = make_configuration_state()
    assert accept(state, STEPS[2]) == Accepted(3)
    assert accept(state, STEPS[2]) == Stale(3)
    assert accept(state, STEPS[0]) == Stale(1)
    assert state.find_missing(STEPS[2].manifest) == ()


@pytest.mark.parametrize("fault", ["missing", "damaged", "not entries", "invalid"])
def test_a_rejected_revision_leaves_the_last_valid_one_in_force(
    fault: str, caplog: pytest.LogCaptureFixture
) -> None:
    state = make_configuration_state()
    accept(state, STEPS[0])
    chunks = {
        "missing": {},
        "damaged": dict.fromkeys(STEPS[1].chunks, "[]"),
        "not entries": _make_chunk('[["owner",5]]'),
        "invalid": _make_chunk('[["organisation",{"name":"a","owner":"nobody"}]]'),
    }[fault]
    digests = tuple(chunks) if fault in ("not entries", "invalid") else None
    manifest = attrs.evolve(
        STEPS[1].manifest, chunks=digests or STEPS[1].manifest.chunks
    )
    for _ in range(2):
        assert isinstance(state.accept(manifest, chunks), Rejected)
    assert (state.revision, get_rate(state)) == (1, 1)
    assert caplog.text.count("5002") == 1
    assert accept(state, STEPS[2]) == Accepted(3)


def _make_chunk(text: str) -> dict[str, str]:
    return {compute_digest(text): text}


def make_copy(index: int, secret: str = SECRET) -> bytes:
    state = make_configuration_state()
    accept(state, STEPS[index])
    return state.seal_copy(secret)


def test_a_start_without_the_platform_uses_the_highest_authentic_copy() -> None:
    state = make_configuration_state()
    forged = make_copy(5, secret="another secret")
    damaged = bytearray(make_copy(4))
    damaged[-1] ^= 1
    copies = [make_copy(1), forged, make_copy(3), bytes(damaged), b"", make_copy(0)]
    assert state.accept_copies(copies, SECRET) == Accepted(4)
    assert get_rate(state) == 4
    assert state.accept_copies([make_copy(2)], SECRET) == Stale(3)
    assert get_rate(state) == 4


def test_an_invalid_copy_does_not_hide_a_lower_valid_one() -> None:
    broken = make_configuration_state()
    broken.manifest = STEPS[5].manifest
    state = make_configuration_state()
    copies = [broken.seal_copy(SECRET), make_copy(1)]
    assert state.accept_copies(copies, SECRET) == Accepted(2)


def test_a_copy_of_the_target_scale_fits_into_a_peer_frame() -> None:
    document = make_fleet(databases=710, organisations=1_000)
    chunks = split_document(document)
    manifest = make_next_manifest(
        EMPTY_MANIFEST, chunks, apply_id="a", author="kari", changes=()
    )
    state = make_configuration_state()
    assert state.accept(manifest, chunks) == Accepted(1)
    copy = state.seal_copy(SECRET)
    other = make_configuration_state()
    assert other.accept_copies([copy], SECRET) == Accepted(1)


def make_branch(base: Step, number: int) -> Step:
    """Return the revision after `base` that another operator made after a restore."""
    chunks = split_document(make_fleet(rate=number))
    manifest = make_next_manifest(
        base.manifest, chunks, apply_id=f"branch-{number}", author="ola", changes=()
    )
    return Step(manifest, chunks)


def test_a_revision_number_that_was_given_out_before_is_accepted() -> None:
    """After a restore, operators made a lower revision, and no node applied it."""
    state = make_configuration_state()
    for number, step in enumerate(STEPS[:5]):
        state.accept(step.manifest, step.chunks, make_revision(1, 10 + number))
    branch = make_branch(STEPS[2], 70)
    version = make_revision(2, 13)
    assert state.accept(branch.manifest, branch.chunks, version) == Accepted(4)
    assert get_rate(state) == 70
    # A peer that still has the lost revision does not bring it back.
    lost = make_configuration_state()
    lost.accept(STEPS[4].manifest, STEPS[4].chunks, make_revision(1, 14))
    copies = [lost.seal_copy(SECRET)]
    assert state.accept_copies(copies, SECRET) == Stale(5)
    assert lost.accept_copies([state.seal_copy(SECRET)], SECRET) == Accepted(4)


def test_an_earlier_revision_of_a_restored_platform_is_not_accepted() -> None:
    """The backup's revision replaced the one in force, until operators wrote again."""
    state = make_configuration_state()
    for number, step in enumerate(STEPS[:4]):
        state.accept(step.manifest, step.chunks, make_revision(1, 10 + number))
    for step in STEPS[:4]:
        result = state.accept(step.manifest, step.chunks, make_revision(2, 11))
        assert isinstance(result, Stale) and state.revision == 4
    step = STEPS[4]
    assert state.accept(step.manifest, step.chunks, make_revision(2, 12)) == Accepted(5)
