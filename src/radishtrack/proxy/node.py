"""One node: all parts put together, and the tasks that feed them."""

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
from radishtrack.objects.client import PlatformClient
from radishtrack.objects.records import (
    PlatformRefusal,
    PlatformUnavailable,
    VmRecord,
    VmState,
    WatchAnswer,
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
WATCHED_KINDS: Final = (MANIFEST_KIND, KEYS_KIND, GROUPS_KIND, MEMBERS_KIND)
VM_LIST_INTERVAL_S: Final = 2.0
VM_LIST_S_PER_NODE: Final = 0.1
"""An entry has about 114 bytes, so that reading the list takes about 1.1 KB a second
at any size of the fleet; nodes that leave tell their peers themselves."""

RECONCILE_INTERVAL_S: Final = 0.5
STEP_S: Final = 0.25
LIST_WAIT_MS: Final = 5_000.0
"""A node that is not listed after this time serves with what its peers told it."""

IDLE_GRACE_MS: Final = 5_000.0
DRAIN_STEP_S: Final = 0.05


@attrs.define
class NodeServer:
    """A running node.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    clock : Clock
        Time of all parts.
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
    started_ms: float = 0.0
    stopping: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def start(self) -> None:
        """Listen and start all tasks."""
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
                self._answer_peer,
                self.router.observe_control,
                self.incarnation,
            ),
            tls=make_peer_server_tls(self.settings),
        )
        for work in (
            self._follow_platform(),
            self.feed.run(),
            self._follow_vms(),
            self._reconcile_often(),
            self._end_idle_often(),
            self.rates.run(),
            self.copies.run(),
            self.reports.run(),
            self.votes.follow_terms(),
        ):
            self._spawn(work)
        numbers = itertools.count(1)
        self.frontend = FrontendServer(
            session_factory=lambda: ClientSession(self.entry, next(numbers)),
            control=self.control,
            identity_provider=KeyIdentityProvider(self._check_key),
            max_packet_bytes=self.settings.limits.max_statement_bytes,
            get_refusal_reason=self._refuse_reason,
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
        """Serve until a stop is requested, then finish what runs."""
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
        while self.drain.state is DrainState.DRAINING:
            now_ms = self.clock.now_ms()
            waited_ms = now_ms - self.drain.started_ms
            # The close of an idle connection could race with its next request, whose
            # outcome the client would not know. For some time each gets error 9006.
            idle = len(self.control.connections) if waited_ms < IDLE_GRACE_MS else 0
            self.drain.advance(
                now_ms,
                self.entry.running + self.holder.running + idle,
                len(self.holder.transactions),
            )
            await asyncio.sleep(DRAIN_STEP_S)
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
        for owner, session in tuple(self.holder.transactions):
            await self.holder.end_session(owner, session)
        await self.slots.close()
        await self.rates.stop()
        await self.router.close()
        if self.peer_server is not None:
            self.peer_server.close()
            await self.peer_server.wait_closed()
        if self.admin is not None:
            await self.admin.close()
        await self.platform.close()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._forget_task)

    def _forget_task(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            # No task ends by itself; going on without one would break guarantees.
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

    def _refuse_reason(self) -> str | None:
        if self.drain.state is not DrainState.SERVING:
            return "this node stops"
        return None

    def _check_ready(self) -> Readiness:
        if self.drain.state is not DrainState.SERVING:
            return Readiness(False, "draining")
        if self.configuration.revision == 0:
            return Readiness(False, "no configuration")
        is_starting = self.clock.now_ms() - self.started_ms < LIST_WAIT_MS
        if is_starting and not self.is_listed:
            return Readiness(False, "not in the platform's list of VMs yet")
        return Readiness(True)

    async def _answer_peer(self, peer: str, message: Message) -> Message | None:
        match message:
            case VoteRequest():
                return await self.votes.answer(message)
            case RecordRequest():
                return self.votes.answer_record(message)
            case KeysChanged():
                self.copies.take_changed(message)
            case TokensWanted():
                return await self.rates.answer(message)
            case CopyRequest():
                return self.copies.answer(message)
            case Leaving(node=node, incarnation=incarnation):
                now_ms = self.clock.now_ms()
                self.membership.record_leaving(node, incarnation, now_ms)
        return None

    async def _follow_platform(self) -> None:
        await follow_objects(
            self.platform,
            WATCHED_KINDS,
            self._apply_objects,
            on_contact=self._note_contact,
        )

    def _note_contact(self, answered: bool) -> None:
        if answered:
            contact_ms = self.platform.last_contact_ms or 0.0
            self.copies.contacts.record_platform_contact(contact_ms)

    def _apply_objects(self, answer: WatchAnswer) -> None:
        revoked: set[str] = set()
        for found in answer.objects:
            if found.kind == KEYS_KIND:
                for key in self.keyring.apply_object(
                    found.name, found.version, found.value
                ):
                    revoked.add(found.name)
                    self.close_revoked(key)
            elif found.kind == GROUPS_KIND and found.value is not None:
                try:
                    record = parse_record(found.name, found.version, found.value)
                except RecordError as error:
                    log_event(Event.GROUP_RECORD_INVALID, reason=error)
                    continue
                self.slots.update_record(record)
            elif found.kind == MEMBERS_KIND:
                leaving = (found.value or {}).get("leaving")
                members = leaving if isinstance(leaving, list) else []
                self.slots.mark_leaving(found.name, frozenset(map(str, members)))
            elif found.name == MANIFEST_NAME and found.value is not None:
                self.feed.offer(found.value)
        if revoked:
            work = self.copies.announce_revoked(frozenset(revoked))
            task = asyncio.create_task(work)
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def close_revoked(self, key: RevokedKey) -> None:
        """Close all client connections that were opened with a key."""
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
                own = {vm.state for vm in listed if vm.id == self.node.id}
                if self.is_listed and VmState.LEAVING in own:
                    self.stopping.set()
                # The list lags: an entry of this VM from before the start says nothing.
                self.is_listed = self.is_listed or VmState.LIVE in own
            interval_s = max(
                VM_LIST_INTERVAL_S, VM_LIST_S_PER_NODE * len(self.membership.listed)
            )
            await self._wait_for_list(interval_s if self.is_listed else STEP_S)

    async def _wait_for_list(self, interval_s: float) -> None:
        await asyncio.sleep(STEP_S)
        try:
            async with asyncio.timeout(max(0.0, interval_s - STEP_S)):
                await self.router.list_wanted.wait()
        except TimeoutError:
            pass
        self.router.list_wanted.clear()

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

    async def _reconcile_often(self) -> None:
        while True:
            self.reconcile()
            await asyncio.sleep(RECONCILE_INTERVAL_S)

    def reconcile(self) -> None:
        """Match slots and limits with the membership and the configuration."""
        self.placement.set_nodes(self.membership.list_nodes(self.clock.now_ms()))
        is_leaving = self.drain.state is not DrainState.SERVING
        self.slots.reconcile(self.configuration.document, is_leaving=is_leaving)
        self.rates.update_document(self.configuration.document)

    async def _end_idle_often(self) -> None:
        limit_ms = self.settings.limits.idle_transaction_ms
        while True:
            await asyncio.sleep(min(1.0, limit_ms / 2000))
            await self.holder.end_idle(limit_ms)


def _make_node(record: VmRecord) -> Node:
    return Node(
        record.id,
        record.zone,
        record.region,
        record.peer_address,
        record.state is VmState.LEAVING,
    )
