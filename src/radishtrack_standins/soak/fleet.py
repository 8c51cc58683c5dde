"""Real nodes as processes, with relays on all of their connections."""

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
from radishtrack_standins.object_store import ShowObject, StandInStore
from radishtrack_standins.relay import Relay, start_relay
from radishtrack_standins.soak.group import Group

PROGRAM: Final = Path(__file__).resolve().parents[3] / "deploy" / "radishtrack_node.py"
HOST: Final = "127.0.0.1"
FIRST_HOST: Final = 2
"""Last number of the first node's loopback address."""
END_S: Final = 8.0
"""Longest wait for a node after SIGTERM; the grace period is 6 s."""
BOUNDS: Final = {"graceS": 6, "revokeStrict": True, "revokeMs": 5_000}


@attrs.define(eq=False)
class NodeProcess:
    """One node; its own links go through relays.

    Parameters
    ----------
    name : str
        Name of the node.
    host : str
        Loopback address of its own, because all nodes use one port for metrics.
    ports : dict
        Ports for ``frontend``, ``ready`` and ``peer``.
    relays : dict
        Relays by what they lead to: ``store``, a member or another node.
    """

    name: str
    host: str
    ports: dict[str, int]
    directory: Path
    relays: dict[str, Relay] = attrs.field(factory=dict)
    process: subprocess.Popen[bytes] | None = None
    is_ending: bool = False
    starts: int = 0

    def start(self) -> None:
        """Start the process, unless it runs."""
        if self.process is not None and self.process.poll() is None:
            return
        self.starts += 1
        settings = self.directory / f"{self.name}.json"
        settings.write_text(json.dumps(self._make_settings()))
        with (self.directory / f"{self.name}.{self.starts}.log").open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, str(PROGRAM), "edge"],
                env=os.environ | {SETTINGS_VARIABLE: str(settings)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs.

        A process that was asked to end is not stopped: it could not end in time.
        """
        if self.is_ending and number is signal.SIGSTOP:
            return
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def end(self, number: signal.Signals) -> bool:
        """End the process with a signal; return whether it ended by itself in time."""
        if self.process is None:
            return True
        self.is_ending = True
        self.send(signal.SIGCONT)
        self.send(number)
        loop = asyncio.get_running_loop()
        until_s = loop.time() + END_S
        while self.process.poll() is None and loop.time() < until_s:
            await asyncio.sleep(0.05)
        in_time = self.process.poll() is not None
        if not in_time:
            self.process.kill()
        self.process.wait(END_S)
        self.is_ending = False
        return in_time

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
            "bounds": BOUNDS,
        }


def make_host(number: int) -> str:
    """Return a loopback address that no other run on this machine uses."""
    process = os.getpid()
    return f"127.{process >> 8 & 255}.{process & 255}.{number}"


async def make_nodes(
    names: tuple[str, ...], store: StandInStore, group: Group, directory: Path
) -> dict[str, NodeProcess]:
    """Return nodes whose links to store, members and each other have relays."""
    nodes = {
        name: NodeProcess(
            name,
            make_host(FIRST_HOST + number),
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
    """Return how a node sees addresses: as those of its own relays."""

    def show(kind: str, stored: dict[str, Any]) -> dict[str, Any]:
        name = str(stored["meta"]["name"]).removeprefix("node.")
        relay = node.relays.get(name)
        if relay is None:
            return stored
        shown = copy.deepcopy(stored)
        if kind == "servers":
            shown["spec"]["address"] = f"{HOST}:{relay.port}"
        elif "port" in shown["spec"]:
            shown["spec"] |= {"host": HOST, "port": relay.port}
        return shown

    return show
