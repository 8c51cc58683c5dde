"""Withdraws all nodes' evidence of a term, and collects what they have acknowledged."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Iterator, Mapping
from typing import TYPE_CHECKING, Final

from radishtrack.events import Event, log_event
from radishtrack.peer.messages import (
    BeliefWithdrawn,
    EvidenceWithdrawn,
    Message,
    WithdrawBelief,
    WithdrawEvidence,
)
from radishtrack.pooler.acknowledgements import (
    AcknowledgedRange,
    FleetAcknowledgements,
    NodeAcknowledgements,
    merge_acknowledgements,
)
from radishtrack.pooler.evidence import EVIDENCE_VALID_MS
from radishtrack.pooler.group_access import GroupAccess
from radishtrack.pooler.peers import NotRunning, Peers
from radishtrack.pooler.store_copy import DEPARTURE_MS
from radishtrack.session.position import Position

if TYPE_CHECKING:
    from radishtrack.pooler.promoter import Promoter

INVALIDATE_TIMEOUT_MS: Final = 200.0
"""Time limit for nodes to confirm; without a confirmation the promoter waits until the
node's evidence has expired."""

LOGGED_NODES: Final = 5
"""Nodes without a confirmation that an event names, of each kind."""

Response = Message | NotRunning | None


async def withdraw_evidence(
    promoter: Promoter, access: GroupAccess, fenced_ms: float
) -> FleetAcknowledgements:
    """Wait until no node has valid evidence of a term; return what they acknowledged.

    The list of nodes must be read after the members were fenced: a node that
    registers later can't obtain evidence of the old term.

    Parameters
    ----------
    promoter : Promoter
        The promoter of this node.
    access : GroupAccess
        The group.
    fenced_ms : float
        Time in milliseconds at which its members were fenced.
    """
    clock = promoter.clock
    access.withdraw_evidence()
    is_complete = await promoter.store_copy.read_records()
    responses = await request_withdrawals(promoter.peers, access.name)
    _log_responses(access.name, responses, clock.now_ms() - fenced_ms)
    nodes = list(_list_acknowledgements(promoter, access, responses))
    if not is_complete:
        nodes.append(NodeAcknowledgements(AcknowledgedRange(), math.inf))
    acknowledged = merge_acknowledgements(nodes)
    # A process that is not running has no evidence, and one that starts discards
    # what it had when it begins to listen.
    if (
        is_complete
        and clock.now_ms() > promoter.knows_nodes_since_ms()
        and all(
            isinstance(response, EvidenceWithdrawn | BeliefWithdrawn | NotRunning)
            for response in responses.values()
        )
    ):
        return acknowledged
    remaining_ms = fenced_ms + EVIDENCE_VALID_MS - clock.now_ms()
    await asyncio.sleep(max(0.0, remaining_ms) / 1000)
    return acknowledged


async def request_withdrawals(peers: Peers, group: str) -> dict[str, Response]:
    """Request all nodes to withdraw their evidence; return the responses by name."""
    responses = await peers.request_all(
        lambda request: WithdrawEvidence(request, group), INVALIDATE_TIMEOUT_MS
    )
    silent = [node for node in peers.others() if responses.get(node.name) is None]
    # Earlier versions of this program know only the other message.
    repeated = await asyncio.gather(
        *(
            peers.send_request(
                node,
                lambda request: WithdrawBelief(request, group),
                INVALIDATE_TIMEOUT_MS,
            )
            for node in silent
        )
    )
    return responses | {
        node.name: response for node, response in zip(silent, repeated, strict=True)
    }


def _list_acknowledgements(
    promoter: Promoter, access: GroupAccess, responses: Mapping[str, Response]
) -> Iterator[NodeAcknowledgements]:
    """Yield what this node and the others have acknowledged."""
    now_ms = promoter.clock.now_ms()
    known_ms = promoter.knows_nodes_since_ms()
    yield NodeAcknowledgements(access.evidence.acknowledged, known_ms)
    for response in responses.values():
        match response:
            case EvidenceWithdrawn():
                commits = AcknowledgedRange(
                    Position(response.least_term, response.least_sequence),
                    Position(response.most_term, response.most_sequence),
                )
                yield NodeAcknowledgements(commits, now_ms - response.running_ms)
            case BeliefWithdrawn(_, acknowledged_term):
                commits = AcknowledgedRange(Position(acknowledged_term, 0))
                yield NodeAcknowledgements(commits, math.inf)
            case _:
                yield NodeAcknowledgements(AcknowledgedRange(), math.inf)
    for departure in promoter.store_copy.departed.values():
        if departure.node.name not in responses:
            ended_ms = departure.at_ms + DEPARTURE_MS
            yield NodeAcknowledgements(AcknowledgedRange(), ended_ms)


def _log_responses(
    group: str, responses: Mapping[str, Response], elapsed_ms: float
) -> None:
    refused = [
        name for name, value in responses.items() if isinstance(value, NotRunning)
    ]
    silent = [name for name, value in responses.items() if value is None]
    log_event(
        Event.EVIDENCE_WITHDRAWN,
        group=group,
        confirmed=len(responses) - len(refused) - len(silent),
        refused=",".join(refused[:LOGGED_NODES]),
        silent=",".join(silent[:LOGGED_NODES]),
        elapsed_ms=round(elapsed_ms),
    )
