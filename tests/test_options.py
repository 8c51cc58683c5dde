"""Parsing of the options comment; other text is never parsed as options."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishtrack.errors import ErrorCode, Outcome, RequestError
from radishtrack.routing.options import (
    ReadClass,
    RequestOptions,
    split_options,
)


def test_all_options_are_read_and_the_comment_is_removed() -> None:
    options, rest = split_options(
        " /* trace */ /*radishtrack class=aged max_age_ms=500 request_id=a:1\n"
        "timeout_ms=90 session=AbC_-*/ /* keep */ SELECT 1 /* end */"
    )
    assert options == RequestOptions(ReadClass.AGED, 500, "a:1", 90, "AbC_-")
    assert rest == " /* trace *//* keep */ SELECT 1 /* end */"


@pytest.mark.parametrize(
    "sql",
    [
        "SELECT '/*radishtrack class=strict*/'",
        "SELECT 1 /*radishtrack class=strict*/",
        "/*radishtracker class=strict*/ SELECT 1",
        "-- x\n/*radishtrack class=strict*/ SELECT 1",
        "/*! /*radishtrack class=strict*/ SELECT 1",
        "'*/ /*radishtrack class=strict*/",
        "/*radishtrack class=strict",
        "SELECT 1",
    ],
)
def test_other_text_is_not_parsed_as_options(sql: str) -> None:
    assert split_options(sql) == (RequestOptions(), sql)


@pytest.mark.parametrize(
    "text",
    [
        "colour=red",
        "class",
        "class=primary",
        "class=STRICT",
        "max_age_ms=0",
        "max_age_ms=-1",
        "max_age_ms=1.5",
        "max_age_ms=99999999999",
        "max_age_ms=\u0661",
        "class=strict max_age_ms=5",
        "timeout_ms=700000",
        "request_id=",
        "request_id=a'b",
        "request_id=" + "x" * 65,
        "session=a+b",
        "class=strict class=strict",
        "class=aged " + "\n" * 9000,
    ],
)
def test_invalid_options_fail_the_request_before_it_runs(text: str) -> None:
    with pytest.raises(RequestError) as caught:
        split_options(f"/*radishtrack {text}*/ SELECT 1")
    assert caught.value.failure.code == ErrorCode.INVALID_OPTION
    assert caught.value.failure.outcome is Outcome.NOT_RUN


def test_two_options_comments_are_refused() -> None:
    with pytest.raises(RequestError):
        split_options("/*radishtrack class=strict*/ /*radishtrack*/ SELECT 1")


@settings(derandomize=True, deadline=None, max_examples=300, database=None)
@given(
    literal=st.lists(
        st.sampled_from([*"'\\*/ =", "/*radishtrack ", "class"]), max_size=12
    ).map("".join)
)
def test_no_string_literal_is_taken_for_options(literal: str) -> None:
    quoted = literal.replace("\\", "\\\\").replace("'", "''")
    sql = f"INSERT INTO t VALUES ('{quoted}/*radishtrack class=strict*/')"
    assert split_options(sql) == (RequestOptions(), sql)
