"""Process of one database member: `python -m radishtrack_standins.member`."""

from __future__ import annotations

import argparse
import asyncio
import signal
from pathlib import Path
from typing import Final

import attrs
from aiohttp import web

from radishtrack_standins.member_control import make_control
from radishtrack_standins.member_core import Member, make_member
from radishtrack_standins.member_replica import Replica
from radishtrack_standins.member_server import (
    ADMIN,
    MAIN,
    MemberPort,
    ServerSettings,
    start_port,
)

HOST: Final = "127.0.0.1"


@attrs.define(frozen=True)
class MemberSettings:
    """Command-line options of a member; port 0 selects a free port.

    Parameters
    ----------
    name : str
        Name of the member.
    directory : pathlib.Path
        Directory of the data and the group state.
    port, admin_port : int
        Ports for clients and for administration.
    control_port : int
        Port of the fault switches.
    max_connections : int
        Limit of client connections on the main port.
    connect_cost_ms : float
        Delay before the handshake on the main port, in milliseconds.
    replication_lag_ms : float
        Time between receiving and applying a change, in milliseconds.
    source : str
        ``host:port`` of the primary that a new replica follows; empty for a primary.
    term : int
        Term of a member without stored state.
    password : str
        Password of all users.
    """

    name: str
    directory: Path
    port: int = 0
    admin_port: int = 0
    control_port: int = 0
    max_connections: int = 15
    connect_cost_ms: float = 10.0
    replication_lag_ms: float = 0.0
    source: str = ""
    term: int = 1
    password: str = ""


@attrs.define
class RunningMember:
    """A member that runs in this process, and its ports."""

    member: Member
    port: int
    admin_port: int
    control_port: int
    servers: list[MemberPort]
    runner: web.AppRunner
    replication: asyncio.Task[None]

    async def close(self) -> None:
        """Stop serving and close the data."""
        self.replication.cancel()
        await asyncio.gather(self.replication, return_exceptions=True)
        for server in self.servers:
            await server.close()
        await self.runner.cleanup()
        self.member.log.close()


async def start_member(settings: MemberSettings) -> RunningMember:
    """Start a member in the running event loop."""
    member = make_member(
        settings.name,
        settings.directory,
        source=settings.source,
        term=settings.term,
        lag_ms=settings.replication_lag_ms,
    )
    servers = [
        await start_port(
            member,
            ServerSettings(
                kind,
                settings.max_connections,
                settings.connect_cost_ms if kind == MAIN else 0.0,
                settings.password,
            ),
            HOST,
            port,
        )
        for kind, port in ((MAIN, settings.port), (ADMIN, settings.admin_port))
    ]
    runner = web.AppRunner(make_control(member), access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, HOST, settings.control_port)
    await site.start()
    replica = Replica(member, settings.password)
    return RunningMember(
        member=member,
        port=servers[0].number,
        admin_port=servers[1].number,
        control_port=runner.addresses[0][1],
        servers=servers,
        runner=runner,
        replication=asyncio.create_task(replica.run()),
    )


def parse_settings(arguments: list[str] | None = None) -> MemberSettings:
    """Return the settings from command-line arguments."""
    parser = argparse.ArgumentParser(prog="radishtrack_standins.member")
    for field in attrs.fields(MemberSettings):
        required = field.default is attrs.NOTHING
        parser.add_argument(
            "--" + field.name.replace("_", "-"),
            required=required,
            default=None if required else field.default,
            type=type(field.default) if not required else str,
        )
    values = vars(parser.parse_args(arguments))
    return MemberSettings(**{**values, "directory": Path(values["directory"])})


async def _serve(settings: MemberSettings) -> None:
    running = await start_member(settings)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    print(
        f"member {settings.name} port={running.port}"
        f" admin_port={running.admin_port} control_port={running.control_port}",
        flush=True,
    )
    await stopped.wait()
    await running.close()


if __name__ == "__main__":
    asyncio.run(_serve(parse_settings()))
