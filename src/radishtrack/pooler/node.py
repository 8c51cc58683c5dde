"""A node of the session pooler: connects its components and runs their tasks."""

from __future__ import annotations

import asyncio
import contextlib
import math
import secrets
from collections.abc import AsyncIterator
from typing import Final

import attrs

from radishtrack.clock import Clock
from radishtrack.events import Event, log_event
from radishtrack.peer.messages import (
    BeliefWithdrawn,
    ContentPageWanted,
    ContentWanted,
    DutyChanged,
    EvidenceWithdrawn,
    Execute,
    HolderAsked,
    HolderHeard,
    Message,
    ReportsWanted,
    SharesReturned,
    SharesWanted,
    Vote,
    VoteRequest,
    WithdrawBelief,
    WithdrawEvidence,
)
from radishtrack.peer.server import PeerHandlers, start_peer_server
from radishtrack.pooler.catalog import NodeRecord
from radishtrack.pooler.content_exchange import ContentExchange
from radishtrack.pooler.evacuation.reports import EvacuationReporter
from radishtrack.pooler.evacuation.transactions import end_transactions
from radishtrack.pooler.evidence import EVIDENCE_VALID_MS
from radishtrack.pooler.group_access import (
    UNLISTED_EXPIRY_MS,
    GroupAccess,
    make_group_access,
)
from radishtrack.pooler.monitor import MemberMonitor
from radishtrack.pooler.order_mark import name_order
from radishtrack.pooler.peers import Peers
from radishtrack.pooler.ports import (
    ControlStore,
    OpenLink,
    PromoteMember,
    StoreUnavailable,
)
from radishtrack.pooler.promoter import Promoter
from radishtrack.pooler.promotion_duty import PromotionDuty
from radishtrack.pooler.rate_exchange import RateExchange, make_rate_exchange
from radishtrack.pooler.readiness import StopPlan, make_stop_plan
from radishtrack.pooler.replica_set_keeper import ReplicaSetKeeper
from radishtrack.pooler.report_relay import ReportRelay
from radishtrack.pooler.request_log import RequestLog
from radishtrack.pooler.scheduling.retry_hint import add_hint, retry_after_ms
from radishtrack.pooler.scheduling.scheduling_log import (
    SchedulingLog,
    make_scheduling_log,
)
from radishtrack.pooler.session import (
    OPEN_ORGANISATION,
    ClientSession,
    Denied,
    SessionAccess,
    SessionContext,
    make_session,
)
from radishtrack.pooler.statements import Refusal
from radishtrack.pooler.store_copy import RETRY_INTERVAL_MS, StoreCopy
from radishtrack.pooler.store_recovery import StoreRecovery
from radishtrack.pooler.tasks import start_task, supervise

HOUSEKEEPING_MS: Final = 250.0
"""Pause between checks for expired members."""
UNSETTLED_KEY_AGE: Final = 4 / 3
"""Factor of the copy's age limit while a restored store settles. The copy is not
confirmed then although the store responds; a withdrawn key is still refused within 0.8
of its bound."""
UNCONFIRMED: Final = "the configuration can't be confirmed now"
"""Detail of refusals while the copy of the store is too old."""
MOST_URGENT: Final = 0
"""Priority of clients whose route is not known."""
SECRET_BYTES: Final = 32
SECRET_RETRY_MS: Final = 300.0
"""Pause between attempts to read the peers' secret while a node starts."""


@attrs.frozen
class NodeOptions:
    """Settings of a node.

    Parameters
    ----------
    node : NodeRecord
        Name, address for peers, zone and start time of the node.
    grace_ms : float
        Time from the stop request to the kill.
    key_age_limit_ms : float or None
        Age of the configuration copy from which on keys are not accepted; None for no
        limit.
    process_started_ms : float
        Start of this process on the node's clock.
    configuration_age_limit_ms : float or None
        Age of the configuration copy from which on nothing is denied because it is not
        in the copy; None for no limit besides `key_age_limit_ms`.
    """

    node: NodeRecord
    grace_ms: float
    key_age_limit_ms: float | None
    process_started_ms: float
    configuration_age_limit_ms: float | None = None


@attrs.define(eq=False)
class Node:
    """State of a node; construct it with `make_node`."""

    options: NodeOptions
    clock: Clock
    store_copy: StoreCopy
    open_link: OpenLink
    peers: Peers
    promoter: Promoter
    log: RequestLog
    rates: RateExchange
    relay: ReportRelay
    content: ContentExchange
    recovery: StoreRecovery
    replica_sets: ReplicaSetKeeper
    scheduling_log: SchedulingLog
    groups: dict[str, GroupAccess] = attrs.field(factory=dict)
    monitors: dict[str, asyncio.Task[None]] = attrs.field(factory=dict)
    sessions: set[ClientSession] = attrs.field(factory=set)
    applied_node_count: int = 0
    """Number of nodes among which rates and connections are divided."""
    listening_since_ms: float | None = None
    """Since when peers can reach this node; None if they can't."""
    stop_plan: StopPlan | None = None
    release_task: asyncio.Task[None] | None = None
    evacuations: EvacuationReporter = attrs.field(factory=EvacuationReporter)
    secret_replaced: asyncio.Event = attrs.field(factory=asyncio.Event)
    """Set when the store has another secret of the peers than this node."""

    async def run(self) -> None:
        """Run all tasks; never returns."""
        async with asyncio.TaskGroup() as tasks:
            for run, name in (
                (self.store_copy.run, "copy of the store"),
                (self.log.run, "request log"),
                (self._serve_peers, "peer server"),
                (self.promoter.run, "promoter"),
                (self.rates.run, "rate exchange"),
                (self.relay.run, "report relay"),
                (self.replica_sets.run, "replica sets"),
                (self._run_housekeeping, "housekeeping"),
            ):
                tasks.create_task(supervise(run, name, self.clock))

    async def open_session(
        self, database: str, key: str | None
    ) -> ClientSession | Denied:
        """Return a session for a new client connection, or why it is denied."""
        session = await make_session(self._context, database, key)
        if isinstance(session, ClientSession):
            self.sessions.add(session)
        return session

    async def close_session(self, session: ClientSession) -> None:
        """Close the session of a connection that has ended."""
        self.sessions.discard(session)
        await session.close()

    def is_ready(self) -> bool:
        """Return whether the node can serve new connections."""
        return (
            self.stop_plan is None
            and self.store_copy.confirmed_ms is not None
            and self._has_recent_keys()
            and (self._knows_promotions() or self._has_lost_store())
            and any(group.evidence.term for group in self.groups.values())
        )

    def begin_stop(self) -> StopPlan:
        """Start the planned stop, unless it has started, and return its times."""
        if self.stop_plan is None:
            self.stop_plan = make_stop_plan(self.clock.now_ms(), self.options.grace_ms)
            self.release_task = start_task(self.rates.release(), "release of the rates")
            log_event(
                Event.NODE_DRAINING,
                node=self.options.node.name,
                sessions=len(self.sessions),
            )
        return self.stop_plan

    def find_group(self, name: str) -> GroupAccess:
        """Return the access to a group, creating it on first use."""
        access = self.groups.get(name)
        if access is None:
            access = make_group_access(
                name, self.options.node.zone, self.clock, self.open_link
            )
            access.evidence.find_known_ms = self._find_known_ms
            access.evidence.has_lost_store = self._has_lost_store
            access.node = self.options.node.name
            access.evacuated = self.store_copy.evacuated
            access.scheduling_log = self.scheduling_log
            self.groups[name] = access
        return access

    def apply_store_copy(self) -> None:
        """Apply the current copy of the store."""
        now_ms = self.clock.now_ms()
        catalog = self.store_copy.catalog
        self.applied_node_count = len(self.store_copy.nodes)
        nodes = max(1, self.applied_node_count)
        self.rates.configure()
        self.evacuations.report(self.store_copy.evacuated, self.store_copy.members)
        for name, settings in catalog.groups.items():
            self.find_group(name).configure(settings, nodes)
        weights = {
            organisation.name: organisation.rate_per_s
            for organisation in catalog.organisations.values()
        }
        for name, access in self.groups.items():
            members = tuple(m for m in self.store_copy.members if m.group == name)
            access.evidence.announced_term = self.store_copy.terms.get(name, 0)
            mark = self.store_copy.terms.get(name_order(name), 0)
            access.evidence.observe_order(mark, now_ms)
            access.set_members(members, now_ms, self.store_copy.listed_before_ms)
            for pool in access.pools.values():
                pool.gate.set_weights(weights)
                self._start_monitor(access, pool.member.name)

    def _start_monitor(self, access: GroupAccess, member: str) -> None:
        monitor_task = self.monitors.get(member)
        if monitor_task is None or monitor_task.done():
            monitor = MemberMonitor(
                access,
                member,
                self.promoter.organisation,
                self.rates.is_coordinator,
                self.clock,
            )
            name = f"monitor of {member}"
            self.monitors[member] = start_task(
                supervise(monitor.run, name, self.clock), name
            )

    @property
    def is_listening(self) -> bool:
        """Whether peers can reach this node."""
        return self.listening_since_ms is not None

    def _knows_promotions(self) -> bool:
        """Return whether the announcements were read since peers can reach this node.

        Without them, it has no evidence, and could confirm no commit.
        """
        known_ms, since_ms = self.store_copy.announcements_ms, self.listening_since_ms
        return known_ms is not None and since_ms is not None and known_ms >= since_ms

    def _find_known_ms(self) -> float:
        """Return the time up to which this node knows all announced promotions.

        A promoter does not ask a node that is not registered, and one that is starting
        can't respond to it, so a copy that was read before either says nothing.
        """
        known_ms = self.store_copy.announcements_ms
        if known_ms is None or not self._knows_promotions():
            return -math.inf
        return known_ms if known_ms >= self.store_copy.registered_ms else -math.inf

    def _has_lost_store(self) -> bool:
        """Return whether this node can't read announcements of promotions at present.

        Other nodes may reach the store, so evidence then needs every member. A node
        that was suspended has no recent failure, and must call the store first.
        """
        return self.is_listening and self.store_copy.has_failed_within(
            EVIDENCE_VALID_MS
        )

    def _may_start_statements(self) -> bool:
        plan = self.stop_plan
        return plan is None or self.clock.now_ms() < plan.finish_until_ms

    def _has_recent_keys(self) -> bool:
        limit_ms = self.options.key_age_limit_ms
        if limit_ms is None:
            return True
        if self.store_copy.settling.has_unsettled_records():
            limit_ms *= UNSETTLED_KEY_AGE
        return self.store_copy.age_ms() < limit_ms

    def _authorise(
        self, database: str, key_digest: bytes | None
    ) -> SessionAccess | Denied:
        if self.store_copy.confirmed_ms is None:
            # Without a configuration, the node can't tell that a name is unknown.
            return self._deny_for_now("the configuration has not been read yet")
        if not self._has_recent_keys():
            return self._deny_unconfirmed()
        route = self.store_copy.catalog.routes.get(database)
        if route is None:
            return self._deny(Refusal.NO_DATABASE, "no such database")
        if route.is_open:
            return SessionAccess(route, OPEN_ORGANISATION, False)
        if key_digest is None:
            return self._deny(Refusal.NO_ACCESS, "the database needs a key")
        owner = self.store_copy.catalog.key_owners.get(key_digest)
        if owner is None:
            return self._deny(Refusal.NO_ACCESS, "the key is not accepted")
        return SessionAccess(route, owner.name, True)

    def _deny(self, refusal: Refusal, detail: str) -> Denied:
        """Deny what the copy lacks, if no later configuration can have it."""
        limit_ms = self.options.configuration_age_limit_ms
        is_old = limit_ms is not None and self.store_copy.age_ms() >= limit_ms
        if is_old or self.store_copy.is_superseded:
            return self._deny_unconfirmed()
        return Denied(refusal, detail)

    def _deny_unconfirmed(self) -> Denied:
        return self._deny_for_now(UNCONFIRMED)

    def _deny_for_now(self, detail: str) -> Denied:
        """Deny with the time after which the copy may be confirmed."""
        number = int(self.clock.now_ms())
        hint_ms = retry_after_ms(RETRY_INTERVAL_MS, MOST_URGENT, number)
        return Denied(Refusal.BUSY, add_hint(detail, hint_ms))

    def _check_transaction(
        self, access: SessionAccess, key_digest: bytes | None
    ) -> Denied | None:
        """Return why an open transaction may not go on, whatever became of its route.

        Its statements run as the organisation with which it began, so the key must
        still be that organisation's.
        """
        if not self._has_recent_keys():
            return self._deny_unconfirmed()
        if not access.is_limited:
            return None
        owner = self.store_copy.catalog.key_owners.get(key_digest or b"")
        if owner is None or owner.name != access.organisation:
            return self._deny(Refusal.NO_ACCESS, "the key is not accepted any more")
        return None

    def _observe_denied(self, database: str, denied: Denied) -> None:
        copy = self.store_copy
        self.log.observe_denied(
            database,
            denied,
            age_ms=copy.age_ms(),
            version=copy.catalog.version,
            known_version=copy.known_version,
        )

    @property
    def _context(self) -> SessionContext:
        return SessionContext(
            clock=self.clock,
            authorise=self._authorise,
            check_transaction=self._check_transaction,
            deny_unconfirmed=self._deny_unconfirmed,
            refresh=self.store_copy.refresh,
            admit=self.rates.admit,
            refund=self.rates.refund,
            token_wait_ms=self.rates.token_wait_ms,
            find_group=self.find_group,
            observe=self.log.observe,
            observe_denied=self._observe_denied,
            catalog_age_ms=self.store_copy.age_ms,
            may_start=self._may_start_statements,
        )

    async def _run_housekeeping(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_MS / 1000)
            if len(self.store_copy.nodes) != self.applied_node_count:
                self.apply_store_copy()
            for access in self.groups.values():
                end_transactions(access)
            if self.options.key_age_limit_ms is not None:
                await self._remove_unresponsive_nodes()
            await self._restore_records()
            if self.store_copy.age_ms() > UNLISTED_EXPIRY_MS:
                # The copy of the store may lack entries that have returned.
                continue
            before_ms = self.clock.now_ms() - UNLISTED_EXPIRY_MS
            for access in self.groups.values():
                for name in access.expire_members(before_ms):
                    log_event(Event.MEMBER_REMOVED, group=access.name, member=name)

    async def _restore_records(self) -> None:
        try:
            await self.recovery.write_missing()
            if await self.recovery.find_replaced_secret():
                self.secret_replaced.set()
        except StoreUnavailable as error:
            log_event(Event.PLATFORM_UNAVAILABLE, step=error.step, reason=error.reason)

    async def _remove_unresponsive_nodes(self) -> None:
        """Remove the records of lost nodes; one that still runs registers again.

        Only safe if nodes that lose the store stop serving by themselves.
        """
        for name in self.rates.list_unresponsive_nodes():
            log_event(Event.NODE_REMOVED, node=name, by=self.options.node.name)
            try:
                await self.store_copy.store.remove_node(name)
            except StoreUnavailable as error:
                log_event(
                    Event.PLATFORM_UNAVAILABLE, step=error.step, reason=error.reason
                )
                return

    async def _serve_peers(self) -> None:
        while True:
            await self._serve_peers_with(await self._read_secret())
            if not self.secret_replaced.is_set():
                return
            self.secret_replaced.clear()

    async def _serve_peers_with(self, secret: bytes) -> None:
        """Accept links of peers until the secret is replaced or the server closes."""
        self.peers.secret = secret
        handlers = PeerHandlers(
            execute=_refuse_execute,
            end_session=_ignore_session,
            end_connection=_ignore_connection,
            call=self._handle_peer_message,
            observe_control=lambda _size: None,
            incarnation=self.options.node.started_ms,
        )
        node = self.options.node
        server = await start_peer_server(
            node.host, node.port, node.name, secret, handlers
        )
        # Until now, no peer could request that this node invalidate its evidence.
        now_ms = self.clock.now_ms()
        for access in self.groups.values():
            access.evidence.invalidate(now_ms)
        self.listening_since_ms = now_ms
        self.store_copy.is_outdated.set()
        ends = [
            asyncio.create_task(server.wait_closed()),
            asyncio.create_task(self.secret_replaced.wait()),
        ]
        try:
            await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
        finally:
            # A node that has ended must not respond over open links.
            self.listening_since_ms = None
            server.close()
            for end in ends:
                end.cancel()
        await server.wait_closed()

    async def _read_secret(self) -> bytes:
        """Return the peers' secret; create it if a store that has settled has none."""
        is_reported = False
        store = self.store_copy.store
        while True:
            try:
                secret = await store.find_secret()
                if secret is None and self.store_copy.has_copy.is_set():
                    secret = await store.create_secret(
                        secrets.token_bytes(SECRET_BYTES)
                    )
                if secret is not None:
                    return secret
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(SECRET_RETRY_MS / 1000):
                        await self.store_copy.has_copy.wait()
            except StoreUnavailable as error:
                if not is_reported:
                    is_reported = True
                    log_event(
                        Event.PLATFORM_UNAVAILABLE, step=error.step, reason=error.reason
                    )
                await asyncio.sleep(SECRET_RETRY_MS / 1000)

    async def _handle_peer_message(self, peer: str, message: Message) -> Message | None:
        match message:
            case VoteRequest(request, database, member):
                return Vote(request, await self.promoter.vote(database, member))
            case WithdrawBelief(request, database):
                access = self.find_group(database)
                access.withdraw_evidence()
                commits = access.evidence.acknowledged
                return BeliefWithdrawn(request, commits.least.term)
            case WithdrawEvidence(request, database):
                return self._withdraw_evidence(request, database)
            case SharesWanted():
                return self.rates.grant(peer, message)
            case SharesReturned():
                return self.rates.handle_shares_returned(peer, message)
            case HolderAsked(request):
                return HolderHeard(request, self.rates.failover.response_age_ms())
            case DutyChanged():
                return self.rates.record_duty(message)
            case ReportsWanted():
                return self.relay.collect_reports(peer, message)
            case ContentWanted():
                return await self.content.respond(message)
            case ContentPageWanted():
                return await self.content.send_page(message)
            case _:
                log_event(
                    Event.PEER_REFUSED, peer=peer, reason=f"unexpected {type(message)}"
                )
                return None

    def _withdraw_evidence(self, request: int, group: str) -> EvidenceWithdrawn:
        access = self.find_group(group)
        access.withdraw_evidence()
        commits = access.evidence.acknowledged
        least, most = commits.least, commits.most
        return EvidenceWithdrawn(
            request,
            least.term,
            least.sequence,
            most.term,
            most.sequence,
            self.clock.now_ms() - self.options.process_started_ms,
        )


async def _refuse_execute(_peer: str, _message: Execute) -> AsyncIterator[Message]:
    raise NotImplementedError("this node's peers forward no statements")
    yield  # makes this function a generator, as PeerHandlers requires


async def _ignore_session(_peer: str, _session: int) -> None:
    return


async def _ignore_connection(_peer: str) -> None:
    return


def make_node(
    options: NodeOptions,
    clock: Clock,
    store: ControlStore,
    open_link: OpenLink,
    promote: PromoteMember,
    log: RequestLog,
) -> Node:
    """Return a node, not yet running."""
    store_copy = StoreCopy(store, clock, options.node, lambda: None)
    peers = Peers(options.node.name, clock, lambda: store_copy.nodes)
    groups: dict[str, GroupAccess] = {}
    promoter = Promoter(
        name=options.node.name,
        clock=clock,
        store_copy=store_copy,
        duty=PromotionDuty(options.node.name, clock, store_copy),
        peers=peers,
        promote=promote,
        list_groups=lambda: tuple(groups.values()),
        organisation=lambda: next(
            iter(store_copy.catalog.organisations), OPEN_ORGANISATION
        ),
    )
    rates = make_rate_exchange(
        options.node.name, clock, store_copy, peers, options.process_started_ms
    )
    store_copy.reads_for_fleet = rates.is_coordinator
    content = ContentExchange(
        options.node, clock, store_copy, peers, rates.failover.find_coordinator
    )

    def find_relay() -> NodeRecord | None:
        coordinator = rates.failover.find_coordinator()
        return None if coordinator is None else content.find_reader() or coordinator

    relay = ReportRelay(
        clock=clock,
        store_copy=store_copy,
        peers=peers,
        find_relay=find_relay,
        is_relay=lambda: rates.is_coordinator() or content.is_reader(),
        has_zone_peers=content.has_zone_peers,
        avoid=content.avoid,
        groups=groups,
    )
    store_copy.request_content = content.request
    store_copy.request_confirmation = relay.request_reports
    node = Node(
        options,
        clock,
        store_copy,
        open_link,
        peers,
        promoter,
        log,
        rates,
        relay,
        content,
        StoreRecovery(store_copy, peers, groups, rates.is_coordinator),
        ReplicaSetKeeper(clock, store_copy, groups, rates.is_coordinator),
        make_scheduling_log(clock, log.registry),
        groups=groups,
    )
    store_copy.on_change = node.apply_store_copy
    rates.failover.can_serve = lambda: node.is_listening
    return node
