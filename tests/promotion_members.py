"""Members of a group in virtual time: replication, connections and promotions."""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import math
import random
from collections.abc import Callable, Collection, Iterator
from typing import Final

import attrs

from radishtrack.group.status import Role
from radishtrack.pooler.catalog import Member, MemberReport
from radishtrack.pooler.ports import LinkLost, LinkRefused, PromotionResult
from radishtrack.pooler.statements import (
    Fence,
    GetStatus,
    MemberResponse,
    MemberStatement,
    Refusal,
    Run,
    StepDown,
    Unfence,
)
from radishtrack.session.position import Position
from tests.member_model import Entry, ModelMember
from tests.virtual_time import get_virtual_loop

GROUP: Final = "orders"
PLATFORM: Final = "platform"
STORE: Final = "store"
TICK_MS: Final = 50.0
FOLLOW_MS: Final = 1_000.0
"""Time after which a replaced primary that reaches the new one follows it."""
LATE_ORDER_MS: Final = 2_000.0


@attrs.frozen(eq=False)
class Cut:
    """Two sets of processes between which no messages pass."""

    is_one: Callable[[str], bool]
    is_other: Callable[[str], bool]
    refuses: bool

    def separates(self, one: str, other: str) -> bool:
        """Return whether two processes are on different sides."""
        return (self.is_one(one) and self.is_other(other)) or (
            self.is_one(other) and self.is_other(one)
        )


@attrs.define(eq=False)
class Network:
    """Which processes reach each other; all do at first."""

    cuts: list[Cut] = attrs.field(factory=list)
    on_refusal: Callable[[], None] = lambda: None
    """Called when a cut begins that refuses connections."""

    def reaches(self, one: str, other: str) -> bool:
        """Return whether messages pass between two processes."""
        return not any(cut.separates(one, other) for cut in self.cuts)

    def refuses(self, one: str, other: str) -> bool:
        """Return whether connections between two processes are refused by a cut."""
        return any(cut.refuses and cut.separates(one, other) for cut in self.cuts)

    @contextlib.contextmanager
    def cut(
        self,
        one: Collection[str],
        is_other: Callable[[str], bool],
        *,
        refuses: bool = False,
    ) -> Iterator[None]:
        """Drop the messages between two sets of processes.

        With `refuses`, open connections are reset and new ones refused, as if no
        process listened; otherwise both are silent.
        """
        cut = Cut(lambda name: name in one, is_other, refuses)
        self.cuts.append(cut)
        if refuses:
            self.on_refusal()
        try:
            yield
        finally:
            self.cuts.remove(cut)


@attrs.define(eq=False)
class FleetMember(ModelMember):
    """A member that acknowledges commits once a replica has received them."""

    zone: str = "z"
    is_closed: bool = False
    """Whether its port refuses connections, although the process runs."""
    is_leaving: bool = False
    slow_ms: float = 0.0
    """Longest additional delay of a response."""
    received: dict[str, int] = attrs.field(factory=dict)
    """Entries of its log that each replica has received, while it leads."""
    follows_since_ms: float = math.inf
    links: list[MemberLinkModel] = attrs.field(factory=list)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    names_own_term: bool = False
    """Whether positions name the member's term instead of the last entry's."""

    @property
    def position(self) -> Position:
        """End of the log."""
        if self.names_own_term:
            return Position(self.term, len(self.log))
        return Position(self.log[-1].term if self.log else 0, len(self.log))

    def notify(self) -> None:
        """Wake the commits that wait."""
        self.changed.set()
        self.changed = asyncio.Event()

    def end(self) -> None:
        """End the process and its connections."""
        self.is_up = False
        self.received.clear()
        self.notify()
        self.end_links()

    def reset_links(self, network: Network) -> None:
        """End the connections that cuts refuse now."""
        for link in tuple(self.links):
            if network.refuses(link.node, self.name):
                link.lose("connection reset")
                self.links.remove(link)

    def end_links(self) -> None:
        """End the open connections."""
        for link in tuple(self.links):
            link.lose("connection reset")
        self.links.clear()


@attrs.define(eq=False)
class MemberGroup:
    """The members, and the platform's service that promotes one of them."""

    random: random.Random
    network: Network
    note: Callable[..., None]
    on_promotion: Callable[[FleetMember], None]
    on_change: Callable[[FleetMember], None]
    members: dict[str, FleetMember] = attrs.field(factory=dict)
    term: int = 1
    leader: str = ""
    token: int = 0
    entries: dict[str, list[Entry]] = attrs.field(factory=dict)
    """Commits by the identifier of their statement."""
    entry_count: int = 0
    synchronous_replicas: int = 1
    lifts_fences: bool = False
    """Whether a promotion ends the fences of replicas that reach the new primary."""
    late_controls: float = 0.0
    """Probability that a lost fence or its removal takes effect later."""
    late_orders: float = 0.0
    """Probability that an order takes effect late, and that its response is lost."""
    on_read: Callable[[str, FleetMember], None] = lambda _statement, _member: None
    """Called with a statement's identifier when a member runs a read."""

    async def run(self) -> None:
        """Replicate; never returns."""
        while True:
            await asyncio.sleep(TICK_MS / 1000)
            for member in self.members.values():
                self._follow(member)

    def _now_ms(self) -> float:
        return get_virtual_loop().time() * 1000.0

    def _later(self, low_ms: float, high_ms: float, call: Callable[[], None]) -> None:
        delay_ms = self.random.uniform(low_ms, high_ms)
        context = contextvars.Context()
        get_virtual_loop().call_later(delay_ms / 1000, call, context=context)

    def find_source(self, member: FleetMember) -> FleetMember | None:
        """Return the primary from which a member receives."""
        sources = [
            other
            for other in self.members.values()
            if other is not member
            and other.is_up
            and other.is_primary
            and other.term >= member.term
            and self.network.reaches(member.name, other.name)
        ]
        return max(sources, key=lambda other: other.term, default=None)

    def _follow(self, member: FleetMember) -> None:
        if not member.is_up:
            return
        source = self.find_source(member)
        if member.is_primary:
            is_replaced = source is not None and source.term > member.term
            if not is_replaced:
                member.follows_since_ms = math.inf
                return
            now_ms = self._now_ms()
            member.follows_since_ms = min(member.follows_since_ms, now_ms)
            if now_ms - member.follows_since_ms >= FOLLOW_MS:
                self._depose(member)
            return
        if source is None:
            return
        if self.lifts_fences and source.term >= member.fenced_term:
            member.fenced_term = 0
        if len(member.log) < len(source.log) or member.term < source.term:
            self._send(source, member, len(source.log))

    def _depose(self, member: FleetMember) -> None:
        member.is_primary = False
        member.follows_since_ms = math.inf
        member.notify()
        self.on_change(member)
        self.note("deposed", member.name)

    def _send(self, source: FleetMember, member: FleetMember, length: int) -> None:
        process, own = source.process, member.process

        def receive() -> None:
            runs = source.is_up and source.process == process and source.is_primary
            is_same = member.is_up and member.process == own and not member.is_primary
            if not (runs and is_same) or member.fenced_term or member.is_deaf:
                return
            if self._now_ms() < member.resumes_ms:
                return
            if self.find_source(member) is not source:
                return
            self._receive(member, source, length)
            received, receiver = len(member.log), member.name
            self._later(0.5, 4.0, lambda: acknowledge(received, receiver))

        def acknowledge(received: int, receiver: str) -> None:
            runs = source.is_up and source.process == process and source.is_primary
            if runs and self.network.reaches(receiver, source.name):
                known = source.received.get(receiver, 0)
                source.received[receiver] = max(known, received)
                source.notify()

        self._later(0.5, 8.0, receive)

    def _receive(self, member: FleetMember, source: FleetMember, length: int) -> None:
        if member.term < source.term:
            common = 0
            for own, other in zip(member.log, source.log, strict=False):
                if own is not other:
                    break
                common += 1
            if len(member.log) > common:
                self.note("rolled back", member.name, len(member.log), common)
                del member.log[common:]
            member.term = source.term
            self.on_change(member)
        if len(member.log) < length:
            member.log.extend(source.log[len(member.log) : length])

    def commit(self, member: FleetMember, statement_id: str) -> Entry:
        """Append a commit to a primary's log and send it to the replicas."""
        self.entry_count += 1
        entry = Entry(member.term, len(member.log) + 1, self.entry_count)
        member.log.append(entry)
        self.entries.setdefault(statement_id, []).append(entry)
        for other in self.members.values():
            if other is not member and other.is_up and not other.is_primary:
                self._send(member, other, len(member.log))
        return entry

    async def promote(
        self, group: str, name: str, node: str, token: int
    ) -> PromotionResult:
        """Take an order as the platform does; it takes effect later."""
        await asyncio.sleep(self.random.uniform(0.004, 0.03))
        if not self.network.reaches(node, PLATFORM):
            await asyncio.sleep(0.8)
            return PromotionResult.UNKNOWN
        is_late = self.random.random() < self.late_orders
        is_lost = self.random.random() < self.late_orders
        member = self.members.get(name)
        if token < self.token or member is None or not member.is_up:
            self.note("order refused", node, name, token)
            return PromotionResult.REFUSED
        self.token = token
        process = member.process
        self.note("order", node, name, token, "late" if is_late else "")
        self._later(
            *((600.0, LATE_ORDER_MS) if is_late else (100.0, 600.0)),
            lambda: self._finish_promotion(member, process),
        )
        if is_lost:
            await asyncio.sleep(0.8)
            return PromotionResult.UNKNOWN
        return PromotionResult.ACCEPTED

    def _finish_promotion(self, member: FleetMember, process: int) -> None:
        # A process that is started after the order has nothing to lead with, and no
        # caller can prevent that, so the platform drops the order.
        if not member.is_up or member.process != process or member.name == self.leader:
            self.note("order dropped", member.name)
            return
        self.term += 1
        self.leader = member.name
        member.is_primary, member.fenced_term, member.term = True, 0, self.term
        member.received.clear()
        self.on_promotion(member)
        self.on_change(member)

    async def open_link(
        self, node: str, member: Member, timeout_ms: float
    ) -> MemberLinkModel:
        """Connect a node to a member."""
        await asyncio.sleep(self.random.uniform(0.001, 0.005))
        model = self.members.get(member.name)
        if model is None:
            raise LinkRefused("Connection refused", has_no_listener=True)
        if self.network.refuses(node, member.name):
            raise LinkRefused("Connection refused", has_no_listener=True)
        if not self.network.reaches(node, member.name):
            await asyncio.sleep(timeout_ms / 1000)
            raise LinkRefused(f"no connection within {timeout_ms:.0f} ms")
        if not model.is_up or model.is_closed:
            raise LinkRefused("Connection refused", has_no_listener=True)
        link = MemberLinkModel(self, node, model, model.process)
        model.links.append(link)
        return link


@attrs.define(eq=False)
class MemberLinkModel:
    """A connection of a node to a member's process."""

    group: MemberGroup
    node: str
    member: FleetMember
    process: int
    is_closed: bool = False
    ended: asyncio.Event = attrs.field(factory=asyncio.Event)
    reason: str = "closed"
    on_end: Callable[[], None] | None = None

    def watch_end(self, on_end: Callable[[], None]) -> None:
        """Call `on_end` if the member ends the connection."""
        self.on_end = on_end

    def close(self) -> None:
        """Close the connection."""
        self.is_closed = True
        if self in self.member.links:
            self.member.links.remove(self)
        self.ended.set()

    def lose(self, reason: str) -> None:
        """End the connection from the member's side, if the node can learn of it."""
        network, names = self.group.network, (self.node, self.member.name)
        if self.is_closed or not (network.reaches(*names) or network.refuses(*names)):
            return
        self.reason = reason
        self.is_closed = True
        self.ended.set()
        if self.on_end is not None:
            self.on_end()

    async def run(
        self,
        statement: MemberStatement,
        *,
        min_position: Position | None,
        timeout_ms: float,
    ) -> MemberResponse:
        """Run a statement; it goes on at the member if the caller gives up."""
        if self.is_closed:
            raise LinkLost(self.reason, is_sent=False)
        serving = asyncio.create_task(
            self._serve(statement), context=contextvars.Context()
        )
        ended = asyncio.create_task(self.ended.wait())
        loop = get_virtual_loop()
        until_s = loop.time() + timeout_ms / 1000
        try:
            await asyncio.wait(
                (serving, ended),
                timeout=timeout_ms / 1000,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if serving.done() and not self.is_closed:
                response = serving.result()
                if response is not None:
                    return response
                await asyncio.wait((ended,), timeout=max(0.0, until_s - loop.time()))
        finally:
            ended.cancel()
        reason = self.reason if self.is_closed else "no response in time"
        self.close()
        raise LinkLost(reason, is_sent=True)

    def _reaches(self) -> bool:
        return self.group.network.reaches(self.node, self.member.name)

    def _runs(self) -> bool:
        return self.member.is_up and self.member.process == self.process

    async def _serve(self, statement: MemberStatement) -> MemberResponse | None:
        """Run a statement; return None if there is no response."""
        group, member = self.group, self.member
        delay_ms = group.random.uniform(0.5, 4.0)
        delay_ms += group.random.uniform(0.0, member.slow_ms)
        await asyncio.sleep(delay_ms / 1000)
        is_late = False
        if not self._reaches():
            is_control = isinstance(statement, Fence | Unfence | StepDown)
            if not is_control or group.random.random() >= group.late_controls:
                return None
            is_late = True
            await asyncio.sleep(group.random.uniform(0.3, 4.0))
            if not self._reaches():
                return None
        if not self._runs():
            return None
        if is_late:
            group.note("late", type(statement).__name__, member.name)
        response = await self._execute(statement)
        await asyncio.sleep(group.random.uniform(0.5, 4.0) / 1000)
        if is_late or not self._reaches() or not self._runs():
            return None
        return response

    async def _execute(self, statement: MemberStatement) -> MemberResponse | None:
        group, member = self.group, self.member
        match statement:
            case GetStatus():
                pass
            case Fence(term):
                if not member.is_primary and term > member.term:
                    member.fenced_term = max(member.fenced_term, term)
                    group.note("fence", self.node, member.name, term, member.position)
            case Unfence():
                if member.fenced_term:
                    group.note("unfence", self.node, member.name, member.fenced_term)
                member.fenced_term = 0
            case StepDown(term):
                if member.is_primary and term > member.term:
                    group._depose(member)
            case Run(statement_id, _, True):
                return await self._write(statement_id)
            case Run(statement_id, _, False):
                group.on_read(statement_id, member)
                return MemberResponse(signature="x", position=member.position)
            case _:
                return MemberResponse(signature="x", position=member.position)
        return MemberResponse(report=self._make_report(), position=member.position)

    def _make_report(self) -> MemberReport:
        member = self.member
        role = Role.PRIMARY if member.is_primary else Role.REPLICA
        return MemberReport(
            member.name, member.term, member.fenced_term, role, member.position, 0.0
        )

    async def _write(self, statement_id: str) -> MemberResponse | None:
        member = self.member
        if not member.is_primary:
            return MemberResponse(refusal=Refusal.READ_ONLY, position=member.position)
        entry = self.group.commit(member, statement_id)
        while self._runs() and entry.is_in(member.log):
            receivers = sum(n >= entry.sequence for n in member.received.values())
            if receivers >= self.group.synchronous_replicas:
                return MemberResponse(signature="x", position=member.position)
            await member.changed.wait()
        return None
