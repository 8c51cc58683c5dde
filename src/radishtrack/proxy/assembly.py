"""Creates a node's components and connects them."""

from __future__ import annotations

import asyncio
import signal
import time
from functools import partial

from radishtrack.backend.admin_connection import make_connect
from radishtrack.backend.database import DatabaseBackend
from radishtrack.backend.member_commands import MemberCommands
from radishtrack.backend.monitor import Monitor
from radishtrack.clock import Clock, make_system_clock
from radishtrack.config.model import Database
from radishtrack.config.state import make_configuration_state
from radishtrack.frontend.connection import ConnectionControl
from radishtrack.group.record import GroupRecord
from radishtrack.keys.contact import make_contact_state
from radishtrack.keys.keyring import make_keyring
from radishtrack.membership.drain import make_drain
from radishtrack.membership.nodes import Node, make_membership
from radishtrack.membership.placement import make_placement
from radishtrack.metrics import make_metrics
from radishtrack.objects.client import PlatformClient, make_platform_client
from radishtrack.peer.link import open_link
from radishtrack.proxy.allocators import Allocators
from radishtrack.proxy.configuration_feed import ConfigurationFeed
from radishtrack.proxy.copies import Copies
from radishtrack.proxy.entry import Entry
from radishtrack.proxy.group_store import make_group_store
from radishtrack.proxy.holder import Holder
from radishtrack.proxy.node import NodeServer
from radishtrack.proxy.promoter import Promoter, make_promoter
from radishtrack.proxy.promoter_context import PromoterContext
from radishtrack.proxy.rates import Rates
from radishtrack.proxy.router import Router
from radishtrack.proxy.slots import MakePromoter, Slots
from radishtrack.proxy.tls import make_peer_client_tls
from radishtrack.proxy.usage_reports import UsageReports
from radishtrack.proxy.votes import Votes
from radishtrack.routing.statement import make_classifier
from radishtrack.session.position import Position
from radishtrack.settings import Settings
from radishtrack.usage.counter import make_usage_counter
from radishtrack.usage.report import make_reporter


def make_node_server(settings: Settings, clock: Clock, incarnation: int) -> NodeServer:
    """Return a node that is not started yet.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    clock : Clock
        Clock of all components.
    incarnation : int
        Higher than at any earlier start of this node.
    """
    listen = settings.listen
    node = Node(
        settings.node.id,
        settings.node.zone,
        settings.node.region,
        f"{listen.peer_host}:{listen.peer_port}",
    )
    secret = settings.peers.secret.encode()
    keyring = make_keyring()
    metrics = make_metrics()
    configuration = make_configuration_state()
    membership = make_membership(node)
    placement = make_placement()
    drain = make_drain(settings.limits.drain_timeout_ms)
    platform = make_platform_client(settings.platform.url, clock)
    usage = make_usage_counter()

    def observe_call(result: str, size_bytes: int) -> None:
        metrics.count_platform_call(result)
        metrics.count_control_bytes("platform", size_bytes)

    platform.observe = observe_call

    def find_owner(organisation: str) -> str:
        configured = configuration.document.organisations.get(organisation)
        return configured.owner if configured else ""

    async def admit(
        backend: DatabaseBackend, organisation: str, deadline_ms: float
    ) -> None:
        await rates.admit(backend, organisation, deadline_ms)

    holder = Holder(clock, admit, usage, find_owner)
    router = Router(
        node,
        clock,
        holder,
        membership,
        placement,
        partial(
            open_link,
            node=node.id,
            secret=secret,
            tls=make_peer_client_tls(settings),
        ),
        partial(metrics.count_control_bytes, "peer"),
    )
    identity = f"{node.id}.{incarnation}"
    allocators = Allocators(node.id, node.region, identity, clock, placement, platform)
    rates = Rates(clock, router, allocators)
    contacts = make_contact_state()
    entry = Entry(
        clock,
        secret,
        settings.limits.request_timeout_ms,
        settings.limits.max_statement_bytes,
        keyring,
        lambda: configuration.document,
        lambda: contacts.check(clock.now_ms()),
        make_classifier(),
        router,
        drain,
        metrics,
    )
    slots = Slots(
        node,
        clock,
        settings.database_login,
        holder,
        placement,
        metrics.observe_queue_wait,
    )
    votes = Votes(clock, settings.database_login, router, slots)
    slots.make_promoter = _make_promoter_factory(votes, platform)
    copies = Copies(
        clock,
        settings.peers.secret,
        keyring,
        configuration,
        contacts,
        membership,
        router,
        slots,
        platform,
        settings.peers.seeds,
        lambda key: server.close_revoked(key),
        lambda: server.reconcile(),
    )
    control = ConnectionControl(settings.limits.max_client_connections)
    metrics.client_connections.set_function(lambda: len(control.connections))
    metrics.configuration_revision.set_function(lambda: configuration.revision)
    server = NodeServer(
        settings,
        clock,
        node,
        metrics,
        keyring,
        configuration,
        membership,
        placement,
        platform,
        holder,
        router,
        slots,
        drain,
        entry,
        votes,
        rates,
        copies,
        UsageReports(clock, platform, make_reporter(node.id, str(incarnation), usage)),
        ConfigurationFeed(platform, configuration, lambda: server.reconcile()),
        incarnation,
        control,
    )
    return server


def _make_promoter_factory(votes: Votes, platform: PlatformClient) -> MakePromoter:
    store = make_group_store(platform)

    def make_database_promoter(
        database: Database, record: GroupRecord, monitor: Monitor
    ) -> Promoter:
        slots = votes.slots

        def list_voters() -> tuple[str, ...]:
            return slots.placement.rank_voters(
                database.name, database.region, database.slots
            )

        def compute_rank() -> int:
            voters = list_voters()
            name = slots.node.id
            return voters.index(name) if name in voters else len(voters)

        async def request_votes(name: str, member: str) -> dict[str, bool]:
            return await votes.request(list_voters(), name, member)

        async def request_confirmed(name: str) -> tuple[Position, ...]:
            return await votes.request_confirmed(list_voters(), name)

        def list_leaving_members() -> frozenset[str]:
            backend = slots.holder.databases.get(database.name)
            return backend.list_leaving_members() if backend else frozenset()

        return make_promoter(
            PromoterContext(
                slots.node.id, compute_rank, list_voters, list_leaving_members
            ),
            record,
            monitor,
            store,
            MemberCommands(make_connect(votes.login.password)),
            request_votes,
            request_confirmed,
        )

    return make_database_promoter


async def serve(settings: Settings) -> None:
    """Run a node until SIGTERM or SIGINT."""
    server = make_node_server(
        settings, make_system_clock(), time.time_ns() // 1_000_000
    )
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, server.stopping.set)
    await server.start()
    await server.run()
