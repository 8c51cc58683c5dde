"""CPU time of the entry's and the holder's decisions on one statement.

Run as ``python benchmarks/capacity/decisions.py``; prints JSON lines. The entry's
decisions are all that precede sending: key check, options, classification, access,
route and holders. The holder's decision is the choice of the member.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Final

from measuring import (
    NODES,
    Spread,
    emit,
    emit_fit,
    make_fleet_document,
    make_nodes,
    summarise,
)

from radishtrack.clock import make_system_clock
from radishtrack.config.document import Document
from radishtrack.group.status import Group, MemberStatus, Role
from radishtrack.keys.key import issue_key
from radishtrack.keys.keyring import make_keyring
from radishtrack.membership.drain import make_drain
from radishtrack.membership.nodes import make_membership
from radishtrack.membership.placement import make_placement
from radishtrack.metrics import make_metrics
from radishtrack.peer.link import PeerLink
from radishtrack.proxy.access import check_access, find_affinity, find_database
from radishtrack.proxy.entry import ClientState, Entry
from radishtrack.proxy.holder import Holder
from radishtrack.proxy.router import Router
from radishtrack.routing.options import ReadClass
from radishtrack.routing.route import EffectiveClass, ReadRequest, choose_member
from radishtrack.routing.statement import make_classifier
from radishtrack.session.position import Position, TermStart
from radishtrack.usage.counter import make_usage_counter

ORGANISATION_SIZES: Final = (8, 100, 1_000)
DATABASE_SIZES: Final = (3, 100, 710)
MAX_STATEMENT_BYTES: Final = 1 << 20
STATEMENTS: Final = 4_000
REPEATS: Final = 3
SEED: Final = 1


def make_entry(document: Document) -> tuple[Entry, list[ClientState]]:
    """Return an entry that knows all nodes, and one client of each organisation."""
    clock = make_system_clock()
    nodes = make_nodes(NODES)
    membership = make_membership(nodes[0])
    membership.apply_list(nodes)
    keyring = make_keyring()
    rng = random.Random(SEED)
    clients = []
    for number, name in enumerate(document.organisations):
        key = issue_key(name, rng.randbytes)
        entry = {"id": key.key_id, "verifier": key.verifier_hex}
        keyring.apply_object(name, 1, {"keys": [entry]})
        clients.append(ClientState(number, name, key.key_id))

    async def admit(organisation: str, deadline_ms: float) -> None:
        return

    async def open_no_link(address: str) -> PeerLink:
        raise OSError(address)

    router = Router(
        nodes[0],
        clock,
        Holder(clock, admit, make_usage_counter(), lambda _organisation: "owner"),
        membership,
        make_placement(nodes),
        open_no_link,
        lambda _size: None,
    )
    return (
        Entry(
            clock,
            b"secret",
            5000.0,
            MAX_STATEMENT_BYTES,
            keyring,
            lambda: document,
            lambda: None,
            make_classifier(),
            router,
            make_drain(30_000.0),
            make_metrics(),
        ),
        clients,
    )


def make_requests(
    document: Document, clients: list[ClientState]
) -> list[tuple[ClientState, str, str]]:
    """Return triples of client, database and statement, of four kinds."""
    rng = random.Random(SEED)
    databases: dict[str, list[str]] = {}
    for database in document.databases.values():
        databases.setdefault(database.owner, []).append(database.name)
    requests = []
    for number in range(STATEMENTS):
        client = rng.choice(clients)
        owner = document.organisations[client.organisation].owner
        statement = (
            f"/*radishtrack class=strict*/ SELECT id, state FROM jobs "
            f"WHERE id = {number}",
            f"/*radishtrack class=aged max_age_ms=5000*/ SELECT plot FROM history "
            f"WHERE family = 'Tamm {number}' LIMIT 50",
            f"/*radishtrack request_id=r{number}*/ INSERT INTO receipts (id, amount) "
            f"VALUES ({number}, {number}.50)",
            f"SELECT o.id, j.state FROM orders o JOIN jobs j ON j.id = o.id "
            f"WHERE o.organisation = '{client.organisation}' AND j.state IN (1, 2)",
        )[number % 4]
        requests.append((client, rng.choice(databases[owner]), statement))
    return requests


def make_decide(entry: Entry) -> Callable[[ClientState, str, str], object]:
    """Return a function that makes the entry's decisions on one statement."""

    def decide(client: ClientState, database: str, sql: str) -> object:
        client.database = database
        entry.check_client(client)
        prepared = entry.read_statement(client, sql)
        document = entry.get_document()
        target = find_database(document, client)
        organisation = check_access(document, client, target, prepared.statement)
        request = entry._make_execute(client, target, organisation, prepared)
        return request, entry.router.list_holders(
            target.name,
            target.region,
            target.slots,
            find_affinity(document, request.organisation),
        )

    return decide


def measure_entry(organisations: int, databases: int) -> Spread:
    """Measure the entry's decisions; return CPU microseconds per statement."""
    document = make_fleet_document(databases, organisations)
    entry, clients = make_entry(document)
    requests = make_requests(document, clients)
    decide = make_decide(entry)
    for request in requests:
        decide(*request)
    samples = []
    for _ in range(REPEATS):
        begin = time.process_time_ns()
        for request in requests:
            decide(*request)
        samples.append((time.process_time_ns() - begin) / 1000 / len(requests))
    wall_us = sorted(_time_one(decide, request) for request in requests)
    cpu_us = summarise(samples)
    emit(
        "decision entry",
        organisations=organisations,
        databases=databases,
        cpu_us=cpu_us,
        p99_wall_us=wall_us[len(wall_us) * 99 // 100],
    )
    return cpu_us


def _time_one(
    decide: Callable[[ClientState, str, str], object],
    request: tuple[ClientState, str, str],
) -> float:
    begin = time.perf_counter_ns()
    decide(*request)
    return (time.perf_counter_ns() - begin) / 1000


def measure_holder() -> None:
    """Measure the holder's choice of the member."""
    members = ("m1", "m2", "m3")
    group = Group("database", 1, 2, "m1", members, (TermStart(2, 5),))
    statuses = {
        name: MemberStatus(
            name, 2, 2, Role.REPLICA if index else Role.PRIMARY, Position(2, 100)
        )
        for index, name in enumerate(members)
    }
    request = ReadRequest(
        EffectiveClass(ReadClass.AGED, 5000),
        group,
        statuses,
        Position(2, 90),
        dict.fromkeys(members, 10.0),
    )
    samples = []
    for _ in range(REPEATS):
        begin = time.process_time_ns()
        for _ in range(STATEMENTS):
            choose_member(request)
        samples.append((time.process_time_ns() - begin) / 1000 / STATEMENTS)
    emit("decision holder", cpu_us=summarise(samples))


def main() -> None:
    """Measure all sizes."""
    points = {
        (organisations, databases): measure_entry(organisations, databases).median
        for organisations in ORGANISATION_SIZES
        for databases in DATABASE_SIZES
    }
    emit_fit(
        "decision us by organisations, 710 databases",
        ((size, points[size, DATABASE_SIZES[-1]]) for size in ORGANISATION_SIZES),
    )
    emit_fit(
        "decision us by databases, 1000 organisations",
        ((size, points[ORGANISATION_SIZES[-1], size]) for size in DATABASE_SIZES),
    )
    measure_holder()


if __name__ == "__main__":
    main()
