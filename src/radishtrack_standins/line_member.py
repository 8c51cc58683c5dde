"""A database member that speaks the users' line protocol, with settable faults."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Iterator

import attrs

from radishtrack.platform.lines import ConnectionEnded, LineConnection, encode_line


@attrs.define
class MemberFaults:
    """Faults that a test sets; none at first."""

    is_unresponsive: bool = False
    """Sends no responses, not even on open connections."""
    lose_answers: int = 0
    """Count of upcoming reads, writes and commits that run but lose their response."""
    refuse_with: str = ""
    """Error code with which all reads and writes are refused; empty for none."""
    work_ms: float = 0.0
    """Delay before each statement runs."""


@attrs.define(eq=False)
class LineMember:
    """A member of a group; `start` opens its port.

    Parameters
    ----------
    group : str
        Name of the service.
    name : str
        Name of the member; a client can require it when it connects.
    role : str
        ``primary`` or ``replica``.
    """

    group: str
    name: str
    role: str
    term: int = 1
    received: int = 0
    applied: int = 0
    fenced_term: int = 0
    connection_limit: int = 16
    faults: MemberFaults = attrs.field(factory=MemberFaults)
    replicas: list[LineMember] = attrs.field(factory=list)
    replicas_apply: bool = True
    replicate: Callable[[str], bool] | None = None
    """Replaces this class's own replication: appends a commit to the group's logs and
    returns whether a replica has received it. If none has, the commit gets no
    response."""
    on_run: Callable[[str, str], None] | None = None
    """Called with organisation and identifier of each statement that runs."""
    rows: tuple[str, ...] = ()
    """Rows that reads return besides the member's position."""
    open_connections: set[LineConnection] = attrs.field(factory=set)
    ran: list[tuple[str, str, str]] = attrs.field(factory=list)
    """Organisation, identifier and text of each statement that ran."""
    session_values: list[dict[str, str]] = attrs.field(factory=list)
    """Session values (`SET`) with which each of these statements ran."""
    opened: int = 0
    server: asyncio.Server | None = None
    port: int = 0
    result_numbers: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))

    async def start(self, port: int = 0) -> None:
        """Listen on the loopback interface."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: LineConnection(self._accept), "127.0.0.1", port
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and reset all connections, like a crash."""
        if self.server is not None:
            self.server.close()
        for connection in tuple(self.open_connections):
            connection.abort()

    def promote(self) -> None:
        """Become the primary of the next term with all received commits."""
        self.term, self.role, self.fenced_term = self.term + 1, "primary", 0
        self.applied = self.received

    @property
    def position(self) -> str:
        """Position up to which a read sees the log."""
        return f"{self.term}.{self.applied}"

    def _accept(self, connection: LineConnection) -> None:
        self.open_connections.add(connection)
        self.opened += 1
        task = asyncio.create_task(_serve(self, connection))
        task.add_done_callback(lambda _: self.open_connections.discard(connection))


@attrs.define
class _Session:
    member: LineMember
    organisation: str
    values: dict[str, str] = attrs.field(factory=dict)
    prepared: dict[str, str] = attrs.field(factory=dict)
    state: str = "I"
    has_written: bool = False
    is_read_only: bool = False

    def run_statement(self, statement_id: str, text: str) -> list[str]:
        """Run a statement; return the lines of its response without `READY`."""
        member = self.member
        words = text.split(" ")
        if words[0] == "SINCE":
            if read_lacks_position(member, words[1]):
                return [f"ERROR LAGGING {member.name}"]
            words = words[2:]
        match words:
            case ["STATUS"]:
                return self._make_status()
            case ["PAUSE", term]:
                member.fenced_term = int(term)
                return self._make_status()
            case ["RESUME"]:
                member.fenced_term = 0
                return self._make_status()
            case ["STEPDOWN", term]:
                if int(term) > member.term:
                    member.role = "replica"
                return self._make_status()
            case ["SET", name, value]:
                self.values[name] = value
            case ["PREPARE", name, mode, _]:
                self.prepared[name] = mode
            case ["DISCARD"]:
                self.values.clear()
                self.prepared.clear()
            case ["BEGIN", *mode]:
                if not mode and member.role != "primary":
                    return [f"ERROR READONLY {member.name}"]
                self.state, self.has_written = "T", False
            case ["ROLLBACK"]:
                self.state = "I"
            case ["COMMIT"]:
                return self._commit(statement_id, text)
            case ["READ", *_] | ["WRITE", *_] | ["EXECUTE", *_]:
                return self._execute(statement_id, text, words)
            case _:
                return [f"ERROR MALFORMED {words[0]}"]
        return ["COMPLETE -"]

    def _make_status(self) -> list[str]:
        member = self.member
        row = (
            f"DATAROW {member.role} {member.term} {member.term}.{member.received} "
            f"{member.fenced_term} 0 0 {len(member.open_connections)}"
        )
        return [row, "COMPLETE -"]

    def _commit(self, statement_id: str, text: str) -> list[str]:
        member = self.member
        self.state = "I"
        if self.has_written:
            if member.role != "primary":
                return [f"ERROR READONLY {member.name}"]
            self._append(statement_id)
        return self._complete(statement_id, text, [])

    def _execute(self, statement_id: str, text: str, words: list[str]) -> list[str]:
        member = self.member
        is_write = words[0] == "WRITE"
        if words[0] == "EXECUTE":
            if words[1] not in self.prepared:
                return self._fail(f"ERROR NOSTMT {words[1]}")
            is_write = self.prepared[words[1]] == "WRITE"
        if member.faults.refuse_with:
            return self._fail(f"ERROR {member.faults.refuse_with} {member.name}")
        if is_write and member.role != "primary":
            return self._fail(f"ERROR READONLY {member.name}")
        if is_write and self.state == "I":
            self._append(statement_id)
        self.has_written = self.has_written or is_write
        rows = [] if is_write else [f"{member.name}@{member.position}", *member.rows]
        lines = [f"DATAROW {row}" for row in rows]
        return self._complete(statement_id, text, lines)

    def _fail(self, line: str) -> list[str]:
        if self.state == "T":
            self.state = "E"
        return [line]

    def _append(self, statement_id: str) -> None:
        member = self.member
        if member.replicate is not None:
            if not member.replicate(statement_id):
                raise ConnectionEnded("no replica has received the commit")
            return
        member.received += 1
        member.applied = member.received
        for replica in member.replicas:
            if not replica.fenced_term:
                replica.received = member.received
                if member.replicas_apply:
                    replica.applied = member.received

    def _complete(self, statement_id: str, text: str, rows: list[str]) -> list[str]:
        member = self.member
        if member.on_run is not None:
            member.on_run(self.organisation, statement_id)
        member.ran.append((self.organisation, statement_id, text))
        member.session_values.append(dict(self.values))
        return [*rows, f"COMPLETE {member.name}.{next(member.result_numbers)}"]


def read_lacks_position(member: LineMember, position: str) -> bool:
    """Return whether a read at a member may miss commits up to a position.

    Parameters
    ----------
    member : LineMember
        The member that would run the read.
    position : str
        ``TERM.NUMBER``. Numbers go on from one term to the next, so the term alone
        tells apart logs that differ after a rollback.
    """
    term, number = map(int, position.split("."))
    return term > member.term or number > member.applied


async def _serve(member: LineMember, connection: LineConnection) -> None:
    try:
        words = (await connection.read_line()).split(" ")
        if words[1] != member.group or words[3:] not in ([], [member.name]):
            connection.write(encode_line(f"ERROR WRONGNODE {member.name}"))
            return
        if len(member.open_connections) > member.connection_limit:
            connection.write(encode_line(f"ERROR CONNLIMIT {member.name}"))
            return
        session = _Session(member, words[2])
        if member.faults.is_unresponsive:
            await asyncio.Event().wait()
        connection.write(encode_line(f"READY I {member.position}"))
        while True:
            await _serve_next(session, connection)
    except ConnectionEnded:
        pass
    finally:
        connection.close()


async def _serve_next(session: _Session, connection: LineConnection) -> None:
    line = await connection.read_line()
    member = session.member
    if line == "TERMINATE":
        raise ConnectionEnded("terminated")
    _, statement_id, text = line.split(" ", 2)
    if member.faults.is_unresponsive:
        await asyncio.Event().wait()
    if member.faults.work_ms:
        await asyncio.sleep(member.faults.work_ms / 1000)
    lines = session.run_statement(statement_id, text)
    if statement_id != "-" and member.faults.lose_answers:
        member.faults.lose_answers -= 1
        connection.abort()
        raise ConnectionEnded("injected fault: response lost")
    lines.append(f"READY {session.state} {member.position}")
    await connection.send(encode_line("\r\n".join(lines)))
