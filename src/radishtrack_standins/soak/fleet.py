"""Node processes with relays on all connections that they open."""

from __future__ import annotations

import asyncio
import copy
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any, Final

import attrs

from radishtrack.platform.settings import SETTINGS_VARIABLE
from radishtrack_standins.cluster import find_free_ports
from radishtrack_standins.object_store import ShowObject, StandinStore
from radishtrack_standins.relay import Relay, start_relay
from radishtrack_standins.soak.group import Group

NODE_PROGRAM: Final = (
    Path(__file__).resolve().parents[3] / "deploy" / "radishtrack_node.py"
)
HOST: Final = "127.0.0.1"
FIRST_HOST_NUMBER: Final = 2
"""Last octet of the first node's loopback address."""
END_TIMEOUT_S: Final = 8.0
"""Longest wait for a node to end after SIGTERM; its grace period is 6 s."""
NODE_BOUNDS: Final = {"graceS": 6, "revokeStrict": True, "revokeMs": 5_000}


@attrs.define(eq=False)
class NodeProcess:
    """One node, whose outgoing connections go through relays.

    Parameters
    ----------
    name : str
        Name of the node.
    host : str
        Own loopback address, because all nodes use the same port for metrics.
    ports : dict
        Ports for ``frontend``, ``ready`` and ``peer``.
    directory : pathlib.Path
        Directory of settings and logs.
    relays : dict
        Relays by target: ``store``, a member or another node.
    """

    name: str
    host: str
    ports: dict[str, int]
    directory: Path
    relays: dict[str, Relay] = attrs.field(factory=dict)
    process: subprocess.Popen[bytes] | None = None
    is_ending: bool = False
    start_count: int = 0

    def start(self) -> None:
        """Start the process, unless it is running."""
        if self.process is not None and self.process.poll() is None:
            return
        self.start_count += 1
        settings = self.directory / f"{self.name}.json"
        settings.write_text(json.dumps(self._make_settings()))
        with (self.directory / f"{self.name}.{self.start_count}.log").open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, str(NODE_PROGRAM), "edge"],
                env=os.environ | {SETTINGS_VARIABLE: str(settings)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it is running.

        A process that is ending does not get SIGSTOP: it could not end in time.
        """
        if self.is_ending and number is signal.SIGSTOP:
            return
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def end(self, number: signal.Signals) -> bool:
        """End the process with a signal; return whether it ended in time.

        A process that does not end in time is killed.
        """
        if self.process is None:
            return True
        self.is_ending = True
        self.send(signal.SIGCONT)
        self.send(number)
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + END_TIMEOUT_S
        while self.process.poll() is None and loop.time() < deadline_s:
            await asyncio.sleep(0.05)
        is_in_time = self.process.poll() is not None
        if not is_in_time:
            self.process.kill()
        self.process.wait(END_TIMEOUT_S)
        self.is_ending = False
        return is_in_time

    def _make_settings(self) -> dict[str, Any]:
        store = f"{HOST}:{self.relays['store'].port}"
        return {
            "nodeName": self.name,
            "ip": self.host,
            "zone": "oslo-a",
            "listen": {
                "frontend": f"{self.host}:{self.ports['frontend']}",
                "ready": f"{self.host}:{self.ports['ready']}",
            },
            "internalPorts": [self.ports["peer"], self.ports["peer"]],
            "platform": {"address": store},
            "cloudApi": {"address": store},
            "bounds": NODE_BOUNDS,
        }


def make_host(number: int) -> str:
    """Return a loopback address from the process ID, so that runs do not share it."""
    process = os.getpid()
    return f"127.{process >> 8 & 255}.{process & 255}.{number}"


async def make_nodes(
    names: tuple[str, ...], store: StandinStore, group: Group, directory: Path
) -> dict[str, NodeProcess]:
    """Return nodes with relays to the store, the members and each other."""
    nodes = {
        name: NodeProcess(
            name,
            make_host(FIRST_HOST_NUMBER + number),
            dict(zip(("frontend", "ready", "peer"), find_free_ports(3), strict=True)),
            directory,
        )
        for number, name in enumerate(names)
    }
    for node in nodes.values():
        targets = {
            member.name: (HOST, member.port) for member in group.members.values()
        }
        others = (other for other in nodes.values() if other is not node)
        targets |= {other.name: (other.host, other.ports["peer"]) for other in others}
        for name, target in targets.items():
            node.relays[name] = await start_relay(*target)
        view = await store.open_view(_make_view(node))
        node.relays["store"] = await start_relay(HOST, view)
    return nodes


def _make_view(node: NodeProcess) -> ShowObject:
    """Return a view that replaces addresses by those of the node's relays."""

    def show(kind: str, stored: dict[str, Any]) -> dict[str, Any]:
        name = str(stored["meta"]["name"]).removeprefix("node.")
        relay = node.relays.get(name)
        if relay is None:
            return stored
        translated = copy.deepcopy(stored)
        if kind == "servers":
            translated["spec"]["address"] = f"{HOST}:{relay.port}"
        elif "port" in translated["spec"]:
            translated["spec"] |= {"host": HOST, "port": relay.port}
        return translated

    return show
