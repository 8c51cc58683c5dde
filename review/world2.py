"""Stand-ins for the cases of the second review: store, members, network and clients.

They need nothing but the standard library. All addresses are loopback addresses. Nodes
are started with the commands of the deploy file, as separate processes.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import unquote

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HEARTBEAT_S = 1.2
STORE_ANSWER_S = 0.004
PROMOTE_S = 0.3
DRAIN_S = 7.0
MAX_CONNECTIONS = 34
SLOTS = 3
HANDSHAKE_S = 0.012
LAG_S = 0.06
"""Time after which a replica applies what it has received."""
GROUP = "kalmistu-db"
DATABASE = "rounds"
KEY = "key-1"
TENANT = "tenant-1"


def now_s() -> float:
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started_s = now_s()

    def write(self, text: str) -> None:
        self.file.write(f"{now_s() - self.started_s:9.4f} {text}\n")

    def say(self, text: str) -> None:
        self.write(text)
        self.file.flush()
        print(text, flush=True)


class Pipe:
    """A network path: a proxy in front of one address, which can refuse."""

    def __init__(self, host: str, port: int) -> None:
        self.target = (host, port)
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def refuse(self) -> None:
        """Reset all connections and refuse new ones."""
        assert self.server is not None
        self.server.close()
        for writer in tuple(self.writers):
            reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        far: asyncio.StreamWriter | None = None
        try:
            far_reader, far = await asyncio.open_connection(*self.target)
            self.writers.add(far)
            await asyncio.gather(copy_bytes(reader, far), copy_bytes(far_reader, writer))
        except (OSError, asyncio.CancelledError):
            reset(writer)
        finally:
            for end in (writer, far):
                if end is not None:
                    self.writers.discard(end)
                    end.close()


async def copy_bytes(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while data := await reader.read(65_536):
        writer.write(data)
        await writer.drain()
    with contextlib.suppress(OSError):
        writer.write_eof()


def reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    writer.transport.abort()


class Store:
    """The platform's store and its promotion call."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.objects: dict[tuple[str, str], dict] = {}
        self.revision = 10
        self.group: Group | None = None

    async def open(self, show=lambda kind, stored: stored) -> int:
        """Listen on another port, whose readers get objects as `show` returns them."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while await self._serve_one(reader, writer, show):
                    pass
            writer.close()

        server = await asyncio.start_server(serve, HOST, 0)
        return server.sockets[0].getsockname()[1]

    def put(self, kind: str, name: str, spec: object) -> dict:
        old = self.objects.get((kind, name))
        if old is not None and old["spec"] == spec:
            return old
        self.revision += 1
        created = self.revision if old is None else old["meta"]["createdRev"]
        meta = {
            "name": name,
            "revision": self.revision,
            "createdRev": created,
            "finalizers": [],
            "deletionPending": False,
        }
        stored = {"meta": meta, "spec": spec, "status": None}
        self.objects[kind, name] = stored
        return stored

    def remove(self, kind: str, name: str) -> None:
        if self.objects.pop((kind, name), None) is not None:
            self.revision += 1

    async def _serve_one(self, reader, writer, show) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        method, target, _ = head[0].split(" ")
        headers = dict(
            (name.lower(), value.strip())
            for name, _, value in (line.partition(":") for line in head[1:] if line)
        )
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        await asyncio.sleep(STORE_ANSWER_S)
        status, answer = self._answer(method, target, headers, body, show)
        data = json.dumps(answer).encode()
        writer.write(
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n".encode()
            + data
        )
        await writer.drain()
        return True

    def _answer(self, method, target, headers, body, show):
        path, _, query = target.partition("?")
        data = json.loads(body) if body else None
        if path == "/promotion":
            self.record.say(
                f"promotion of {data['id']} by {headers['x-duty-holder']} "
                f"with token {headers['x-fencing-token']}"
            )
            return self.group.promote(data["id"]), {}
        _, _, _, kind, *rest = map(unquote, path.split("/"))
        if not rest:
            if method == "POST":
                name = data["meta"]["name"]
                if (kind, name) in self.objects:
                    return 409, self.objects[kind, name]
                return 201, self.put(kind, name, data["spec"])
            after = unquote(query.partition("after=")[2].partition("&")[0])
            names = sorted(n for k, n in self.objects if k == kind and n > after)
            items = [show(kind, self.objects[kind, name]) for name in names]
            return 200, {"items": items, "hasMore": False, "atRev": self.revision}
        stored = self.objects.get((kind, rest[0]))
        if stored is None:
            return 404, None
        if method == "PUT":
            expected = data["meta"].get("revision")
            if expected not in (None, stored["meta"]["revision"]):
                return 409, stored
            return 200, self.put(kind, rest[0], data["spec"])
        if method == "DELETE":
            self.remove(kind, rest[0])
            return 200, stored
        return 200, show(kind, stored)


class Member:
    """A member of the group; its log is a list of (term, statement id)."""

    def __init__(self, group: Group, name: str) -> None:
        self.group, self.name = group, name
        self.role, self.term, self.fenced = "replica", 1, 0
        self.log: list[tuple[int, str]] = []
        self.applied = 0
        self.state = "ready"
        self.reaches_store = True
        self.is_running = False
        self.born = 0
        self.sequence = 0
        self.written_s = 0.0
        self.slots = asyncio.Semaphore(SLOTS)
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.born = time.time_ns() // 1_000_000
        self.is_running = True

    async def stop(self) -> None:
        self.is_running = False
        assert self.server is not None
        self.server.close()
        for writer in tuple(self.writers):
            reset(writer)

    @property
    def position(self) -> str:
        """Position of the received log."""
        return f"{self.term}.{len(self.log)}"

    @property
    def visible(self) -> str:
        """Position that reads see."""
        return f"{self.term}.{self.applied}"

    def take(self, log: list[tuple[int, str]], lag_s: float) -> None:
        """Take over a log, of which the end is applied after `lag_s`."""
        self.log, number = list(log), len(log)
        self.applied = min(self.applied, number)
        if lag_s:
            loop = asyncio.get_running_loop()
            loop.call_later(lag_s, self.apply, number, self.term)
        else:
            self.applied = number

    def apply(self, number: int, term: int) -> None:
        if self.term == term:
            self.applied = max(self.applied, min(number, len(self.log)))

    def entry(self) -> dict:
        return {
            "service": GROUP,
            "address": f"{HOST}:{self.port}",
            "zone": "harju-a",
            "version": "1",
            "slots": SLOTS,
            "state": self.state,
            "coldLeftMs": 0,
            "sequence": self.sequence,
            "dbRole": self.role,
            "born": self.born,
        }

    def beat(self) -> None:
        """Write the entry, unless the store can't be reached."""
        if self.is_running and self.reaches_store:
            self.sequence += 1
            self.written_s = now_s()
            self.group.store.put("servers", self.name, self.entry())

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        session = Session(self)
        try:
            words = (await reader.readuntil(b"\r\n")).decode().strip().split(" ")
            if words[1] != GROUP or words[3:] not in ([], [self.name]):
                writer.write(f"ERROR WRONGNODE {self.name}\r\n".encode())
                return
            if len(self.writers) > MAX_CONNECTIONS:
                writer.write(f"ERROR CONNLIMIT {self.name}\r\n".encode())
                return
            await asyncio.sleep(HANDSHAKE_S)
            writer.write(f"READY I {self.visible}\r\n".encode())
            while True:
                line = (await reader.readuntil(b"\r\n")).decode().removesuffix("\r\n")
                if line == "TERMINATE":
                    return
                _, statement_id, text = line.split(" ", 2)
                lines = await session.run(statement_id, text)
                lines.append(f"READY {session.state} {self.visible}")
                writer.write(("\r\n".join(lines) + "\r\n").encode())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Session:
    """State of one connection to a member."""

    def __init__(self, member: Member) -> None:
        self.member = member
        self.state = "I"
        self.has_written = False

    async def run(self, statement_id: str, text: str) -> list[str]:
        """Run a statement; return the lines of its response without `READY`."""
        member = self.member
        words = text.split(" ")
        if words[0] == "SINCE":
            term, number = map(int, words[1].split("."))
            words = words[2:]
            if term > member.term or number > member.applied:
                return [f"ERROR LAGGING {member.name}"]
        match words:
            case ["STATUS"]:
                return self._status()
            case ["PAUSE", term]:
                if member.role == "replica" and int(term) > member.term:
                    member.fenced = int(term)
                    member.group.record.write(f"{member.name} paused at {member.position}")
                return self._status()
            case ["RESUME"]:
                member.fenced = 0
                return self._status()
            case ["STEPDOWN", term]:
                if member.role == "primary" and int(term) > member.term:
                    member.group.step_down(member)
                return self._status()
            case ["SET", *_] | ["PREPARE", *_] | ["DISCARD"]:
                return ["COMPLETE -"]
            case ["BEGIN", *mode]:
                if not mode and member.role != "primary":
                    return [f"ERROR READONLY {member.name}"]
                self.state, self.has_written = "T", False
                return ["COMPLETE -"]
            case ["ROLLBACK"]:
                self.state = "I"
                return ["COMPLETE -"]
        async with member.slots:
            if words[0] == "READ":
                # A read sees the log as it is when it starts to run.
                seen = tuple(entry for _, entry in member.log[: member.applied])
                member.group.reads[statement_id] = (member.name, member.visible, seen)
                member.group.record.write(
                    f"{member.name} runs read {statement_id} on {member.visible}"
                )
            await asyncio.sleep(member.group.work_s)
        return await self._finish(statement_id, words)

    async def _finish(self, statement_id: str, words: list[str]) -> list[str]:
        member = self.member
        complete = [f"COMPLETE {member.name}.{statement_id}"]
        if words[0] == "READ":
            return [f"DATAROW {member.visible}", *complete]
        if member.role != "primary":
            if self.state == "T":
                self.state = "E"
            return [f"ERROR READONLY {member.name}"]
        if words[0] == "WRITE" and self.state == "T":
            self.has_written = True
            return complete
        if words[0] == "COMMIT":
            self.state = "I"
            if not self.has_written:
                return complete
        if not await member.group.commit(member, statement_id):
            return [f"ERROR READONLY {member.name}"]
        return complete

    def _status(self) -> list[str]:
        member = self.member
        lag_ms = 0 if member.applied == len(member.log) else int(LAG_S * 1000)
        row = (
            f"DATAROW {member.role} {member.term} {member.position} {member.fenced} "
            f"{lag_ms} {SLOTS - member.slots._value} {len(member.writers)}"
        )
        return [row, "COMPLETE -"]


class Group:
    """The members of the database and their replication."""

    def __init__(self, store: Store, record: Record, work_s: float) -> None:
        self.store, self.record, self.work_s = store, record, work_s
        store.group = self
        self.members: dict[str, Member] = {}
        self.reads: dict[str, tuple[str, str, tuple[str, ...]]] = {}
        self.isolated: set[str] = set()
        """Members that no other member reaches."""
        self.promoted: list[tuple[float, str, tuple[str, ...]]] = []
        """Time, member and its log at each promotion that took effect."""

    async def add(self, name: str, *, reaches_store: bool = True) -> Member:
        """Start a member, which receives the primary's log from then on."""
        member = Member(self, name)
        await member.start()
        member.reaches_store = reaches_store
        self.members[name] = member
        primary = self.primary
        if primary is not None:
            member.term = primary.term
            member.take(primary.log, 0.0)
        member.beat()
        return member

    @property
    def primary(self) -> Member | None:
        leaders = [
            m for m in self.members.values() if m.is_running and m.role == "primary"
        ]
        return max(leaders, key=lambda m: m.term, default=None)

    async def commit(self, member: Member, statement_id: str) -> bool:
        """Append a commit; wait until a replica has it. False if the lead was lost."""
        member.log.append((member.term, statement_id))
        number, term = len(member.log), member.term
        member.applied = number
        self.record.write(f"{member.name} commits {statement_id} as {member.position}")
        while True:
            await asyncio.sleep(0.0005)
            if member.role != "primary" or not member.is_running:
                raise ConnectionResetError
            followers = [
                other
                for other in self.members.values()
                if other.is_running
                and other is not member
                and other.role == "replica"
                and other.term == term
                and not self.isolated & {member.name, other.name}
            ]
            for other in followers:
                if not other.fenced and len(other.log) < len(member.log):
                    other.take(member.log, LAG_S)
            if any(len(other.log) >= number for other in followers):
                return True

    def promote(self, name: str) -> int:
        member = self.members.get(name)
        if member is None or not member.is_running:
            return 409
        if member.role != "primary":
            asyncio.get_running_loop().call_later(PROMOTE_S, self._lead, member)
        return 200

    def _lead(self, member: Member) -> None:
        if not member.is_running or member.role == "primary":
            return
        old = self.primary
        member.term = max(m.term for m in self.members.values()) + 1
        member.role, member.fenced = "primary", 0
        member.applied = len(member.log)
        self.promoted.append((now_s(), member.name, tuple(e for _, e in member.log)))
        self.record.say(f"{member.name} leads term {member.term} from {member.position}")
        for other in self.members.values():
            is_reached = not self.isolated & {member.name, other.name}
            if other.is_running and other.role == "replica" and is_reached:
                other.term, other.fenced = member.term, 0
                other.take(member.log, LAG_S)
        member.beat()
        if old is not None:
            asyncio.get_running_loop().call_later(1.0, self.step_down, old)

    def step_down(self, member: Member) -> None:
        """Make a replaced primary a replica as soon as it reaches the new one."""
        primary = self.primary
        if member.name in self.isolated:
            asyncio.get_running_loop().call_later(1.0, self.step_down, member)
            return
        if primary is None or primary is member or member.role != "primary":
            return
        member.role, member.term = "replica", primary.term
        member.take(primary.log, LAG_S)
        self.record.write(f"{member.name} follows {primary.name}")
        member.beat()

    async def release(self, name: str, successor: str) -> None:
        """Replace a member: the new one starts first, the old one drains and exits."""
        await self.add(successor)
        self.record.say(f"{successor} started")
        await asyncio.sleep(1.0)
        member = self.members[name]
        member.state = "draining"
        member.beat()
        self.record.say(f"{name} ({member.role}) reports that it is draining")
        asyncio.get_running_loop().call_later(
            DRAIN_S + 0.5, lambda: asyncio.ensure_future(self._leave(member))
        )

    async def _leave(self, member: Member) -> None:
        await member.stop()
        self.store.remove("servers", member.name)
        self.record.say(f"{member.name} has left")

    async def run(self) -> None:
        """Write heartbeats; remove entries after three intervals of silence."""
        beats = 0
        while True:
            await asyncio.sleep(0.1)
            beats += 1
            for number, member in enumerate(tuple(self.members.values())):
                if (beats + number) % 12 == 0:
                    member.beat()
                silent_s = now_s() - member.written_s
                if member.written_s and silent_s > 3 * HEARTBEAT_S:
                    self.store.remove("servers", member.name)


class Node:
    """A node's process, and the paths from it to the store and to other nodes."""

    def __init__(self, world: World, number: int) -> None:
        self.world = world
        self.name = f"edge-{number}"
        pid = os.getpid()
        self.host = f"127.{100 + (pid >> 8 & 63)}.{pid & 255}.{10 + number}"
        self.ports = [free_port(self.host) for _ in range(3)]
        self.store_path: Pipe | None = None
        self.peer_paths: dict[str, Pipe] = {}
        """Paths to the other nodes, by their names."""
        self.member_paths: dict[str, Pipe] = {}
        """Paths to members, by their names; members without one are reached directly."""
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        frontend, ready, peer = self.ports
        assert self.store_path is not None
        store = f"{HOST}:{self.store_path.port}"
        settings = {
            "nodeName": self.name,
            "role": "edge",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": self.host,
            "zone": "harju-a",
            "region": "ee-harju",
            "zones": {"harju-a": "ee-harju"},
            "listen": {
                "frontend": f"{self.host}:{frontend}",
                "ready": f"{self.host}:{ready}",
            },
            "internalPorts": [peer, peer],
            "seeds": [],
            "bootstrap": True,
            "limits": {"cpuQuota": 0.537, "cpuCores": 2, "memoryMb": 300},
            "heartbeatMs": 1200,
            "bounds": {
                "contactMs": 4000,
                "drainMs": 7000,
                "graceS": 6,
                "configApplyMs": 3000,
                "revokeStrict": True,
                "revokeMs": 5000,
                "quotaWindowS": 5,
                "recoveryS": 12,
                "fencingEnabled": False,
            },
            "platform": {"address": store, "form": "objects"},
            "cloudApi": {"address": store, "duties": ["promotion"]},
        }
        path = self.world.folder / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        command = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = command["roles"]["edge"]["run"].split(" ")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment |= {
            "RADISHTRACK_SETTINGS": str(path),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.world.folder / f"{self.name}.log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    async def cut(self) -> None:
        """Cut this node off from the store and from all other nodes, with refusals.

        Paths to members are cut by the cases.
        """
        for path in self._paths():
            await path.refuse()

    async def join(self) -> None:
        """End the cut."""
        for path in self._paths():
            await path.open()

    def _paths(self) -> list[Pipe]:
        assert self.store_path is not None
        others = [node for node in self.world.nodes if node is not self]
        return [
            self.store_path,
            *self.peer_paths.values(),
            *(other.peer_paths[self.name] for other in others),
        ]

    async def is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ports[1])
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False


class World:
    """The deployment of a script."""

    def __init__(self, folder: Path, nodes: int, work_s: float) -> None:
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(self.record)
        self.group = Group(self.store, self.record, work_s)
        self.nodes = [Node(self, number) for number in range(1, nodes + 1)]
        self.tasks: list[asyncio.Task] = []
        self.acked: dict[str, tuple[float, float]] = {}
        """Times of sending and of the acknowledgement of commits, by statement id."""
        self.answers: dict[str, int] = {}
        self.count = 0

    async def start(self, members: tuple[str, ...]) -> bool:
        """Start everything; return whether all nodes became ready."""
        self.store.put("config", "main", make_config())
        for name in members:
            await self.group.add(name)
        leader = self.group.members[members[0]]
        leader.role = "primary"
        leader.beat()
        self.tasks.append(asyncio.create_task(self.group.run()))
        for node in self.nodes:
            for other in self.nodes:
                if other is not node:
                    path = Pipe(other.host, other.ports[2])
                    await path.open()
                    node.peer_paths[other.name] = path
            for member in self.group.members.values():
                path = Pipe(HOST, member.port)
                await path.open()
                node.member_paths[member.name] = path
            view = await self.store.open(make_view(node))
            node.store_path = Pipe(HOST, view)
            await node.store_path.open()
        for node in self.nodes:
            await node.start()
        until_s = now_s() + 15
        while now_s() < until_s:
            await asyncio.sleep(0.2)
            if all([await node.is_ready() for node in self.nodes]):
                await asyncio.sleep(6.0)
                return True
        return False

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            await node.end()
        self.record.file.flush()

    def spawn(self, coroutine) -> None:
        self.tasks.append(asyncio.create_task(coroutine))

    async def run_client(self, node: Node, text: str, pause_s: float, on_answer) -> None:
        """Send a statement again and again over sessions of one client."""
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                await self._run_session(node, text, pause_s, on_answer)
            await asyncio.sleep(0.1)

    async def _run_session(self, node, text, pause_s, on_answer) -> None:
        reader, writer = await asyncio.open_connection(node.host, node.ports[0])
        try:
            writer.write(f"STARTUP {DATABASE} {KEY}\r\n".encode())
            if not (await reader.readuntil(b"\r\n")).startswith(b"READY"):
                return
            while True:
                self.count += 1
                statement_id = f"{self.count:016x}"
                sent_s = now_s()
                self.record.write(f"{node.name} is sent {statement_id} {text}")
                writer.write(f"QUERY {statement_id} {text}\r\n".encode())
                first = b""
                while True:
                    line = await asyncio.wait_for(reader.readuntil(b"\r\n"), 4)
                    if line.startswith(b"READY"):
                        break
                    if not line.startswith(b"DATAROW"):
                        first = line
                answer = first.decode().strip()
                self.record.write(f"{node.name} answers {statement_id}: {answer}")
                key = " ".join(answer.split(" ")[: 2 if "ERROR" in answer else 1])
                self.answers[key] = self.answers.get(key, 0) + 1
                on_answer(statement_id, answer.startswith("COMPLETE"), sent_s)
                await asyncio.sleep(pause_s)
        finally:
            writer.close()

    def note_write(self, statement_id: str, is_done: bool, sent_s: float) -> None:
        if is_done:
            self.acked[statement_id] = (sent_s, now_s())


def make_config() -> dict:
    return {
        "version": 3,
        "routes": [
            {
                "name": "round-booking",
                "host": DATABASE,
                "service": GROUP,
                "kind": "primary",
                "timeoutMs": 1300,
                "objectiveMs": 200,
                "priority": 1,
            }
        ],
        "services": [
            {"name": GROUP, "maxConns": MAX_CONNECTIONS, "syncReplicas": 1}
        ],
        "tenants": [
            {"name": TENANT, "apiKeys": [KEY], "ratePerS": 2000, "burst": 2000}
        ],
        "limits": {"txIdleMs": 5000},
    }


def make_view(node: Node):
    """Return a view of the store in which other nodes have the addresses of paths."""

    def show(kind: str, stored: dict) -> dict:
        name = stored["meta"]["name"].removeprefix("node.")
        path = (node.member_paths if kind == "servers" else node.peer_paths).get(name)
        if path is None:
            return stored
        shown = copy.deepcopy(stored)
        if kind == "servers":
            shown["spec"]["address"] = f"{HOST}:{path.port}"
        elif "port" in shown["spec"]:
            shown["spec"] |= {"host": HOST, "port": path.port}
        return shown

    return show


def free_port(host: str) -> int:
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def run_case(play, folder: Path, nodes: int, work_s: float, limit_s: float) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if not, 2 if it couldn't run.

    `play` takes the world and whether the disruption comes, and returns what broke the
    rule, or an empty list.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main() -> int:
        world = World(folder, nodes, work_s)
        try:
            async with asyncio.timeout(limit_s):
                found = await play(world, has_trouble)
        except Exception as error:
            world.record.say(f"the case could not run: {error!r}")
            return 2
        finally:
            await world.stop()
        world.record.say(f"answers: {world.answers}")
        for line in found:
            world.record.say(f"broken: {line}")
        world.record.say("the rule was broken" if found else "the rule held")
        world.record.file.flush()
        return 1 if found else 0

    async def run() -> None:
        code = await main()
        sys.stdout.flush()
        # All processes have ended; open connections of the stand-ins need no clean-up.
        os._exit(code)

    asyncio.run(run())
