"""Withdraws all nodes' evidence of a term, and collects what they have acknowledged."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import TYPE_CHECKING, Final

import attrs

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
from radishtrack.pooler.catalog import NodeRecord
from radishtrack.pooler.evidence import EVIDENCE_VALID_MS
from radishtrack.pooler.group_access import GroupAccess
from radishtrack.pooler.peers import MakeMessage, Peers, Refused
from radishtrack.pooler.store_copy import DEPARTURE_MS
from radishtrack.session.position import Position

if TYPE_CHECKING:
    from radishtrack.pooler.promoter import Promoter

INVALIDATE_TIMEOUT_MS: Final = 200.0
"""Time limit for nodes to confirm."""
REPEAT_MS: Final = 250.0
"""Pause before nodes that have not confirmed are asked again. A node that was restarted
confirms as soon as it listens."""
LOGGED_NODES: Final = 5
"""Nodes without a confirmation that an event names, of each kind."""

Response = Message | Refused | None


@attrs.frozen
class Withdrawal:
    """What is known once no node has valid evidence of a term any more.

    Parameters
    ----------
    acknowledged : FleetAcknowledgements
        What the nodes have acknowledged.
    is_confirmed : bool
        Whether every node has confirmed it, so that none acknowledges commits before
        the order that the store has marked has taken effect or was given up.
    """

    acknowledged: FleetAcknowledgements
    is_confirmed: bool


async def withdraw_evidence(
    promoter: Promoter, access: GroupAccess, fenced_ms: float
) -> Withdrawal:
    """Wait until no node has valid evidence of a term.

    That is the case once every node has confirmed it, or else when the evidence from
    before the fence has expired. A refused connection confirms nothing, since the node
    may run behind a cut. The list of nodes must be read after the members were fenced:
    a node that registers later can't obtain evidence of the old term.

    Parameters
    ----------
    promoter : Promoter
        The promoter of this node.
    access : GroupAccess
        The group.
    fenced_ms : float
        Time in milliseconds at which its members were fenced.
    """
    clock, peers = promoter.clock, promoter.peers
    expires_ms = fenced_ms + EVIDENCE_VALID_MS
    access.withdraw_evidence()
    is_complete = await promoter.store_copy.read_records()
    nodes = {node.name: node for node in peers.others()}
    responses = await request_withdrawals(peers, access.name, nodes.values())
    while True:
        unconfirmed = [
            name for name, response in responses.items() if not _is_confirmed(response)
        ]
        knows_nodes = clock.now_ms() > promoter.knows_nodes_since_ms()
        is_confirmed = is_complete and knows_nodes and not unconfirmed
        remaining_ms = expires_ms - clock.now_ms()
        if is_confirmed or remaining_ms <= 0:
            break
        await asyncio.sleep(min(REPEAT_MS, remaining_ms) / 1000)
        timeout_ms = min(INVALIDATE_TIMEOUT_MS, expires_ms - clock.now_ms())
        if unconfirmed and timeout_ms > 0:
            # A restarted node may listen elsewhere.
            nodes |= {node.name: node for node in peers.others() if node.name in nodes}
            responses |= await request_withdrawals(
                peers, access.name, [nodes[name] for name in unconfirmed], timeout_ms
            )
    _log_responses(access.name, responses, clock.now_ms() - fenced_ms)
    acknowledged = list(_list_acknowledgements(promoter, access, responses))
    if not is_complete:
        acknowledged.append(NodeAcknowledgements(AcknowledgedRange(), math.inf))
    return Withdrawal(merge_acknowledgements(acknowledged), is_confirmed)


async def request_withdrawals(
    peers: Peers,
    group: str,
    nodes: Iterable[NodeRecord],
    timeout_ms: float = INVALIDATE_TIMEOUT_MS,
) -> dict[str, Response]:
    """Request nodes to withdraw their evidence; return the responses by name.

    Parameters
    ----------
    peers : Peers
        Links to the other nodes.
    group : str
        Name of the group.
    nodes : iterable of NodeRecord
        The nodes.
    timeout_ms : float
        Time limit in milliseconds of each of two requests: earlier versions of this
        program know only the second one.
    """
    asked = tuple(nodes)
    responses = await _request(
        peers, asked, lambda request: WithdrawEvidence(request, group), timeout_ms
    )
    silent = [node for node in asked if responses[node.name] is None]
    return responses | await _request(
        peers, silent, lambda request: WithdrawBelief(request, group), timeout_ms
    )


async def _request(
    peers: Peers,
    nodes: Sequence[NodeRecord],
    make_message: MakeMessage,
    timeout_ms: float,
) -> dict[str, Response]:
    responses = await asyncio.gather(
        *(peers.send_request(node, make_message, timeout_ms) for node in nodes)
    )
    return {
        node.name: response for node, response in zip(nodes, responses, strict=True)
    }


def _is_confirmed(response: Response) -> bool:
    return isinstance(response, EvidenceWithdrawn | BeliefWithdrawn)


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
    refused = [name for name, value in responses.items() if isinstance(value, Refused)]
    silent = [name for name, value in responses.items() if value is None]
    log_event(
        Event.EVIDENCE_WITHDRAWN,
        group=group,
        confirmed=len(responses) - len(refused) - len(silent),
        refused=",".join(refused[:LOGGED_NODES]),
        silent=",".join(silent[:LOGGED_NODES]),
        elapsed_ms=round(elapsed_ms),
    )
