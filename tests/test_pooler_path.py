"""Tests the path of statements on the platform, from client to member and back."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
import pytest

from radishtrack.platform.lines import encode_line
from tests.pooler_simulation import (
    GROUP,
    KEY,
    OTHER_KEY,
    Client,
    is_closed,
    make_config,
    open_simulation,
    wait_until,
)


async def test_all_kinds_of_statements_are_served() -> None:
    """A client must get the member's rows and signature, and the session's state."""
    async with open_simulation() as simulation:
        for database in ("orders", "status", "receipts"):
            client = await simulation.connect(simulation.nodes[0], database)
            rows, signed, ready = await client.execute("READ 1a4")
            assert rows.startswith("DATAROW i-") and signed.startswith("COMPLETE i-")
            assert ready == "READY I -"
            assert (await client.execute("WRITE 1a4 boots"))[0].startswith(
                "COMPLETE i-1."
            )
            assert await client.execute("SET zone oslo") == ["COMPLETE -", "READY I -"]
            assert await client.execute("PREPARE s1 WRITE q2c") == [
                "COMPLETE -",
                "READY I -",
            ]
            assert (await client.execute("EXECUTE s1 1a4 xy"))[0].startswith(
                "COMPLETE i-1"
            )
            assert await client.execute("DEALLOC s1") == ["COMPLETE -", "READY I -"]
            assert (await client.execute("EXECUTE s1 1a4 xy"))[0].startswith(
                "ERROR NOSTMT"
            )


async def test_transaction_runs_on_one_connection_and_ends_idle() -> None:
    """Statements on different connections would lose the transaction's writes."""
    async with open_simulation() as simulation:
        client = await simulation.connect(simulation.nodes[0], "orders")
        assert (await client.execute("BEGIN"))[-1] == "READY T -"
        assert (await client.execute("WRITE 1a4 boots"))[-1] == "READY T -"
        assert (await client.execute("READ 1a4"))[-1] == "READY T -"
        committed = await client.execute("COMMIT")
        assert committed[0].startswith("COMPLETE i-1") and committed[1] == "READY I -"
        assert (await client.execute("BEGIN READ"))[-1] == "READY T -"
        assert (await client.execute("ROLLBACK")) == ["COMPLETE -", "READY I -"]


async def test_values_and_prepared_names_are_separate_between_clients() -> None:
    """A pooled connection keeps the values and names of its earlier users."""
    async with open_simulation() as simulation:
        first = await simulation.connect(simulation.nodes[0], "orders")
        second = await simulation.connect(simulation.nodes[0], "orders")
        await first.execute("SET lang nb")
        await first.execute("PREPARE s READ q1")
        await second.execute("PREPARE s WRITE q2")
        await first.execute("EXECUTE s 1a4")
        await second.execute("EXECUTE s 1a4 x")
        await first.execute("EXECUTE s 1a4")
        assert simulation.primary.session_values == [{"lang": "nb"}, {}, {"lang": "nb"}]
        assert [text.split(" ")[-3:][0:2] for _, _, text in simulation.primary.ran][
            1
        ] == [
            "w_q2",
            "1a4",
        ]


async def test_members_get_the_organisation_and_not_the_key() -> None:
    """A connection of one organisation must not run statements of another."""
    async with open_simulation() as simulation:
        verksted = await simulation.connect(simulation.nodes[0], "orders", KEY)
        storgata = await simulation.connect(simulation.nodes[0], "orders", OTHER_KEY)
        await verksted.execute("READ 1")
        await storgata.execute("READ 2")
        received = {
            (who, text.split(" ")[-1]) for who, _, text in simulation.primary.ran
        }
        assert received == {("verksted", "1"), ("storgata", "2")}


async def test_unknown_databases_and_keys_are_refused() -> None:
    """A refused startup must end the connection, but not the node."""
    async with open_simulation() as simulation:
        for startup, code in (
            (f"STARTUP nowhere {KEY}", "ERROR NODB"),
            ("STARTUP orders wrong", "ERROR NOAUTH"),
            ("STARTUP orders", "ERROR NOAUTH"),
        ):
            connection = await simulation.open_connection(simulation.nodes[0])
            connection.write(encode_line(startup))
            assert (await connection.read_line()).startswith(code)
            assert await is_closed(connection)


async def test_new_database_is_available_immediately() -> None:
    """Clients connect to a database right after its configuration was accepted."""
    async with open_simulation() as simulation:
        config = make_config(version=9)
        routes = config["routes"]
        assert isinstance(routes, list)
        routes.append(routes[0] | {"host": "fresh", "name": "r-fresh"})
        simulation.store.put("config", "main", config)
        client = await simulation.connect(simulation.nodes[0], "fresh")
        assert (await client.execute("READ 1"))[-1] == "READY I -"


async def test_malformed_input_affects_only_its_own_session() -> None:
    """Commands of the member protocol must not be forwarded to a member."""
    async with open_simulation() as simulation:
        client = await simulation.connect(simulation.nodes[0], "orders")
        for text in ("SINCE 1.0 READ 1", "STATUS", "PAUSE 9", "DISCARD", "READ", "x"):
            assert (await client.execute(text))[0].startswith("ERROR MALFORMED")
        assert (await client.execute("READ 1"))[0].startswith("DATAROW")
        broken = await simulation.open_connection(simulation.nodes[0])
        broken.write(b"\xff\xfe\x00garbage\r\n")
        assert await is_closed(broken)
        huge = await simulation.open_connection(simulation.nodes[0])
        huge.write(b"x" * 1_100_000)
        assert await is_closed(huge)
        assert (await client.execute("READ 1"))[0].startswith("DATAROW")


async def test_revoked_key_ends_open_sessions() -> None:
    """A revoked key must be rejected on open connections too."""
    async with open_simulation() as simulation:
        client = await simulation.connect(simulation.nodes[0], "orders")
        config = make_config(version=2)
        tenants = config["tenants"]
        assert isinstance(tenants, list)
        tenants[0]["apiKeys"] = ["another"]
        simulation.store.put("config", "main", config)
        store_copy = simulation.nodes[0].node.store_copy
        await wait_until(lambda: store_copy.catalog.version == 2)
        assert (await client.execute("READ 1"))[0].startswith("ERROR NOAUTH")
        assert await is_closed(client.connection)


@pytest.mark.parametrize("separator", ["\n", "\r", "\n\n", "\r \n"])
async def test_line_feed_in_a_field_is_part_of_the_field(separator: str) -> None:
    """It ended the request: a shortened write was committed and a second one ran."""
    async with open_simulation() as simulation:
        client = await simulation.connect(simulation.nodes[0], "orders")
        text = f"WRITE 1 two{separator}QUERY q9 WRITE 2 lines{separator}"
        assert (await client.execute(text))[0].startswith("COMPLETE")
        assert [ran[1:] for ran in simulation.primary.ran] == [("q1", text)]
        assert (await client.execute("READ 1"))[0].startswith("DATAROW")


async def test_line_end_that_arrives_in_parts_ends_the_request() -> None:
    async with open_simulation() as simulation:
        connection = await simulation.open_connection(simulation.nodes[0])
        for byte in encode_line(f"STARTUP orders {KEY}"):
            connection.write(bytes([byte]))
            await asyncio.sleep(0.001)
        assert await connection.read_line() == "READY I -"


def _remove_key(config: dict[str, Any]) -> None:
    config["tenants"][0]["apiKeys"] = []


def _remove_organisation(config: dict[str, Any]) -> None:
    del config["tenants"][0]


def _give_key_to_another(config: dict[str, Any]) -> None:
    config["tenants"][1]["apiKeys"] += config["tenants"][0]["apiKeys"]
    config["tenants"][0]["apiKeys"] = []


@pytest.mark.parametrize(
    ("withdraw", "change", "text"),
    [
        (_remove_key, "removed", "READ 1"),
        (_remove_key, "removed", "WRITE 1 x"),
        (_remove_key, "removed", "EXECUTE s1 1"),
        (_remove_key, "removed", "COMMIT"),
        (_remove_key, "open", "COMMIT"),
        (_remove_key, "kept", "COMMIT"),
        (_remove_organisation, "removed", "COMMIT"),
        (_give_key_to_another, "removed", "COMMIT"),
        (_give_key_to_another, "kept", "WRITE 1 x"),
    ],
    ids=lambda value: value if isinstance(value, str) else value.__name__[1:],
)
async def test_withdrawn_key_ends_a_transaction_whatever_became_of_its_route(
    withdraw: Callable[[dict[str, Any]], None], change: str, text: str
) -> None:
    """The version that withdrew the key removed its route, and the checks ended there.

    All later statements of the open transaction ran, and it was committed.
    """
    async with open_simulation() as simulation:
        client = await simulation.connect(simulation.nodes[0], "orders")
        await client.execute("PREPARE s1 READ q1")
        await client.execute("BEGIN")
        assert (await client.execute("WRITE 1 x"))[0].startswith("COMPLETE")
        config = make_config(version=2)
        withdraw(config)
        if change == "removed":
            config["routes"] = config["routes"][1:]
        config["routes"][0]["public"] = change == "open"
        simulation.store.put("config", "main", config)
        store_copy = simulation.nodes[0].node.store_copy
        await wait_until(lambda: store_copy.catalog.version == 2)
        assert (await client.execute(text))[0].startswith("ERROR NOAUTH")
        assert await is_closed(client.connection)
        assert simulation.primary.received == 0


async def test_transaction_on_a_removed_route_ends_without_the_store() -> None:
    """A node that can't know which keys are withdrawn let it go on."""
    async with open_simulation() as simulation:
        node = simulation.nodes[0].node
        client = await simulation.connect(simulation.nodes[0], "orders")
        await client.execute("BEGIN")
        assert (await client.execute("WRITE 1 x"))[0].startswith("COMPLETE")
        config = make_config(version=2)
        config["routes"] = config["routes"][1:]
        simulation.store.put("config", "main", config)
        await wait_until(lambda: node.store_copy.catalog.version == 2)
        assert (await client.execute("WRITE 1 x"))[0].startswith("COMPLETE")
        node.options = attrs.evolve(node.options, key_age_limit_ms=500.0)
        simulation.store.faults.status = 503
        await wait_until(lambda: not node.is_ready())
        assert (await client.execute("COMMIT"))[0].startswith("ERROR BUSY")
        assert simulation.primary.received == 0


async def test_transaction_with_a_valid_key_ends_on_its_removed_route() -> None:
    """Changes of a route apply from the next transaction on."""
    async with open_simulation() as simulation:
        client = await simulation.connect(simulation.nodes[0], "orders")
        await client.execute("BEGIN")
        assert (await client.execute("WRITE 1 x"))[0].startswith("COMPLETE")
        config = make_config(version=2)
        config["routes"] = config["routes"][1:]
        simulation.store.put("config", "main", config)
        store_copy = simulation.nodes[0].node.store_copy
        await wait_until(lambda: store_copy.catalog.version == 2)
        assert (await client.execute("COMMIT"))[0].startswith("COMPLETE")
        assert (await client.execute("READ 1"))[0].startswith("ERROR NODB")


async def test_keys_are_refused_when_the_store_is_unreachable() -> None:
    """A node that can't confirm keys for too long must not serve nor be ready."""
    async with open_simulation() as simulation:
        node = simulation.nodes[0].node
        client = await simulation.connect(simulation.nodes[0], "orders")
        node.options = attrs.evolve(node.options, key_age_limit_ms=500.0)
        simulation.store.faults.status = 503
        await wait_until(lambda: not node.is_ready())
        assert (await client.execute("READ 1"))[0].startswith("ERROR BUSY")
        simulation.store.faults.status = 0
        await wait_until(node.is_ready)


async def test_invalid_entries_of_other_writers_are_ignored() -> None:
    """One invalid entry must not hide the valid ones."""
    async with open_simulation() as simulation:
        simulation.store.put("servers", "i-bad", {"service": 7, "state": "ready"})
        simulation.store.put("servers", "i-text", "not an object")
        simulation.store.put("radishtrack", "node.bad", {"name": None})
        store_copy = simulation.nodes[0].node.store_copy
        await wait_until(lambda: store_copy.revision == simulation.revision)
        assert {member.name for member in store_copy.members} == set(simulation.members)
        client: Client = await simulation.connect(simulation.nodes[0], "orders")
        assert (await client.execute("READ 1"))[0].startswith("DATAROW")
        assert simulation.nodes[0].node.find_group(GROUP).evidence.term == 1


async def test_starting_node_refuses_no_name_before_it_has_read_any() -> None:
    """After a loss of power, clients were told that their database does not exist."""
    async with open_simulation() as simulation:
        simulation.store.faults.is_unresponsive = True
        starting = await simulation.start_node("edge-2")
        connection = await simulation.open_connection(starting)
        connection.write(encode_line(f"STARTUP orders {KEY}"))
        assert (await connection.read_line()).startswith("ERROR BUSY")


async def test_client_of_a_starting_node_waits_for_the_first_copy() -> None:
    """A refusal costs a retry, and the first read takes a few milliseconds."""
    async with open_simulation() as simulation:
        starting = await simulation.start_node("edge-2")
        assert starting.node.store_copy.confirmed_ms is None
        await simulation.connect(starting, "orders")
