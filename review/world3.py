"""Stand-ins of the third review: platform's store, members, and clients.

Uses the standard library alone. The nodes are separate processes, started with the
command of the deploy file; everything listens on loopback addresses.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
COMMAND = ["python3", "deploy/radishtrack_node.py", "edge"]
SERVICE = "ledger"
KEYS = {"k-one": "one", "k-two": "two"}
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "contactMs": 4000, "ackTimeoutMs": 5000,
    "catchUpS": 4, "drainMs": 7000, "graceS": 6, "lossSlackMs": 200,
    "configApplyMs": 3000, "rollbackSlackMs": 250, "outerBoundMs": 12000,
    "revokeStrict": True, "revokeMs": 5000, "quotaWindowS": 5, "quotaExcess": 0.1,
    "quotaMargin": 20, "recoveryS": 12, "fencingEnabled": False, "thawMs": 300,
}  # fmt: skip


class Record:
    """Writes what was sent, answered and run into `record.txt`."""

    def __init__(self, folder):
        self.file = (Path(folder) / "record.txt").open("w")
        self.started = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f} s  {text}\n")
        self.file.flush()


# --- the platform's store and promotion service --------------------------------------


class Store:
    """Objects by kind and name; `promote` carries out an order and returns a status."""

    def __init__(self, record):
        self.record = record
        self.objects = {}
        self.revision = 100
        self.promote = lambda service, member: 200
        self.delay = {}
        """Seconds before a call takes effect, by `METHOD kind`."""

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def put(self, kind, name, spec):
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["meta"]["createdRev"] if known else self.revision
        meta = {"name": name, "revision": self.revision, "createdRev": created,
                "finalizers": [], "deletionPending": False}  # fmt: skip
        self.objects[kind, name] = {"meta": meta, "spec": spec, "status": None}
        return self.objects[kind, name]

    async def serve(self, reader, writer):
        try:
            while line := await reader.readline():
                method, target, _ = line.decode().split(" ")
                size = 0
                while (header := (await reader.readline()).strip()) != b"":
                    name, _, value = header.partition(b":")
                    if name.lower() == b"content-length":
                        size = int(value)
                body = json.loads(await reader.readexactly(size)) if size else None
                status, answer = await self.answer(method, target, body)
                data = json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode())
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        words = [urllib.parse.unquote(word) for word in url.path.split("/")[3:]]
        if url.path == "/promotion":
            self.record(f"order to promote {body['id']} in {body['service']}")
            return self.promote(body["service"], body["id"]), {}
        kind = words[0]
        await asyncio.sleep(self.delay.get(f"{method} {kind}", 0.002))
        if method != "GET":
            self.record(f"store: {method} {'/'.join(words)} {json.dumps(body)[:160]}")
        if len(words) == 1 and method == "POST":
            name = body["meta"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            return 201, self.put(kind, name, body["spec"])
        if len(words) == 1:
            after = urllib.parse.parse_qs(url.query).get("after", [""])[0]
            names = sorted(n for k, n in self.objects if k == kind and n > after)
            items = [self.objects[kind, name] for name in names[:500]]
            more = len(names) > 500
            return 200, {"items": items, "hasMore": more, "atRev": self.revision}
        known = self.objects.get((kind, words[1]))
        if known is None:
            return 404, {}
        if method == "PUT":
            expected = body["meta"].get("revision")
            if expected not in (None, known["meta"]["revision"]):
                return 409, known
            return 200, self.put(kind, words[1], body["spec"])
        if method == "DELETE":
            self.revision += 1
            del self.objects[kind, words[1]]
        return 200, known


def make_config(version, *, timeout_ms=800, objective_ms=200, max_conns=34):
    """Return a configuration with one database of each kind."""
    kinds = {"orders": ("primary", 0), "receipts": ("session", 2500),
             "status": ("bounded_staleness", 1500)}  # fmt: skip
    routes = [
        {"name": f"r-{host}", "host": host, "pathPrefix": "/", "kind": kind,
         "timeoutMs": timeout_ms, "objectiveMs": objective_ms, "priority": 1,
         "service": SERVICE, "maxAttempts": 2, "public": False}
        | ({"maxStalenessMs": age} if age else {})
        for host, (kind, age) in kinds.items()
    ]  # fmt: skip
    tenants = [{"name": tenant, "apiKeys": [key], "ratePerS": 400, "burst": 400}
               for key, tenant in KEYS.items()]  # fmt: skip
    services = [{"name": SERVICE, "maxConns": max_conns, "syncReplicas": 1}]
    return {"version": version, "routes": routes, "services": services,
            "limits": {"txIdleMs": 3000}, "tenants": tenants}  # fmt: skip


# --- members --------------------------------------------------------------------------


class Member:
    """A member of one group; replicas receive a commit before it is acknowledged."""

    def __init__(self, group, name, role):
        self.group, self.name, self.role = group, name, role
        self.term, self.fence, self.is_up = 1, 0, False
        self.log = []
        """Terms and identifiers of the received commits."""
        self.born = int(time.time() * 1000)
        self.writers = set()
        self.ran = []

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.is_up = True

    def crash(self):
        """Stop listening and reset all connections; the log stays."""
        self.is_up = False
        self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    def entry(self, state="ready"):
        return {"service": SERVICE, "address": f"127.0.0.1:{self.port}",
                "zone": "zone-a", "version": "v1", "slots": 6, "state": state,
                "coldLeftMs": 0, "sequence": 1, "dbRole": self.role,
                "born": self.born}  # fmt: skip

    @property
    def position(self):
        return f"{self.log[-1][0] if self.log else self.term}.{len(self.log)}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            words = (await reader.readuntil(b"\r\n")).decode().split()
            if words[1] != SERVICE or words[3:] not in ([], [self.name]):
                writer.write(f"ERROR WRONGNODE {self.name}\r\n".encode())
                return
            await asyncio.sleep(0.012)
            info = writer.get_extra_info
            pass_through = self.group.reach(self, info("peername"), info("sockname"))
            await pass_through()
            writer.write(f"READY I {self.position}\r\n".encode())
            session = Session(self, words[2])
            while True:
                line = (await reader.readuntil(b"\r\n")).decode()[:-2]
                if line == "TERMINATE":
                    return
                await pass_through()
                _, number, text = line.split(" ", 2)
                answer = await session.run(number, text)
                await pass_through()
                if answer is None or not self.is_up:
                    return
                writer.write(answer.encode())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Session:
    """One connection to a member."""

    def __init__(self, member, tenant):
        self.member, self.tenant = member, tenant
        self.state, self.mode, self.writes = "I", "", []
        self.values, self.prepared = {}, {}

    async def run(self, number, text):
        member = self.member
        words = text.split(" ")
        if words[0] == "SINCE":
            term, count = map(int, words[1].split("."))
            if term > member.term or count > len(member.log):
                return self.end(f"ERROR LAGGING {member.name}")
            words = words[2:]
        if words[0] in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            if words[0] == "PAUSE" and int(words[1]) > member.term:
                member.fence = int(words[1])
            if words[0] == "RESUME":
                member.fence = 0
            if words[0] == "STEPDOWN" and int(words[1]) > member.term:
                member.role = "replica"
            row = f"{member.role} {member.term} {member.position} {member.fence} 0 0"
            return self.end(f"DATAROW {row} {len(member.writers)}\r\nCOMPLETE -")
        if words[0] == "SET":
            self.values[words[1]] = words[2]
        elif words[0] == "PREPARE":
            self.prepared[words[1]] = words[2]
        elif words[0] == "DISCARD":
            self.values, self.prepared = {}, {}
        elif words[0] == "BEGIN":
            if words[1:] == [] and member.role != "primary":
                return self.end(f"ERROR READONLY {member.name}")
            self.state, self.mode, self.writes = "T", " ".join(words[1:]), []
        elif words[0] == "ROLLBACK":
            self.state = "I"
        else:
            return await self.execute(number, words, text)
        return self.end("COMPLETE -")

    async def execute(self, number, words, text):
        member, group = self.member, self.member.group
        is_write = words[0] == "WRITE"
        if words[0] == "EXECUTE":
            if words[1] not in self.prepared:
                return self.fail(f"ERROR NOSTMT {words[1]}")
            is_write = self.prepared[words[1]] == "WRITE"
        await asyncio.sleep(group.work_s)
        if not member.is_up:
            return None
        if member.role != "primary" and (is_write or (self.writes and words[0] == "COMMIT")):
            return self.fail(f"ERROR READONLY {member.name}")
        group.record(f"{member.name} runs {number} {text[:60]}")
        member.ran.append((self.tenant, number, text, dict(self.values)))
        rows = ""
        if words[0] == "COMMIT":
            self.state, writes, self.writes = "I", self.writes, []
            if writes and not await group.commit(member, number):
                return None
        elif is_write and self.state == "T":
            self.writes.append(number)
        elif is_write:
            if not await group.commit(member, number):
                return None
        else:
            rows = group.make_rows(member, words)
        return self.end(f"{rows}COMPLETE {member.name}.{number}")

    def fail(self, line):
        if self.state == "T":
            self.state = "E"
        return self.end(line)

    def end(self, lines):
        return f"{lines}\r\nREADY {self.state} {self.member.position}\r\n"


class Group:
    """Three members, the first one the primary."""

    def __init__(self, record, store):
        self.record, self.store = record, store
        self.members = {
            name: Member(self, name, "replica" if number else "primary")
            for number, name in enumerate(("i-1", "i-2", "i-3"))
        }
        self.deaf = set()
        """Replicas that receive nothing."""
        self.work_s = 0.004
        self.reach = lambda member, peer, own: lambda: asyncio.sleep(0)
        """Takes a member and both ends of a connection to it; returns a function that
        waits until the path between them is open."""
        self.make_rows = lambda member, words: f"DATAROW {member.position}\r\n"
        store.promote = self.promote

    async def start(self):
        for member in self.members.values():
            await member.start()
            self.register(member)

    def register(self, member, state="ready"):
        self.store.put("servers", member.name, member.entry(state))

    def receivers(self, primary):
        return [m for m in self.members.values()
                if m is not primary and m.is_up and m.role == "replica"
                and not m.fence and m.name not in self.deaf
                and m.term <= primary.term]  # fmt: skip

    async def commit(self, primary, number):
        """Append a commit; return False if it can't be acknowledged."""
        primary.log.append((primary.term, number))
        while primary.is_up and primary.role == "primary":
            receivers = self.receivers(primary)
            for member in receivers:
                member.log, member.term = list(primary.log), primary.term
            if receivers:
                return True
            await asyncio.sleep(0.01)
        return False

    def promote(self, service, name):
        member = self.members.get(name)
        if member is None or not member.is_up:
            return 409
        if member.role != "primary":
            asyncio.get_running_loop().call_later(0.3, self.take_lead, member)
        return 200

    def take_lead(self, member):
        member.term = max(m.term for m in self.members.values()) + 1
        member.role, member.fence = "primary", 0
        self.record(f"{member.name} leads term {member.term}")
        self.register(member)
        asyncio.get_running_loop().call_later(1.0, self.follow, member)

    def follow(self, primary):
        """Members that reach the later primary become its replicas."""
        for member in self.members.values():
            if member is not primary and member.is_up and member.term < primary.term:
                member.role, member.term = "replica", primary.term
                member.log = list(primary.log)
                self.register(member)


# --- nodes and clients ----------------------------------------------------------------


def free_ports(host, count):
    """Return ports of a host that nothing listens at."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind((host, 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


class Node:
    """A process of the project, with a loopback address of its own."""

    def __init__(self, name, store, folder, number):
        process = os.getpid()
        self.name, self.folder = name, Path(folder)
        self.host = f"127.{process >> 8 & 127}.{process & 255}.{number + 2}"
        self.ports = free_ports(self.host, 3)
        self.settings = self.folder / f"{name}.json"
        self.process = None
        self.write_settings(store)

    def write_settings(self, store, **bounds):
        frontend, ready, peer = (f"{self.host}:{port}" for port in self.ports)
        settings = {
            "nodeName": self.name, "role": "edge", "machineClass": "edge",
            "serves": ["edge"], "ip": self.host, "zone": "zone-a",
            "region": "region", "zones": {"zone-a": "region"},
            "listen": {"frontend": frontend, "ready": ready},
            "internalPorts": [self.ports[2], self.ports[2]], "seeds": [],
            "bootstrap": True, "faultCounted": False,
            "limits": {"cpuQuota": 0.537, "cpuCores": 2, "memoryMb": 300,
                       "maxFds": 4300, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "virtual_ip",
            "heartbeatMs": 1200, "contracts": ["base", "drain", "sql", "platform"],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS | bounds,
            "platform": {"address": store.address, "form": "objects",
                         "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
                         "valueBytes": 1048576, "ttlMinMs": 1000},
            "cloudApi": {"address": store.address, "ratePerS": 50.0,
                         "duties": ["promotion"], "dutyPerS": 50.0},
        }  # fmt: skip
        self.settings.write_text(json.dumps(settings))

    def start(self):
        names = ("PATH", "HOME", "LANG")
        environment = {n: os.environ[n] for n in names if n in os.environ}
        environment["RADISHTRACK_SETTINGS"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ports[1])
        except OSError:
            return False
        try:
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            return b" 200 " in await asyncio.wait_for(reader.readline(), 1)
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, limit_s=20):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


class Client:
    """A client's session."""

    def __init__(self, record, name):
        self.record, self.name, self.count = record, name, 0

    async def connect(self, host, port, database, key="k-one", *, sock=None):
        if sock is None:
            pair = await asyncio.open_connection(host, port, limit=1 << 21)
        else:
            await asyncio.get_running_loop().sock_connect(sock, (host, port))
            pair = await asyncio.open_connection(sock=sock, limit=1 << 16)
        self.reader, self.writer = pair
        self.writer.write(f"STARTUP {database} {key}\r\n".encode())
        return (await self.line()).split(" ")[0] == "READY"

    async def line(self):
        return (await self.reader.readuntil(b"\r\n")).decode()[:-2]

    def send(self, text):
        self.count += 1
        number = f"{self.name}-{self.count}"
        self.record(f"{self.name} sends {number} {text[:60]}")
        self.writer.write(f"QUERY {number} {text}\r\n".encode())
        return number

    async def ask(self, text, limit_s=4):
        """Return the result line; an empty string if the connection ends first."""
        number = self.send(text)
        result = ""
        try:
            async with asyncio.timeout(limit_s):
                while not (line := await self.line()).startswith("READY"):
                    result = line
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            self.record(f"{self.name} gets no answer to {number}: {error!r}")
            return ""
        self.record(f"{self.name} gets {result[:60]} for {number}")
        return result

    def close(self):
        self.writer.transport.abort()


class World:
    """Store, group and nodes of a case."""

    def __init__(self, folder, nodes, **config):
        self.record = Record(folder)
        self.store = Store(self.record)
        self.group = Group(self.record, self.store)
        self.temporary = tempfile.TemporaryDirectory()
        self.names, self.config = nodes, config
        self.nodes = {}

    async def start(self):
        await self.store.start()
        self.store.put("config", "main", make_config(7, **self.config))
        await self.group.start()
        for number, name in enumerate(self.names):
            self.nodes[name] = Node(name, self.store, self.temporary.name, number)

    def stop(self):
        for node in self.nodes.values():
            node.stop()
        self.temporary.cleanup()


def run(case, folder, nodes, **config):
    """Run a case with a limit of 110 s, and exit with its verdict."""
    world = World(folder, nodes, **config)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        async with asyncio.timeout(110):
            await world.start()
            return await case(world, has_trouble)

    code = 2
    loop = asyncio.new_event_loop()
    try:
        code = loop.run_until_complete(play())
    except Exception as error:
        world.record(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
    finally:
        world.stop()
    verdict = {0: "the rule held", 1: "the rule was broken", 2: "could not run"}[code]
    world.record(verdict)
    print(verdict, flush=True)
    # The tasks of open connections end with the process.
    os._exit(code)
