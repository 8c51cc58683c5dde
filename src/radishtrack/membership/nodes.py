"""A node's view of the fleet: the platform's lagging list and reports on peers."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Final

import attrs

REFUSED_VALID_MS: Final = 10_000.0
"""Time for which a refused connection counts; the platform's list lags by seconds."""

LEAVING_VALID_MS: Final = 120_000.0
"""Time for which a leaving message counts. The drain deadline is 30 s, so a node that
is still listed later has been restarted under the same identifier."""


@attrs.define(frozen=True)
class Node:
    """A node of the fleet.

    Parameters
    ----------
    id : str
        Identifier of the node.
    zone : str
        Its availability zone.
    region : str
        Its region.
    peer_address : str
        Address for peers, as ``host:port``.
    leaving : bool
        Whether it accepts no new work.
    """

    id: str
    zone: str
    region: str
    peer_address: str = ""
    leaving: bool = False


@attrs.define
class Report:
    """Reports about another node, from messages and connections."""

    incarnation: int = 0
    """The highest reported incarnation; a restarted node has a higher one."""
    leaving_until_ms: float = -math.inf
    refused_until_ms: float = -math.inf

    def is_avoided(self, now_ms: float) -> bool:
        """Return whether the node gets no new work."""
        return now_ms < max(self.leaving_until_ms, self.refused_until_ms)


@attrs.define
class Membership:
    """The known nodes, including this one."""

    own: Node
    listed: dict[str, Node]
    reports: dict[str, Report] = attrs.field(factory=dict)

    def apply_list(self, nodes: Iterable[Node]) -> None:
        """Replace the platform's list of nodes.

        Reports about nodes that are no longer listed are dropped.
        """
        self.listed = {node.id: node for node in nodes}
        self.reports = {
            node_id: report
            for node_id, report in self.reports.items()
            if node_id in self.listed
        }

    def record_response(self, node_id: str, incarnation: int) -> None:
        """Record a response, which invalidates reports of earlier incarnations."""
        report = self._get_report(node_id)
        if incarnation < report.incarnation:
            return
        report.refused_until_ms = -math.inf
        if incarnation > report.incarnation:
            report.incarnation = incarnation
            report.leaving_until_ms = -math.inf

    def record_leaving(self, node_id: str, incarnation: int, now_ms: float) -> None:
        """Record a leaving message; one of an earlier incarnation is ignored."""
        report = self._get_report(node_id)
        if incarnation >= report.incarnation:
            report.incarnation = incarnation
            report.leaving_until_ms = now_ms + LEAVING_VALID_MS

    def record_refusal(self, node_id: str, now_ms: float) -> None:
        """Record that a node refused a connection or could not be reached."""
        self._get_report(node_id).refused_until_ms = now_ms + REFUSED_VALID_MS

    def list_nodes(self, now_ms: float) -> tuple[Node, ...]:
        """Return all known nodes in order of ID; those to avoid are marked leaving."""
        nodes = {self.own.id: self.own, **self.listed}
        if self.own.leaving:
            nodes[self.own.id] = self.own
        return tuple(
            self._mark_node(nodes[node_id], now_ms) for node_id in sorted(nodes)
        )

    def find_node(self, node_id: str) -> Node | None:
        """Return a node, or None if it is not known."""
        return self.own if node_id == self.own.id else self.listed.get(node_id)

    def leave(self) -> None:
        """Mark this node as leaving."""
        self.own = attrs.evolve(self.own, leaving=True)

    def _mark_node(self, node: Node, now_ms: float) -> Node:
        report = self.reports.get(node.id)
        if node.leaving or report is None or not report.is_avoided(now_ms):
            return node
        return attrs.evolve(node, leaving=True)

    def _get_report(self, node_id: str) -> Report:
        return self.reports.setdefault(node_id, Report())


def make_membership(own: Node) -> Membership:
    """Return a view with only this node."""
    return Membership(own, {})
