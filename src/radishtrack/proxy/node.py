"""A running node: its components, servers and background tasks."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Coroutine
from typing import Any, Final

import attrs
from mysql_mimic.constants import DEFAULT_SERVER_CAPABILITIES
from websockets.asyncio.server import Server

from radishtrack.admin import AdminServer, Readiness, start_admin
from radishtrack.clock import Clock
from radishtrack.config.state import ConfigurationState
from radishtrack.config.store import MANIFEST_KIND, MANIFEST_NAME
from radishtrack.events import Event, log_event
from radishtrack.frontend.connection import ConnectionControl, FrontendServer
from radishtrack.frontend.identity import KeyIdentityProvider
from radishtrack.frontend.session import ClientSession
from radishtrack.group.record import RecordError, parse_record
from radishtrack.keys.key import verify_scramble
from radishtrack.keys.keyring import KIND as KEYS_KIND
from radishtrack.keys.keyring import Keyring, RevokedKey
from radishtrack.membership.drain import Drain, DrainState
from radishtrack.membership.nodes import Membership, Node
from radishtrack.membership.placement import Placement
from radishtrack.metrics import Metrics
from radishtrack.objects.client import NO_ERA, PlatformClient
from radishtrack.objects.era import ERA_KIND, record_era
from radishtrack.objects.records import (
    PlatformRefusal,
    PlatformUnavailable,
    VmRecord,
    VmState,
    WatchResponse,
)
from radishtrack.objects.watch import follow_objects
from radishtrack.peer.messages import (
    CopyRequest,
    KeysChanged,
    Leaving,
    Message,
    RecordRequest,
    TokensWanted,
    VoteRequest,
)
from radishtrack.peer.server import PeerHandlers, start_peer_server
from radishtrack.proxy.client_state import OPEN_ORGANISATION
from radishtrack.proxy.configuration_feed import ConfigurationFeed
from radishtrack.proxy.copies import Copies
from radishtrack.proxy.entry import Entry
from radishtrack.proxy.holder import Holder
from radishtrack.proxy.rates import Rates
from radishtrack.proxy.router import Router
from radishtrack.proxy.slots import Slots
from radishtrack.proxy.tls import make_client_side_tls, make_peer_server_tls
from radishtrack.proxy.usage_reports import UsageReports
from radishtrack.proxy.votes import Votes
from radishtrack.settings import Settings

GROUPS_KIND: Final = "groups"
MEMBERS_KIND: Final = "members"
WATCHED_KINDS: Final = (
    MANIFEST_KIND,
    KEYS_KIND,
    GROUPS_KIND,
    MEMBERS_KIND,
    ERA_KIND,
)
VM_LIST_INTERVAL_S: Final = 2.0
VM_LIST_S_PER_NODE: Final = 0.1
"""Limits reading the list to about 1.1 KB/s at any size of the fleet, with about 114
bytes per VM. Leaving nodes inform their peers directly."""

RECONCILE_INTERVAL_S: Final = 0.5
LIST_RETRY_S: Final = 0.25
LISTING_TIMEOUT_MS: Final = 5_000.0
"""After this time, an unlisted node serves with its peers' copies."""

IDLE_GRACE_MS: Final = 5_000.0
"""Time for which a draining node keeps idle client connections open."""

DRAIN_CHECK_INTERVAL_S: Final = 0.05


@attrs.define
class NodeServer:
    """A running node.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    clock : Clock
        Clock of all components.
    """

    settings: Settings
    clock: Clock
    node: Node
    metrics: Metrics
    keyring: Keyring
    configuration: ConfigurationState
    membership: Membership
    placement: Placement
    platform: PlatformClient
    holder: Holder
    router: Router
    slots: Slots
    drain: Drain
    entry: Entry
    votes: Votes
    rates: Rates
    copies: Copies
    reports: UsageReports
    feed: ConfigurationFeed
    incarnation: int
    control: ConnectionControl
    frontend: FrontendServer | None = None
    peer_server: Server | None = None
    admin: AdminServer | None = None
    tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    is_listed: bool = False
    recorded_era: int = NO_ERA
    """Era of the platform that this node has recorded as settled."""
    started_ms: float = 0.0
    stopping: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def start(self) -> None:
        """Start the servers and all background tasks."""
        listen = self.settings.listen
        self.started_ms = self.clock.now_ms()
        self.peer_server = await start_peer_server(
            listen.peer_host,
            listen.peer_port,
            self.node.id,
            self.settings.peers.secret.encode(),
            PeerHandlers(
                self.holder.execute,
                self.holder.end_session,
                self.holder.end_connection,
                self._handle_peer_message,
                self.router.observe_control,
                self.incarnation,
            ),
            tls=make_peer_server_tls(self.settings),
        )
        for coroutine in (
            self._follow_platform(),
            self.feed.run(),
            self._follow_vms(),
            self._reconcile_periodically(),
            self._end_idle_periodically(),
            self.rates.run(),
            self.copies.run(),
            self.reports.run(),
            self.votes.follow_terms(),
        ):
            self._spawn(coroutine)
        numbers = itertools.count(1)
        self.frontend = FrontendServer(
            session_factory=lambda: ClientSession(self.entry, next(numbers)),
            control=self.control,
            identity_provider=KeyIdentityProvider(self._check_key),
            max_packet_bytes=self.settings.limits.max_statement_bytes,
            get_refusal_reason=self._get_refusal_reason,
            capabilities=DEFAULT_SERVER_CAPABILITIES,
            ssl=make_client_side_tls(self.settings),
        )
        await self.frontend.start_server(
            host=listen.client_host, port=listen.client_port
        )
        self.admin = await start_admin(
            listen.admin_host, listen.admin_port, self.metrics, self._check_ready
        )
        log_event(
            Event.NODE_STARTED,
            node=self.node.id,
            client_port=self.frontend.sockets()[0].getsockname()[1],
            peer_port=listen.peer_port,
        )

    async def run(self) -> None:
        """Serve until a stop is requested, then drain and close."""
        await self.stopping.wait()
        await self._announce(VmState.LEAVING)
        self.drain.begin(self.clock.now_ms())
        log_event(Event.NODE_DRAINING, node=self.node.id)
        self.membership.leave()
        if self.frontend is not None:
            self.frontend.close()
        for link in self.router.links.values():
            if not link.closed:
                await link.send(Leaving(self.node.id, self.incarnation))
        while self.drain.is_waiting:
            now_ms = self.clock.now_ms()
            drained_ms = now_ms - self.drain.started_ms
            # Closing an idle connection could race with the client's next request,
            # whose outcome would then be unknown to the client. During the grace period
            # such a request gets error 9006 instead.
            if drained_ms < IDLE_GRACE_MS:
                connections = len(self.control.connections)
            else:
                # A statement has ended before a slow client has received its answer.
                connections = self.control.count_sending()
            self.drain.advance(
                now_ms,
                self.entry.running + self.holder.running + connections,
                len(self.holder.transactions),
            )
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        await self.rates.leave()
        await self.reports.write()
        await self.close()
        self.drain.end()
        log_event(Event.NODE_STOPPED, node=self.node.id)

    async def close(self) -> None:
        """Close all connections and cancel all tasks."""
        for connection in tuple(self.control.connections.values()):
            connection.stream.writer.close()
        for task in tuple(self.tasks):
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks)
        for connection_id, session in tuple(self.holder.transactions):
            await self.holder.end_session(connection_id, session)
        await self.slots.close()
        await self.rates.stop()
        await self.router.close()
        if self.peer_server is not None:
            self.peer_server.close()
            await self.peer_server.wait_closed()
        if self.admin is not None:
            await self.admin.close()
        await self.platform.close()

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._remove_task)

    def _remove_task(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            # Guarantees depend on every background task, so a failure stops the node.
            log_event(Event.TASK_FAILED, error=repr(task.exception()))
            self.stopping.set()

    def _check_key(
        self, organisation: str, nonce: bytes, scramble: bytes
    ) -> str | None:
        if organisation == OPEN_ORGANISATION:
            return "" if not scramble else None
        for verifier in self.keyring.find_verifiers(organisation):
            if verify_scramble(verifier.digest, nonce, scramble):
                return verifier.key_id
        return None

    def _get_refusal_reason(self) -> str | None:
        if self.drain.state is not DrainState.SERVING:
            return "this node is shutting down"
        return None

    def _check_ready(self) -> Readiness:
        if self.drain.state is not DrainState.SERVING:
            return Readiness(False, "draining")
        if self.configuration.revision == 0:
            return Readiness(False, "no configuration")
        is_starting = self.clock.now_ms() - self.started_ms < LISTING_TIMEOUT_MS
        if is_starting and not self.is_listed:
            return Readiness(False, "not in the platform's list of VMs yet")
        return Readiness(True)

    async def _handle_peer_message(self, peer: str, message: Message) -> Message | None:
        match message:
            case VoteRequest():
                return await self.votes.handle_vote_request(message)
            case RecordRequest():
                return self.votes.handle_record_request(message)
            case KeysChanged():
                self.copies.apply_changed_keys(message)
            case TokensWanted():
                return await self.rates.handle_token_request(message)
            case CopyRequest():
                return self.copies.handle_copy_request(message)
            case Leaving(node=node, incarnation=incarnation):
                now_ms = self.clock.now_ms()
                self.membership.record_leaving(node, incarnation, now_ms)
        return None

    async def _follow_platform(self) -> None:
        await follow_objects(
            self.platform,
            WATCHED_KINDS,
            self._apply_objects,
            on_contact=self._record_contact,
        )

    def _record_contact(self, has_responded: bool) -> None:
        if not has_responded:
            return
        contact_ms = self.platform.last_contact_ms or 0.0
        self.copies.contacts.record_platform_contact(contact_ms)
        if self.recorded_era < self.platform.era:
            self.recorded_era = self.platform.era
            self._spawn(self._record_era())

    async def _record_era(self) -> None:
        try:
            await record_era(self.platform)
        except (PlatformUnavailable, PlatformRefusal):
            # The next contact tries again.
            self.recorded_era = NO_ERA

    def _apply_objects(self, response: WatchResponse) -> None:
        revoked: set[str] = set()
        for item in response.objects:
            if item.kind == KEYS_KIND:
                for key in self.keyring.apply_object(
                    item.name, item.version, item.value
                ):
                    revoked.add(item.name)
                    self.close_revoked(key)
            elif item.kind == GROUPS_KIND and item.value is not None:
                try:
                    record = parse_record(item.name, item.version, item.value)
                except RecordError as error:
                    log_event(Event.GROUP_RECORD_INVALID, reason=error)
                    continue
                self.slots.update_record(record)
            elif item.kind == MEMBERS_KIND:
                leaving = (item.value or {}).get("leaving")
                members = leaving if isinstance(leaving, list) else []
                self.slots.set_leaving_members(item.name, frozenset(map(str, members)))
            elif item.name == MANIFEST_NAME and item.value is not None:
                self.feed.update_manifest(item.value, item.version)
        if revoked:
            announcement = self.copies.announce_revoked(frozenset(revoked))
            task = asyncio.create_task(announcement)
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def close_revoked(self, key: RevokedKey) -> None:
        """Close all client connections that logged in with a revoked key."""
        closed = 0
        for connection in tuple(self.control.connections.values()):
            state = connection.session.state
            if (state.organisation, state.key_id) == (key.organisation, key.key_id):
                connection.stream.writer.close()
                closed += 1
        log_event(Event.KEY_REVOKED, organisation=key.organisation, closed=closed)

    async def _follow_vms(self) -> None:
        await self._announce(VmState.LIVE)
        while True:
            try:
                listed = await self.platform.vms()
            except (PlatformUnavailable, PlatformRefusal):
                pass
            else:
                self.membership.apply_list(map(_make_node, listed))
                own_states = {vm.state for vm in listed if vm.id == self.node.id}
                if self.is_listed and VmState.LEAVING in own_states:
                    self.stopping.set()
                # The list lags and may show this VM's state from before its start.
                self.is_listed = self.is_listed or VmState.LIVE in own_states
            interval_s = max(
                VM_LIST_INTERVAL_S, VM_LIST_S_PER_NODE * len(self.membership.listed)
            )
            await self._wait_for_list(interval_s if self.is_listed else LIST_RETRY_S)

    async def _wait_for_list(self, interval_s: float) -> None:
        await asyncio.sleep(LIST_RETRY_S)
        try:
            async with asyncio.timeout(max(0.0, interval_s - LIST_RETRY_S)):
                await self.router.list_refresh.wait()
        except TimeoutError:
            pass
        self.router.list_refresh.clear()

    async def _announce(self, state: VmState) -> None:
        record = VmRecord(
            self.node.id,
            self.node.zone,
            self.node.region,
            state,
            self.node.peer_address,
        )
        try:
            await self.platform.announce(record)
        except (PlatformUnavailable, PlatformRefusal) as error:
            log_event(Event.PLATFORM_UNAVAILABLE, reason=error)

    async def _reconcile_periodically(self) -> None:
        while True:
            self.reconcile()
            await asyncio.sleep(RECONCILE_INTERVAL_S)

    def reconcile(self) -> None:
        """Apply the current membership and configuration to slots and limits."""
        self.placement.set_nodes(self.membership.list_nodes(self.clock.now_ms()))
        is_leaving = self.drain.state is not DrainState.SERVING
        self.slots.reconcile(self.configuration.document, is_leaving=is_leaving)
        self.rates.update_document(self.configuration.document)

    async def _end_idle_periodically(self) -> None:
        limit_ms = self.settings.limits.idle_transaction_ms
        while True:
            await asyncio.sleep(min(1.0, limit_ms / 2000))
            await self.holder.end_idle_transactions(limit_ms)


def _make_node(record: VmRecord) -> Node:
    return Node(
        record.id,
        record.zone,
        record.region,
        record.peer_address,
        record.state is VmState.LEAVING,
    )
