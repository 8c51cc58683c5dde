"""Stand-ins for the users' platform, members and clients; standard library only.

They follow PROTOCOL.md and DEPLOY.md of the users' pages. Where a page is silent, they
behave like a sound server. All addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[1]
RUN_WORDS = ["deploy/radishtrack_node.py", "edge"]

HEARTBEAT_MS = 1200
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case could not run, for a reason that says nothing about the rule."""


def now_ms() -> float:
    return time.monotonic() * 1000


class Record:
    """Writes `record.txt`: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8", errors="backslashreplace")
        self.started = now_ms()

    def write(self, text: str) -> None:
        self.file.write(f"{(now_ms() - self.started) / 1000:9.3f} s  {text}\n")
        self.file.flush()


def free_port(host: str = "127.0.0.1") -> int:
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


# --- the platform's metadata store and the promotion service ---------------------


class Store:
    """Object store over HTTP/1.1; linearizable, loses nothing."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.objects: dict[tuple[str, str], dict] = {}
        self.revision = 10
        self.address = ""
        self.raw: dict[tuple[str, str], bytes] = {}
        """JSON text of objects of other writers, sent as it was written."""
        self.gate = None
        """Optional: coroutine function, called with the peer's address before a call
        is served; returns False for a call that gets no answer."""

    async def start(self) -> None:
        port = free_port()
        self.address = f"127.0.0.1:{port}"
        await asyncio.start_server(self._serve, "127.0.0.1", port)

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write as the operator or a member does; a no-op changes nothing."""
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return
        self.revision += 1
        created = known["meta"]["createdRev"] if known else self.revision
        meta = {
            "name": name,
            "revision": self.revision,
            "createdRev": created,
            "finalizers": [],
            "deletionPending": False,
        }
        self.objects[kind, name] = {"meta": meta, "spec": spec, "status": None}

    def remove(self, kind: str, name: str) -> None:
        if self.objects.pop((kind, name), None) is not None:
            self.revision += 1

    def put_raw(self, kind: str, name: str, spec_text: bytes) -> None:
        """Write an entry of another writer whose bytes are kept as they are."""
        self.put(kind, name, {"raw": self.revision})
        self.raw[kind, name] = spec_text

    def _render(self, kind: str, name: str) -> bytes:
        stored = self.objects[kind, name]
        raw = self.raw.get((kind, name))
        if raw is None:
            return json.dumps(stored).encode()
        meta = json.dumps(stored["meta"]).encode()
        return b'{"meta": ' + meta + b', "spec": ' + raw + b', "status": null}'

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = dict(
                    line.lower().split(": ", 1) for line in lines[1:] if ": " in line
                )
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if self.gate is not None and not await self.gate(
                    writer.get_extra_info("peername")
                ):
                    break
                status, data = self._call(method, target, body)
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        writer.close()

    def _call(self, method: str, target: str, body: bytes) -> tuple[int, bytes]:
        url = urlsplit(target)
        query = parse_qs(url.query)
        parts = [unquote(p) for p in url.path.split("/") if p]
        if parts[:2] != ["-", "objects"] or len(parts) not in (3, 4):
            return 404, b"{}"
        kind, name = parts[2], parts[3] if len(parts) == 4 else None
        if method == "GET" and name is None:
            after = query.get("after", [""])[0]
            names = sorted(n for k, n in self.objects if k == kind and n > after)
            items = b", ".join(self._render(kind, n) for n in names)
            text = b'{"items": [' + items + b'], "hasMore": false, "atRev": %d}'
            return 200, text % self.revision
        if method == "GET":
            if (kind, name) not in self.objects:
                return 404, b"{}"
            return 200, self._render(kind, name)
        if method == "POST":
            data = json.loads(body)
            name = data["meta"]["name"]
            if (kind, name) in self.objects:
                return 409, self._render(kind, name)
            self.put(kind, name, data.get("spec"))
            return 201, self._render(kind, name)
        known = self.objects.get((kind, name))
        if known is None:
            return 404, b"{}"
        if method == "PUT":
            data = json.loads(body)
            wanted = data["meta"].get("revision")
            if wanted is not None and wanted != known["meta"]["revision"]:
                return 409, self._render(kind, name)
            self.put(kind, name, data.get("spec"))
            return 200, self._render(kind, name)
        if method == "DELETE":
            self.remove(kind, name)
            return 200, b"{}"
        return 404, b"{}"


class Cloud:
    """The platform's promotion call."""

    def __init__(self, record: Record, promote) -> None:
        self.record, self.promote = record, promote
        self.address = ""
        self.is_down = False

    async def start(self) -> None:
        port = free_port()
        self.address = f"127.0.0.1:{port}"
        await asyncio.start_server(self._serve, "127.0.0.1", port)

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                headers = dict(
                    line.lower().split(": ", 1)
                    for line in head.split("\r\n")[1:]
                    if ": " in line
                )
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                data = json.loads(body)
                status = 503
                if not self.is_down:
                    status = self.promote(data["service"], data["id"])
                self.record.write(
                    f"platform: POST /promotion {data['service']} {data['id']} by "
                    f"{headers.get('x-duty-holder')} token "
                    f"{headers.get('x-fencing-token')} -> {status}"
                )
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n{{}}".encode()
                )
                await writer.drain()
        writer.close()


# --- members -----------------------------------------------------------------------


class Member:
    """One member of a service, on its own port."""

    def __init__(self, group: "Group", name: str, zone: str, role: str) -> None:
        self.group, self.name, self.zone, self.role = group, name, zone, role
        self.term = 1
        self.log: list[str] = []
        """Identifiers of the commits that it has received, in order."""
        self.held = 0
        self.state = "ready"
        self.is_running = True
        self.is_deaf = False
        """Whether it receives nothing of the primary's log."""
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.connections = 0
        self.server = None
        self.port = 0
        self.writers: set = set()

    async def start(self) -> None:
        if not self.port:
            self.port = free_port()
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=4 * 1024 * 1024
        )
        self.is_running = True

    async def crash(self) -> None:
        """End the process: open connections are reset, the held term is forgotten."""
        self.is_running = False
        self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()
        self.held = 0
        self.group.record.write(f"{self.name}: crashes")

    async def restart(self) -> None:
        """Start again with its log; the primary only while nobody else leads."""
        self.born = int(time.time() * 1000)
        await self.start()
        self.group.record.write(f"{self.name}: is back, {len(self.log)} commits")
        if self.role == "primary":
            self.group.rejoin(self)
        self.group.catch_up()

    @property
    def position(self) -> str:
        return f"{self.term}.{len(self.log)}"

    def entry(self) -> dict:
        return {
            "service": self.group.name,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.group.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "dbRole": self.role,
            "sequence": self.sequence,
            "born": self.born,
        }

    def status(self) -> list[str]:
        return [
            f"DATAROW {self.role} {self.term} {self.position} {self.held} 0 0 "
            f"{self.connections}",
            "COMPLETE -",
        ]

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        self.connections += 1
        try:
            await self._session(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections -= 1
            self.writers.discard(writer)
            writer.close()

    async def _session(self, reader, writer) -> None:
        async def line() -> str:
            data = await reader.readuntil(b"\r\n")
            return data[:-2].decode("utf-8", "surrogateescape")

        def send(lines: list[str]) -> None:
            text = "".join(f"{item}\r\n" for item in lines)
            writer.write(text.encode("utf-8", "surrogateescape"))

        words = (await line()).split(" ")
        await asyncio.sleep(0.012)
        if (
            words[0] != "STARTUP"
            or words[1] != self.group.name
            or (len(words) > 3 and words[3] != self.name)
        ):
            send([f"ERROR WRONGNODE {self.name}"])
            return
        tenant = words[2]
        if self.connections > self.group.max_conns:
            send([f"ERROR CONNLIMIT {self.name}"])
            return
        send([f"READY I {self.position}"])
        session = Session(self, tenant)
        while True:
            text = await line()
            if text == "TERMINATE":
                return
            _, statement_id, statement = text.split(" ", 2)
            answer = await session.run(statement_id, statement)
            send([*answer, f"READY {session.state} {self.position}"])
            await writer.drain()


class Session:
    """A connection's transaction, values and prepared names at a member."""

    def __init__(self, member: Member, tenant: str) -> None:
        self.member, self.tenant, self.state = member, tenant, "I"
        self.pending: list[str] = []
        self.values: dict[str, str] = {}
        self.prepared: dict[str, str] = {}
        self.is_read_only = False

    async def run(self, statement_id: str, text: str) -> list[str]:
        member, group = self.member, self.member.group
        words = text.split(" ")
        if words[0] == "SINCE":
            term, number = map(int, words[1].split("."))
            if term > member.term or number > len(member.log):
                return [f"ERROR LAGGING {member.name}"]
            text = text.split(" ", 2)[2]
            words = text.split(" ")
        match words[0]:
            case "STATUS":
                return member.status()
            case "PAUSE":
                if member.role == "replica" and int(words[1]) > member.term:
                    member.held = int(words[1])
                    group.record.write(f"{member.name}: PAUSE {words[1]}")
                return member.status()
            case "RESUME":
                member.held = 0
                group.record.write(f"{member.name}: RESUME")
                group.catch_up()
                return member.status()
            case "STEPDOWN":
                if member.role == "primary" and int(words[1]) > member.term:
                    group.rejoin(member)
                return member.status()
            case "DISCARD":
                self.values.clear()
                self.prepared.clear()
                return ["COMPLETE -"]
            case "SET":
                self.values[words[1]] = text.split(" ", 2)[2]
                return ["COMPLETE -"]
            case "PREPARE":
                self.prepared[words[1]] = words[2]
                return ["COMPLETE -"]
            case "ROLLBACK":
                self.state, self.pending = "I", []
                return ["COMPLETE -"]
            case "BEGIN":
                self.is_read_only = words[1:] == ["READ"]
                if member.role != "primary" and not self.is_read_only:
                    return [f"ERROR READONLY {member.name}"]
                self.state, self.pending = "T", []
                return ["COMPLETE -"]
            case "COMMIT" | "READ" | "WRITE" | "EXECUTE":
                return await self._work(statement_id, text, words)
        return [f"ERROR MALFORMED {words[0]}"]

    async def _work(self, statement_id: str, text: str, words: list[str]) -> list[str]:
        member, group = self.member, self.member.group
        if self.state == "E" and words[0] != "COMMIT":
            return [f"ERROR MALFORMED {member.name}"]
        is_write = words[0] == "WRITE"
        if words[0] == "EXECUTE":
            if words[1] not in self.prepared:
                return self._fail(f"ERROR NOSTMT {member.name}")
            is_write = self.prepared[words[1]] == "WRITE"
        group.arrived.append((now_ms(), member.name, self.tenant, statement_id, text))
        group.record.write(f"{member.name}: runs {self.tenant} {statement_id} {text!r}")
        work_ms = group.work_ms(words[0])
        if work_ms:
            await asyncio.sleep(work_ms / 1000)
        if words[0] == "COMMIT":
            was_failed, pending = self.state == "E", self.pending
            self.state, self.pending = "I", []
            if was_failed:
                return [f"ERROR ABORTED {member.name}"]
            if pending and not await group.commit(member, statement_id):
                return [f"ERROR READONLY {member.name}"]
            return self._complete(statement_id, [])
        if is_write:
            if member.role != "primary":
                return self._fail(f"ERROR READONLY {member.name}")
            if self.state == "I":
                if not await group.commit(member, statement_id):
                    return [f"ERROR READONLY {member.name}"]
            else:
                self.pending.append(statement_id)
            return self._complete(statement_id, [])
        return self._complete(statement_id, [f"DATAROW {member.name}"])

    def _fail(self, line: str) -> list[str]:
        if self.state == "T":
            self.state = "E"
        return [line]

    def _complete(self, statement_id: str, rows: list[str]) -> list[str]:
        member = self.member
        member.group.signed += 1
        return [*rows, f"COMPLETE {member.name}.{member.group.signed:x}.{statement_id}"]


class Group:
    """A service: its members, their replication and promotions."""

    def __init__(
        self,
        record: Record,
        name: str,
        *,
        slots: int = 3,
        max_conns: int = 34,
        promote_ms: float = 300.0,
        work_ms=lambda word: 5.0,
    ) -> None:
        self.record, self.name = record, name
        self.slots, self.max_conns, self.promote_ms = slots, max_conns, promote_ms
        self.work_ms = work_ms
        self.members: dict[str, Member] = {}
        self.arrived: list[tuple[float, str, str, str, str]] = []
        self.signed = 0
        self.received = asyncio.Event()
        self.on_promoted = None
        self.on_ordered = None
        self.tasks: set = set()

    async def start(self, names: dict[str, str]) -> None:
        for number, (name, zone) in enumerate(names.items()):
            role = "primary" if number == 0 else "replica"
            self.members[name] = Member(self, name, zone, role)
            await self.members[name].start()

    @property
    def term(self) -> int:
        return max(member.term for member in self.members.values())

    def leader(self) -> Member:
        leaders = [m for m in self.members.values() if m.role == "primary"]
        return max(leaders, key=lambda m: m.term)

    def catch_up(self) -> None:
        """Let each replica that receives get the log of its primary."""
        for primary in self.members.values():
            if primary.role != "primary" or not primary.is_running:
                continue
            for replica in self.members.values():
                receives = (
                    replica.role == "replica"
                    and replica.is_running
                    and not replica.is_deaf
                )
                if receives and not replica.held and replica.term <= primary.term:
                    if primary is self.leader() or replica.term < self.term:
                        replica.log, replica.term = list(primary.log), primary.term
        self.received.set()
        self.received = asyncio.Event()

    async def commit(self, member: Member, statement_id: str) -> bool:
        """Commit at a primary; return once a replica has received it."""
        if member.role != "primary":
            return False
        member.log.append(statement_id)
        self.catch_up()
        while member.is_running:
            if member.role != "primary":
                # Its answer is lost with the log that was rolled back.
                raise ConnectionResetError
            if any(
                r is not member and r.is_running and statement_id in r.log
                for r in self.members.values()
            ):
                self.record.write(f"{member.name}: commit {statement_id} acknowledged")
                return True
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.02):
                    await self.received.wait()
        raise ConnectionResetError

    def promote(self, service: str, name: str) -> int:
        """Accept the order to promote a member; it leads after `promote_ms`."""
        member = self.members.get(name)
        if service != self.name or member is None or not member.is_running:
            return 409
        if member.role == "primary" and member is self.leader():
            return 200
        task = asyncio.ensure_future(self._promote(member))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        if self.on_ordered is not None:
            self.on_ordered(member)
        return 200

    async def _promote(self, member: Member) -> None:
        await asyncio.sleep(self.promote_ms / 1000)
        if not member.is_running:
            return
        old = [m for m in self.members.values() if m.role == "primary"]
        if self.on_promoted is not None:
            self.on_promoted(member, old)
        member.term, member.role, member.held = self.term + 1, "primary", 0
        self.record.write(
            f"{member.name}: leads term {member.term} with {len(member.log)} commits"
        )
        for other in self.members.values():
            if other.role == "replica" and other.is_running:
                other.held = 0
        self.catch_up()
        await asyncio.sleep(1.0)
        for primary in old:
            if primary.is_running and primary is not member:
                self.rejoin(primary)

    def rejoin(self, member: Member) -> None:
        """Make an old primary a replica of the present one."""
        leader = self.leader()
        if member is leader or member.role != "primary":
            return
        member.role, member.held = "replica", 0
        member.log, member.term = list(leader.log), leader.term


# --- the operator, nodes and clients -------------------------------------------------


def route(host: str, service: str, kind: str, **fields) -> dict:
    spec = {
        "name": f"r-{host}",
        "host": host,
        "pathPrefix": "/",
        "kind": kind,
        "timeoutMs": 1000,
        "objectiveMs": 400,
        "priority": 2,
        "service": service,
        "maxAttempts": 2,
        "public": False,
    }
    if kind != "primary":
        spec["maxStalenessMs"] = 2500
    return spec | fields


def config(version: int, group: Group, routes: list[dict], tenants: list[dict]) -> dict:
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": group.name,
                "healthPath": "/healthz",
                "maxConns": group.max_conns,
                "protocol": "h1",
                "tls": False,
                "syncReplicas": 1,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
            "txIdleMs": 3000,
        },
        "tenants": tenants,
    }


def tenant(name: str, keys: list[str]) -> dict:
    return {
        "name": name,
        "apiKeys": keys,
        "priority": 1,
        "ratePerS": 300,
        "burst": 300,
    }


class Node:
    """A process of the project, started as the deploy file says."""

    def __init__(self, name: str, folder: Path, store: str, cloud: str) -> None:
        self.name = name
        # The metrics port is the same for all, so each node has its own address.
        self.ip = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"
        self.front, self.ready = free_port(self.ip), free_port(self.ip)
        peer = free_port(self.ip)
        self.path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.process = None
        zones = {"harju-a": "ee-harju", "harju-b": "ee-harju", "harju-c": "ee-harju"}
        settings = {
            "nodeName": name,
            "role": "edge",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": self.ip,
            "zone": "harju-a",
            "region": "ee-harju",
            "zones": zones,
            "listen": {
                "frontend": f"{self.ip}:{self.front}",
                "ready": f"{self.ip}:{self.ready}",
            },
            "internalPorts": [peer, peer + 15],
            "seeds": [],
            "bootstrap": True,
            "faultCounted": False,
            "limits": {
                "cpuQuota": 0.717,
                "cpuCores": 3,
                "memoryMb": 560,
                "maxFds": 8600,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "virtual_ip",
            "heartbeatMs": HEARTBEAT_MS,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "recover",
                "sql",
                "tenants",
                "quota",
                "platform",
            ],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": store,
                "form": "objects",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
            "cloudApi": {
                "address": cloud,
                "ratePerS": 50.0,
                "duties": ["promotion"],
                "dutyPerS": 50.0,
            },
        }
        self.path.write_text(json.dumps(settings), encoding="utf-8")

    async def start(self) -> None:
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/tmp"),
            "RADISHTRACK_SETTINGS": str(self.path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3", *RUN_WORDS, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Ask the readiness probe as the balancer does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.ip, self.ready)
                writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                head = await reader.readuntil(b"\r\n")
                writer.close()
                return b" 200 " in head
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, timeout_s: float) -> bool:
        until = now_ms() + timeout_s * 1000
        while now_ms() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.2)
        return False


BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "contactMs": 4000,
    "ackTimeoutMs": 5000,
    "catchUpS": 4,
    "drainMs": 7000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "rollbackSlackMs": 250,
    "outerBoundMs": 12000,
    "revokeStrict": True,
    "revokeMs": 5000,
    "quotaWindowS": 5,
    "quotaExcess": 0.1,
    "quotaMargin": 20,
    "recoveryS": 12,
    "fencingEnabled": False,
    "thawMs": 300,
}


class Answer:
    """A complete answer of the system, or what is missing of it."""

    def __init__(self, rows: list[str], result: str, ready: str) -> None:
        self.rows, self.result, self.ready = rows, result, ready

    @property
    def is_success(self) -> bool:
        return self.result.startswith("COMPLETE")

    @property
    def state(self) -> str:
        return self.ready.split(" ")[1] if self.ready else ""

    def __str__(self) -> str:
        return " / ".join([*self.rows, self.result or "no answer", self.ready])


class Client:
    """One session of a client."""

    def __init__(self, record: Record, name: str) -> None:
        self.record, self.name = record, name
        self.reader = self.writer = None

    async def connect(self, node: Node, database: str, key: str) -> str:
        self.reader, self.writer = await asyncio.open_connection(
            node.ip, node.front, limit=4 * 1024 * 1024
        )
        self.writer.write(f"STARTUP {database} {key}\r\n".encode())
        self.record.write(f"{self.name}: sends STARTUP {database} to {node.name}")
        async with asyncio.timeout(2.0):
            line = await self._line()
        self.record.write(f"{self.name}: gets {line!r}")
        return line

    async def query(
        self, statement_id: str, text: str, timeout_s: float = 3.0
    ) -> Answer:
        """Send a statement; an answer without a result means that none came whole."""
        self.record.write(f"{self.name}: sends QUERY {statement_id} {text!r}")
        answer = Answer([], "", "")
        with contextlib.suppress(TimeoutError, OSError, asyncio.IncompleteReadError):
            self.writer.write(f"QUERY {statement_id} {text}\r\n".encode())
            async with asyncio.timeout(timeout_s):
                while True:
                    line = await self._line()
                    if line.startswith("DATAROW"):
                        answer.rows.append(line)
                    elif line.startswith("READY"):
                        answer.ready = line
                        break
                    else:
                        answer.result = line
        self.record.write(f"{self.name}: gets {statement_id} {answer}")
        return answer

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()

    async def _line(self) -> str:
        return (await self.reader.readuntil(b"\r\n"))[:-2].decode(errors="replace")


def new_id() -> str:
    return f"{random.getrandbits(64):016x}"


class Deployment:
    """A small deployment on loopback addresses."""

    def __init__(self, case: Path, **group_options) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="radishtrack-review-"))
        self.record = Record(case / "record.txt")
        self.store = Store(self.record)
        self.group = Group(self.record, "huvo11a", **group_options)
        self.cloud = Cloud(self.record, self.group.promote)
        self.nodes: list[Node] = []
        self.beat = None
        self.seen_ms: dict[str, float] = {}
        """When each member's last heartbeat reached the store."""

    async def start(self, nodes: int) -> None:
        await self.store.start()
        await self.cloud.start()
        await self.group.start(
            {"i-m1": "harju-a", "i-m2": "harju-b", "i-m3": "harju-c"}
        )
        self.register()
        self.beat = asyncio.ensure_future(self._beat())
        for number in range(nodes):
            name = f"edge-harju-a-{number + 1}"
            node = Node(name, self.folder, self.store.address, self.cloud.address)
            self.nodes.append(node)

    async def start_nodes(self) -> None:
        for node in self.nodes:
            await node.start()
        for node in self.nodes:
            if not await node.wait_ready(20.0):
                raise CouldNotRun(f"{node.name} did not become ready")
        # From `contactMs` after their start, machines are in touch.
        await asyncio.sleep(BOUNDS["contactMs"] / 1000 + 1.0)

    def register(self) -> None:
        for member in self.group.members.values():
            if member.is_running:
                self.seen_ms[member.name] = now_ms()
                self.store.put("servers", member.name, member.entry())

    async def _beat(self) -> None:
        roles: dict[str, str] = {}
        beats = 0
        while True:
            await asyncio.sleep(0.05)
            beats += 1
            for member in self.group.members.values():
                shown = f"{member.role} {member.state} {member.born}"
                if roles.get(member.name) != shown or beats % 24 == 0:
                    roles[member.name] = shown
                    member.sequence += beats % 24 == 0
                    if member.is_running:
                        self.seen_ms[member.name] = now_ms()
                        self.store.put("servers", member.name, member.entry())
                silent_ms = now_ms() - self.seen_ms.get(member.name, now_ms())
                if silent_ms > 3 * HEARTBEAT_MS:
                    # Three heartbeat intervals of silence remove an entry.
                    self.store.remove("servers", member.name)

    async def close(self) -> None:
        if self.beat is not None:
            self.beat.cancel()
        for node in self.nodes:
            await node.end()
        shutil.rmtree(self.folder, ignore_errors=True)


def has_disruption() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


def main(run, limit_s: float = 110.0) -> None:
    """Run a case; its coroutine returns an exit code."""

    async def bounded() -> int:
        async with asyncio.timeout(limit_s):
            return await run()

    if not (ROOT / "target" / "deps").is_dir():
        print("target/deps is missing: run the build of the deploy file")
        sys.exit(EXIT_NOT_RUN)
    try:
        code = asyncio.run(bounded())
    except (CouldNotRun, TimeoutError, OSError) as error:
        print(f"could not run: {error!r}")
        code = EXIT_NOT_RUN
    # Stand-ins still have open connections, which need no orderly end.
    sys.stdout.flush()
    os._exit(code)
