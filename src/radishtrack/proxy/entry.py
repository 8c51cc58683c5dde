"""The entry's part of a request: key, options, read class, route and session."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import aclosing
from functools import partial
from typing import Final

import attrs

from radishtrack.backend.transaction import make_transaction_lost
from radishtrack.clock import Clock
from radishtrack.config.document import Document
from radishtrack.config.model import Database, Organisation
from radishtrack.errors import (
    ErrorCode,
    Failure,
    Outcome,
    RequestError,
    make_not_run,
)
from radishtrack.keys.freshness import Refuse
from radishtrack.keys.keyring import Keyring
from radishtrack.membership.drain import Drain, DrainDecision
from radishtrack.metrics import Metrics
from radishtrack.peer.messages import Done, Execute, Failed, Message, ResultHead, Rows
from radishtrack.proxy.access import (
    check_access,
    find_affinity,
    find_database,
    find_route,
)
from radishtrack.proxy.client_state import (
    COMMIT_REQUEST,
    OPEN_ORGANISATION,
    ClientState,
    PreparedRequest,
    Reply,
    advance_position,
)
from radishtrack.proxy.labels import (
    READ_CLASSES,
    find_refusal_reason,
    find_statement_label,
)
from radishtrack.proxy.router import Router
from radishtrack.routing.options import ReadClass, RequestOptions, split_options
from radishtrack.routing.route import EffectiveClass, RouteClass, resolve_read_class
from radishtrack.routing.statement import Kind, Statement
from radishtrack.session.position import Position
from radishtrack.session.token import decode_token

_TRANSACTION_END_KINDS: Final = frozenset({Kind.COMMIT.value, Kind.ROLLBACK.value})
_DEFAULT_CLASS: Final = EffectiveClass(ReadClass.STRICT)


@attrs.define
class Entry:
    """Checks, classifies and forwards the statements of this node's clients.

    Parameters
    ----------
    clock : Clock
        Clock of deadlines.
    secret : bytes
        Authenticates session tokens.
    timeout_ms : float
        Timeout of a request for which the client sets none, in milliseconds.
    max_statement_bytes : int
        Longest statement that is accepted.
    keyring : Keyring
        Active keys.
    get_document : callable
        Returns the configuration in force.
    check_freshness : callable
        Returns `Refuse` if this node's copy of the keys is too old.
    classify : callable
        Classifies statements.
    router : Router
        Sends statements to holders.
    drain : Drain
        State of a planned stop.
    metrics : Metrics
        Metrics by organisation.
    """

    clock: Clock
    secret: bytes
    timeout_ms: float
    max_statement_bytes: int
    keyring: Keyring
    get_document: Callable[[], Document]
    check_freshness: Callable[[], Refuse | None]
    classify: Callable[[str], Statement]
    router: Router
    drain: Drain
    metrics: Metrics
    running: int = 0
    refused_until_ms: dict[str, float] = attrs.field(factory=dict)
    """Earliest time of a retry, by organisation that is over its rate."""

    def check_client(self, state: ClientState) -> None:
        """Check that the client may still send statements.

        Raises
        ------
        RequestError
            Not run, if the key was revoked or can't be checked, or the node drains.
        """
        if state.organisation != OPEN_ORGANISATION and not self.keyring.is_active(
            state.organisation, state.key_id
        ):
            raise _make_denied("the key is not valid")
        refusal = self.check_freshness()
        if refusal is not None:
            raise make_not_run("keys", f"keys can't be checked: {refusal.reason}")
        decision = self.drain.decide_statement(in_transaction=state.in_transaction)
        if decision is DrainDecision.REFUSE:
            raise RequestError(
                Failure(
                    "drain",
                    self.router.node.id,
                    Outcome.NOT_RUN,
                    ErrorCode.DRAINING,
                    "this node is shutting down; connect again",
                )
            )

    def read_statement(self, state: ClientState, sql: str) -> PreparedRequest:
        """Parse the options of a statement and classify it.

        Raises
        ------
        RequestError
            Not run, if an option is invalid, or the statement is refused or contains
            a key.
        """
        # Options are searched for keys too: a request ID is stored in the journal.
        if self.keyring.contains_key(sql):
            raise make_not_run("keys", "the statement contains a key")
        options, statement_text = split_options(sql)
        statement = self.classify(statement_text)
        if statement.kind is Kind.REFUSED:
            raise make_not_run("classify", statement.reason)
        if options.session:
            self.apply_token(state, options.session)
        return PreparedRequest(options, statement, statement_text)

    def apply_token(self, state: ClientState, text: str) -> None:
        """Add the positions in a session token to the session.

        An invalid token makes all reads strict until the session has positions of its
        own, since the client's earlier writes are unknown.
        """
        decoded = decode_token(text, state.organisation, self.secret)
        if decoded.is_error():
            state.token_refused = True
            return
        state.token_refused = False
        for database, position in decoded.ok.items():
            advance_position(state, database, position)

    async def execute(self, state: ClientState, prepared: PreparedRequest) -> Reply:
        """Execute a statement and return its reply, which may still be streaming.

        Raises
        ------
        RequestError
            With the outcome, as far as it is known.
        """
        if state.transaction_lost:
            return self._end_lost_transaction(state, prepared.statement.kind)
        if prepared.statement.kind is Kind.BEGIN and state.in_transaction:
            # MySQL commits the open transaction before it begins another.
            await self.execute(state, COMMIT_REQUEST)
        started_ms = self.clock.now_ms()
        messages = self._run(state, prepared)
        first = await anext(messages)
        if isinstance(first, ResultHead):
            return Reply(first, self._stream_rows(state, messages, started_ms))
        async with aclosing(messages):  # type: ignore[type-var]
            done = self._finish(state, first, prepared, started_ms)
        return Reply(done=done)

    def count_not_run(self, state: ClientState, failure: Failure) -> None:
        """Count a failed request in the metrics if it did not run."""
        if failure.outcome is Outcome.NOT_RUN:
            reason = find_refusal_reason(failure)
            self.metrics.count_refusal(state.organisation, reason)

    async def end_session(self, state: ClientState) -> None:
        """Roll back the client's open transaction, if any."""
        if state.holder:
            await self.router.end_session(state.holder, state.number)
        state.in_transaction = False
        state.holder = ""

    def _end_lost_transaction(self, state: ClientState, kind: Kind) -> Reply:
        # The remaining statements of a lost transaction must not run outside it.
        if kind in (Kind.COMMIT, Kind.ROLLBACK):
            state.transaction_lost = False
        if kind is Kind.ROLLBACK:
            return Reply(done=Done(0, 0, 0, 0, 0, "", "", False))
        raise make_transaction_lost("its holder was lost", "")

    async def _run(
        self, state: ClientState, prepared: PreparedRequest
    ) -> AsyncIterator[Message]:
        self.running += 1
        try:
            database = find_database(self.get_document(), state)
            organisation = check_access(
                self.get_document(), state, database, prepared.statement
            )
            needs_transaction = not state.autocommit and prepared.statement.kind in (
                Kind.READ,
                Kind.WRITE,
            )
            if needs_transaction and not state.in_transaction:
                await self._begin_implicit(state, database)
            request = self._make_execute(state, database, organisation, prepared)
            self._check_cached_refusal(request.organisation)
            is_read = prepared.statement.kind is Kind.READ
            messages = self._send(state, database, request, is_read)
            async with aclosing(messages):  # type: ignore[type-var]
                async for message in messages:
                    yield message
        finally:
            self.running -= 1

    async def _send(
        self, state: ClientState, database: Database, request: Execute, is_read: bool
    ) -> AsyncIterator[Message]:
        if state.holder:
            # All statements of a transaction go to the same holder.
            numbered = attrs.evolve(request, request=next(self.router.numbers))
            messages = self.router.execute_at(state.holder, numbered)
        else:
            holders = self.router.list_holders(
                database.name,
                database.region,
                database.slots,
                find_affinity(self.get_document(), request.organisation),
            )
            # An empty transaction has no effect, so that a failed BEGIN may be sent to
            # another holder like a read.
            is_begin = request.kind == Kind.BEGIN.value
            messages = self.router.execute(
                holders,
                request,
                is_read=is_read or is_begin,
                on_attempt=partial(setattr, state, "holder") if is_begin else None,
            )
        try:
            async with aclosing(messages):  # type: ignore[type-var]
                async for message in messages:
                    yield message
        except RequestError:
            if state.holder:
                # The holder or the connection to it failed; the holder rolls back.
                state.transaction_lost = (
                    state.in_transaction and request.kind not in _TRANSACTION_END_KINDS
                )
                await self.end_session(state)
            raise

    async def _begin_implicit(self, state: ClientState, database: Database) -> None:
        begin = PreparedRequest(RequestOptions(), Statement(Kind.BEGIN), "BEGIN")
        organisation = check_access(
            self.get_document(), state, database, begin.statement
        )
        request = self._make_execute(state, database, organisation, begin)
        started_ms = self.clock.now_ms()
        messages = self._send(state, database, request, False)
        async with aclosing(messages):  # type: ignore[type-var]
            async for message in messages:
                self._finish(state, message, begin, started_ms)

    def _make_execute(
        self,
        state: ClientState,
        database: Database,
        organisation: Organisation | None,
        prepared: PreparedRequest,
    ) -> Execute:
        options, statement = prepared.options, prepared.statement
        position = state.positions.get(database.name)
        effective = _DEFAULT_CLASS
        if statement.kind is Kind.READ:
            route = find_route(self.get_document(), database, statement)
            effective = resolve_read_class(
                options,
                RouteClass(ReadClass(route.read_class.value), route.max_age_ms or None),
                position is not None,
                state.in_transaction,
                state.token_refused and position is None,
            )
        if statement.reads_session and not state.in_transaction:
            raise make_not_run(
                "classify", "the statement depends on earlier ones; use a transaction"
            )
        state.statement_class = find_statement_label(statement, effective, state)
        if state.holder == "":
            state.transaction_database = database.name
        return Execute(
            0,
            state.number,
            organisation.name if organisation else state.organisation,
            database.name,
            prepared.text,
            statement.kind.value,
            effective.read_class.value,
            float(effective.max_age_ms),
            position.term if position else 0,
            position.sequence if position else 0,
            options.request_id,
            float(options.timeout_ms or self.timeout_ms),
            statement.dirties_session,
        )

    def _check_cached_refusal(self, organisation: str) -> None:
        until_ms = self.refused_until_ms.get(organisation)
        if until_ms is None:
            return
        left_ms = until_ms - self.clock.now_ms()
        if left_ms > 0:
            raise make_over_rate(left_ms)
        del self.refused_until_ms[organisation]

    def _finish(
        self,
        state: ClientState,
        message: Message,
        prepared: PreparedRequest | None,
        started_ms: float,
    ) -> Done:
        if isinstance(message, Failed):
            self._record_failure(state, message)
            raise RequestError(_make_failure(message))
        if not isinstance(message, Done):
            raise make_not_run("forward", "the holder sent an unexpected message")
        state.in_transaction = message.in_transaction
        if not message.in_transaction:
            state.holder = ""
        if message.term:
            position = Position(message.term, message.sequence)
            advance_position(state, state.transaction_database, position)
        if message.insert_id:
            state.last_insert_id = message.insert_id
        elapsed_ms = self.clock.now_ms() - started_ms
        label = state.statement_class
        self.metrics.observe_statement(
            state.organisation, label, Outcome.RAN.value, elapsed_ms
        )
        if message.role and label in READ_CLASSES:
            self.metrics.count_read(message.role)
        return message

    def _record_failure(self, state: ClientState, message: Failed) -> None:
        if message.transaction_lost:
            state.in_transaction = True
        elif not state.in_transaction:
            state.holder = ""
        if message.code == ErrorCode.OVER_RATE and message.retry_after_ms > 0:
            now_ms = self.clock.now_ms()
            self.refused_until_ms[state.organisation] = now_ms + message.retry_after_ms
        self.metrics.observe_statement(
            state.organisation, state.statement_class, message.outcome, 0.0
        )

    async def _stream_rows(
        self, state: ClientState, messages: AsyncIterator[Message], started_ms: float
    ) -> AsyncIterator[Rows]:
        async with aclosing(messages):  # type: ignore[type-var]
            async for message in messages:
                if isinstance(message, Rows):
                    yield message
                else:
                    self._finish(state, message, None, started_ms)
                    return
        # Without the final message the result is not complete.
        raise make_not_run("forward", "the result ended before its last message")


def make_over_rate(retry_after_ms: float) -> RequestError:
    """Return the error of a request above its organisation's rate."""
    return RequestError(
        Failure(
            "admit",
            "",
            Outcome.NOT_RUN,
            ErrorCode.OVER_RATE,
            f"over the organisation's rate; retry in {retry_after_ms:.0f} ms",
            retry_after_ms,
        )
    )


def _make_denied(message: str) -> RequestError:
    return RequestError(
        Failure("keys", "", Outcome.NOT_RUN, ErrorCode.ACCESS_DENIED, message)
    )


def _make_failure(message: Failed) -> Failure:
    return Failure(
        message.step,
        message.peer,
        Outcome(message.outcome),
        message.code,
        message.message,
        message.retry_after_ms,
    )
