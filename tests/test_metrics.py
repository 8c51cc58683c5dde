"""Tests the metrics, the bound on their labels, and the HTTP endpoints."""

from __future__ import annotations

from collections.abc import AsyncIterator

import aiohttp
import attrs
import pytest
import pytest_asyncio

from radishtrack.admin import AdminServer, Readiness, start_admin
from radishtrack.metrics import MAX_ORGANISATIONS, OTHER, Metrics, make_metrics


@attrs.define
class Node:
    """A node's metrics and readiness, with the HTTP server that exposes them."""

    metrics: Metrics
    readiness: Readiness
    server: AdminServer | None = None

    async def fetch(self, path: str) -> tuple[int, str]:
        """Return status and text of an endpoint."""
        assert self.server is not None
        url = f"http://{self.server.host}:{self.server.port}{path}"
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            return response.status, await response.text()


@pytest_asyncio.fixture
async def node() -> AsyncIterator[Node]:
    node = Node(make_metrics(), Readiness(True))
    node.server = await start_admin(
        "127.0.0.1", 0, node.metrics, lambda: node.readiness
    )
    yield node
    await node.server.close()


def get_value(metrics: Metrics, name: str, **labels: str) -> float | None:
    return metrics.registry.get_sample_value(name, labels)


def test_a_statement_is_counted_by_organisation_class_and_outcome() -> None:
    metrics = make_metrics()
    metrics.observe_statement("verksted", "strict", "ran", 30.0)
    labels = {"organisation": "verksted", "class": "strict"}
    name = "radishtrack_statement_seconds"
    assert get_value(metrics, f"{name}_sum", **labels) == pytest.approx(0.03)
    assert get_value(metrics, f"{name}_bucket", le="0.05", **labels) == 1
    assert get_value(metrics, f"{name}_bucket", le="0.025", **labels) == 0
    assert (
        get_value(
            metrics,
            "radishtrack_statements_total",
            organisation="verksted",
            outcome="ran",
        )
        == 1
    )


def test_labels_are_bounded() -> None:
    metrics = make_metrics()
    for number in range(MAX_ORGANISATIONS + 5):
        metrics.count_refusal(f"org-{number}", "rate")
    metrics.count_refusal("org-1", "a reason with user input")
    name = "radishtrack_refused_total"
    assert get_value(metrics, name, organisation=OTHER, reason="rate") == 5
    assert get_value(metrics, name, organisation="org-1", reason=OTHER) == 1


def test_two_nodes_in_one_process_have_separate_metrics() -> None:
    first, second = make_metrics(), make_metrics()
    first.count_read("replica")
    name = "radishtrack_reads_total"
    assert get_value(first, name, role="replica") == 1
    assert get_value(second, name, role="replica") is None


async def test_the_endpoints_return_metrics_health_and_readiness(node: Node) -> None:
    node.metrics.observe_queue_wait("verksted", 3.0)
    node.metrics.count_platform_call("ok")
    node.metrics.count_control_bytes("peer", 100)
    status, text = await node.fetch("/metrics")
    assert status == 200
    assert 'radishtrack_queue_wait_seconds_count{organisation="verksted"} 1.0' in text
    assert 'radishtrack_control_bytes_total{channel="peer"} 100.0' in text
    assert await node.fetch("/healthz") == (200, "ok\n")
    assert await node.fetch("/readyz") == (200, "ready\n")


async def test_a_draining_node_is_healthy_but_not_ready(node: Node) -> None:
    node.readiness = Readiness(False, "the node is leaving")
    assert await node.fetch("/readyz") == (503, "not ready: the node is leaving\n")
    assert (await node.fetch("/healthz"))[0] == 200
