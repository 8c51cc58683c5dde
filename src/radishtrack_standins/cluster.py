"""A deployment on one machine: platform, members and proxies as processes."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path
from typing import Any, Final

import attrs

from radishtrack_standins.launch import SOURCE_DIRECTORY, StandinProcess, start_standin

PEER_SECRET: Final = "demonstration-secret-of-the-fleet"
START_TIMEOUT_S: Final = 20.0
EPHEMERAL_PORTS: Final = Path("/proc/sys/net/ipv4/ip_local_port_range")
MAX_PORT_CHECKS: Final = 1_000
MAX_RESERVED_PORTS: Final = 256
HOST: Final = "127.0.0.1"

reserved_ports: Final[collections.deque[socket.socket]] = collections.deque()


@attrs.define(frozen=True)
class ClusterPlan:
    """Layout and limits of a deployment.

    Parameters
    ----------
    zones : tuple of str
        Availability zone of each proxy; one proxy is started for each.
    region : str
        Region of the proxies and the database.
    database : str
        Name of the database.
    slots, connections : int
        Slots and connections of the database in the configuration.
    organisations : tuple of tuple
        Name, rate and burst of each organisation.
    members : int
        Number of members.
    lag_ms : float
        Replication lag in milliseconds.
    request_timeout_ms, drain_timeout_ms : int
        Limits in the settings of the proxies.
    vm_list_lag_ms : float
        Time after which the platform's VM list shows a change.
    """

    zones: tuple[str, ...] = ("oslo-a", "oslo-b")
    region: str = "norge-ost"
    database: str = "strekk-db"
    slots: int = 2
    connections: int = 15
    organisations: tuple[tuple[str, float, int], ...] = (
        ("storgata-sport", 400.0, 400),
        ("verksted", 400.0, 400),
    )
    members: int = 3
    lag_ms: float = 20.0
    request_timeout_ms: int = 5000
    drain_timeout_ms: int = 10000
    vm_list_lag_ms: float = 500.0


@attrs.define
class ProxyProcess:
    """One proxy process with its ports, settings and log."""

    name: str
    zone: str
    client_port: int
    peer_port: int
    admin_port: int
    settings: Path
    log: Path
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process; its output is appended to the log file."""
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "radishtrack.cli.main",
                    "proxy",
                    "--settings",
                    str(self.settings),
                ],
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONPATH": str(SOURCE_DIRECTORY)},
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait(5)

    def stop(self, timeout_s: float = 20.0) -> int:
        """Terminate the process and return its exit code.

        A process that does not end in time is killed; the result is then -1.
        """
        if self.process is None:
            return 0
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            return self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return -1

    def is_ready(self) -> bool:
        """Return whether the proxy reports that it is ready."""
        try:
            with urllib.request.urlopen(
                f"http://{HOST}:{self.admin_port}/readyz", timeout=1
            ) as response:
                return int(response.status) == 200
        except (OSError, http.client.HTTPException):
            # Another process may have bound the port since it was chosen.
            return False


@attrs.define
class Cluster:
    """The processes, directory and keys of a deployment."""

    plan: ClusterPlan
    directory: Path
    platform: StandinProcess
    members: dict[str, StandinProcess]
    proxies: list[ProxyProcess]
    keys: dict[str, str] = attrs.field(factory=dict)

    @property
    def platform_url(self) -> str:
        """URL of the platform stand-in."""
        return f"http://{HOST}:{self.platform.ports['port']}"

    def call_platform(self, method: str, path: str, body: Any = None) -> Any:
        """Call the platform's HTTP API and return the JSON response."""
        return call_json(method, self.platform_url + path, body)

    def get_record(self) -> dict[str, Any]:
        """Return the group record of the database."""
        response = self.call_platform("GET", f"/objects/groups/{self.plan.database}")
        value: dict[str, Any] = response["value"]
        return value

    def primary(self) -> str:
        """Return the name of the primary in the group record."""
        return str(self.get_record()["primary"])

    def control_member(self, member: str, switches: dict[str, Any]) -> None:
        """Set fault switches of a member."""
        port = self.members[member].ports["control_port"]
        call_json("POST", f"http://{HOST}:{port}/control", switches)

    def control_platform(self, switches: dict[str, Any]) -> None:
        """Set fault switches of the platform."""
        self.call_platform("POST", "/control", switches)

    def read_rows(self, member: str, table: str) -> list[list[Any]]:
        """Return all rows of a table on one member."""
        port = self.members[member].ports["control_port"]
        response = call_json("GET", f"http://{HOST}:{port}/rows/{table}")
        rows: list[list[Any]] = response["rows"]
        return rows

    def run_cli(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the command-line tool and capture its output."""
        return subprocess.run(
            [sys.executable, "-m", "radishtrack.cli.main", *arguments],
            capture_output=True,
            text=True,
            check=False,
            env={**os.environ, "PYTHONPATH": str(SOURCE_DIRECTORY)},
        )

    def apply_configuration(
        self, organisations: tuple[tuple[str, float, int], ...], revision: int
    ) -> subprocess.CompletedProcess[str]:
        """Apply a configuration with these organisations by the command-line tool.

        `revision` is the revision that the configuration replaces.
        """
        path = self.directory / f"configuration-{revision}.toml"
        path.write_text(make_configuration(self, organisations))
        return self.run_cli(
            "config",
            "apply",
            str(path),
            "--revision",
            str(revision),
            "--platform",
            self.platform_url,
        )

    def issue_key(self, organisation: str) -> str:
        """Issue a key for an organisation, store it in `keys` and return it.

        Raises
        ------
        RuntimeError
            If the command fails.
        """
        command = self.run_cli(
            "keys", "issue", organisation, "--platform", self.platform_url
        )
        if command.returncode:
            raise RuntimeError(command.stderr)
        key = command.stdout.strip().splitlines()[-1]
        self.keys[organisation] = key
        return key

    def restart_member(self, member: str) -> None:
        """Start a member again with its ports and its stored data and group state."""
        ports = self.members[member].ports
        self.members[member] = start_standin(
            "member",
            *make_member_arguments(self.plan, self.directory, member),
            *(f"--{name.replace('_', '-')}={port}" for name, port in ports.items()),
        )

    async def wait_until(self, condition: Any, timeout_s: float = 15.0) -> bool:
        """Poll a condition in a thread; return whether it became true in time."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            if await asyncio.to_thread(condition):
                return True
            await asyncio.sleep(0.1)
        return False

    def close(self) -> None:
        """End all processes."""
        for proxy in self.proxies:
            proxy.kill()
        for member in self.members.values():
            with contextlib.suppress(OSError, subprocess.TimeoutExpired):
                member.stop()
        self.platform.stop()


def call_json(method: str, url: str, body: Any = None) -> Any:
    """Send a JSON request and return the JSON response, or None if it has none."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        url, data, {"Content-Type": "application/json"}, method=method
    )
    with urllib.request.urlopen(request, timeout=5) as response:
        text = response.read()
    return json.loads(text) if text.strip()[:1] in (b"{", b"[") else None


def make_member_arguments(plan: ClusterPlan, directory: Path, name: str) -> list[str]:
    """Return the command-line arguments of a member without ports and source."""
    return [
        f"--name={name}",
        f"--directory={directory / name}",
        f"--max-connections={plan.connections}",
        f"--replication-lag-ms={plan.lag_ms}",
    ]


def start_cluster(plan: ClusterPlan) -> Cluster:
    """Start a deployment, apply its configuration and issue a key per organisation.

    Raises
    ------
    RuntimeError
        If a step fails; all processes are stopped first.
    """
    directory = Path(tempfile.mkdtemp(prefix="radishtrack-"))
    platform = start_standin("platform", f"--vm-list-lag-ms={plan.vm_list_lag_ms}")
    members: dict[str, StandinProcess] = {}
    for number in range(1, plan.members + 1):
        name = f"m{number}"
        arguments = make_member_arguments(plan, directory, name)
        if members:
            arguments.append(f"--source={HOST}:{members['m1'].ports['port']}")
        members[name] = start_standin("member", *arguments)
    cluster = Cluster(plan, directory, platform, members, [])
    try:
        set_up(cluster)
    except BaseException:
        cluster.close()
        raise
    return cluster


def set_up(cluster: Cluster) -> None:
    """Store the group record and configuration, issue keys and start the proxies.

    Raises
    ------
    RuntimeError
        If a step fails.
    """
    plan = cluster.plan
    cluster.call_platform(
        "PUT",
        f"/objects/groups/{plan.database}",
        {"value": make_group_value(cluster), "expected_version": 0},
    )
    applied = cluster.apply_configuration(plan.organisations, 0)
    if applied.returncode:
        raise RuntimeError(applied.stderr + applied.stdout)
    for name, _, _ in plan.organisations:
        cluster.issue_key(name)
    for number, zone in enumerate(plan.zones, 1):
        cluster.proxies.append(make_proxy(cluster, f"p{number}", zone))
    for proxy in cluster.proxies:
        proxy.start()
    wait_until_ready(cluster)


def wait_until_ready(cluster: Cluster) -> None:
    """Wait until all proxies are ready.

    Raises
    ------
    RuntimeError
        If a proxy is not ready in time; the message has the end of its log.
    """
    end_s = time.monotonic() + START_TIMEOUT_S
    for proxy in cluster.proxies:
        while not proxy.is_ready():
            if proxy.process is not None and proxy.process.poll() is not None:
                # Another process may have bound a port since it was chosen.
                replace_ports(proxy)
                proxy.start()
            if time.monotonic() > end_s:
                log = proxy.log.read_text()[-3000:]
                raise RuntimeError(f"{proxy.name} is not ready:\n{log}")
            time.sleep(0.1)


def make_proxy(cluster: Cluster, name: str, zone: str) -> ProxyProcess:
    """Write the settings of a proxy with free ports and return the proxy."""
    client_port, peer_port, admin_port = find_free_ports(3)
    path = cluster.directory / f"{name}.toml"
    seeds = ", ".join(f'"{HOST}:{proxy.peer_port}"' for proxy in cluster.proxies)
    path.write_text(
        f"""
[node]
id = "{name}"
zone = "{zone}"
region = "{cluster.plan.region}"
[listen]
client_host = "{HOST}"
client_port = {client_port}
peer_host = "{HOST}"
peer_port = {peer_port}
admin_host = "{HOST}"
admin_port = {admin_port}
[platform]
url = "{cluster.platform_url}"
[peers]
secret = "{PEER_SECRET}"
seeds = [{seeds}]
[database_login]
user = "radishtrack"
password = ""
[limits]
request_timeout_ms = {cluster.plan.request_timeout_ms}
drain_timeout_ms = {cluster.plan.drain_timeout_ms}
[log]
format = "text"
"""
    )
    log = cluster.directory / f"{name}.log"
    return ProxyProcess(name, zone, client_port, peer_port, admin_port, path, log)


def replace_ports(proxy: ProxyProcess) -> None:
    """Choose new ports for a proxy and write them into its settings."""
    text = proxy.settings.read_text()
    ports = find_free_ports(3)
    old_ports = (proxy.client_port, proxy.peer_port, proxy.admin_port)
    names = ("client_port", "peer_port", "admin_port")
    for name, old_port, port in zip(names, old_ports, ports, strict=True):
        text = text.replace(f"{name} = {old_port}", f"{name} = {port}")
    proxy.settings.write_text(text)
    proxy.client_port, proxy.peer_port, proxy.admin_port = ports


def find_free_ports(count: int) -> list[int]:
    """Return distinct free ports, reserved by this process.

    They are below the range from which the system assigns ports, so neither a listener
    nor a connection without a port of its own takes one before it is bound. Each stays
    bound to a socket that does not listen: a later call, here or in another process,
    skips it, and a server that sets SO_REUSEADDR, as asyncio does, can still bind it.
    A reservation ends with the process or after `MAX_RESERVED_PORTS` later ones.
    """
    low = int(EPHEMERAL_PORTS.read_text().split()[0])
    candidates = random.sample(range(low // 2, low), MAX_PORT_CHECKS)
    ports: list[int] = []
    for port in candidates:
        holder = socket.socket()
        try:
            holder.bind((HOST, port))
        except OSError:
            holder.close()
            continue
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved_ports.append(holder)
        if len(reserved_ports) > MAX_RESERVED_PORTS:
            reserved_ports.popleft().close()
        ports.append(port)
        if len(ports) == count:
            return ports
    raise RuntimeError("no free ports")


def make_group_value(cluster: Cluster) -> dict[str, Any]:
    """Return the initial value of the group record."""
    return {
        "term": 1,
        "primary": "m1",
        "members": {
            name: {
                "host": HOST,
                "port": member.ports["port"],
                "admin_port": member.ports["admin_port"],
                "zone": f"oslo-{'abc'[number % 3]}",
            }
            for number, (name, member) in enumerate(cluster.members.items())
        },
        "history": [[1, 0]],
        "attempt": "initial",
    }


def make_configuration(
    cluster: Cluster, organisations: tuple[tuple[str, float, int], ...]
) -> str:
    """Return the configuration of the deployment as TOML."""
    plan = cluster.plan
    parts = ['[[owner]]\nname = "fjellsko"\n']
    parts += [
        f'[[organisation]]\nname = "{name}"\nowner = "fjellsko"\n'
        f"rate = {rate}\nburst = {burst}\n"
        for name, rate, burst in organisations
    ]
    parts.append(
        f'[[database]]\nname = "{plan.database}"\nowner = "fjellsko"\n'
        f'region = "{plan.region}"\nslots = {plan.slots}\n'
        f"connections = {plan.connections}\n"
    )
    for name, fields in make_group_value(cluster)["members"].items():
        parts.append(
            f'[[database.member]]\nname = "{name}"\nhost = "{HOST}"\n'
            f"port = {fields['port']}\nadmin_port = {fields['admin_port']}\n"
            f'zone = "{fields["zone"]}"\n'
        )
    parts.append(
        f'[[service]]\nname = "stretching"\ndatabase = "{plan.database}"\n'
        '[[service.route]]\nname = "orders"\ntables = ["orders", "receipts"]\n'
        'class = "session"\n'
        '[[service.route]]\nname = "history"\ntables = ["history"]\n'
        'class = "aged"\nmax_age_ms = 5000\nopen = true\nstatements = ["select"]\n'
        '[[service.route]]\nname = "rest"\ntables = ["*"]\n'
    )
    return "\n".join(parts)
