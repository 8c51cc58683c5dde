"""Relay that is cut for some processes only: a partition with one open path.

All proxies read the same addresses of the members, so the paths of single proxies can
only be told apart by the process at the other end of a connection.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
from pathlib import Path
from typing import Final

import attrs
from aiohttp import web

HOST: Final = "127.0.0.1"
CHUNK_BYTES: Final = 65_536
_INODE_FIELD: Final = 9


def find_inode(port: int) -> str:
    """Return the inode of the local socket with this port, or nothing."""
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[1].split(":")[1], 16) == port and fields[_INODE_FIELD] != "0":
            return fields[_INODE_FIELD]
    return ""


def is_owner(process: int, port: int) -> bool:
    """Whether a process holds the local socket with this port."""
    wanted = f"socket:[{find_inode(port)}]"
    try:
        with os.scandir(f"/proc/{process}/fd") as entries:
            return any(_read_link(entry.path) == wanted for entry in entries)
    except OSError:
        return False


def _read_link(path: str) -> str:
    try:
        return os.readlink(path)
    except OSError:
        return ""


@attrs.define
class Paths:
    """Forwards connections, but holds back those of the cut processes."""

    target_host: str
    target_port: int
    cut: frozenset[int] = frozenset()
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def set_cut(self, processes: frozenset[int]) -> None:
        """Cut the paths of these processes and heal all others."""
        self.cut = processes
        self.changed.set()
        self.changed = asyncio.Event()

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection."""
        port = int(writer.get_extra_info("peername")[1])
        writers = [writer]
        try:
            await self._pass(port)
            back_reader, back_writer = await asyncio.open_connection(
                self.target_host, self.target_port
            )
            writers.append(back_writer)
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._pump(reader, back_writer, port))
                tasks.create_task(self._pump(back_reader, writer, port))
        except* (OSError, asyncio.CancelledError):
            # Cancelled only when the process ends.
            pass
        finally:
            for each in writers:
                each.transport.abort()

    async def _pass(self, port: int) -> None:
        while any(is_owner(process, port) for process in self.cut):
            await self.changed.wait()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, port: int
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await self._pass(port)
            writer.write(data)
            await writer.drain()
        await self._pass(port)
        # One closed direction ends the connection, as the proxies never half-close.
        raise ConnectionResetError


async def _serve(target: str) -> None:
    host, port = target.rsplit(":", 1)
    paths = Paths(host, int(port))

    async def control(request: web.Request) -> web.Response:
        values = await request.json()
        paths.set_cut(frozenset(values["cut"]))
        return web.json_response({})

    server = await asyncio.start_server(paths.accept, HOST, 0)
    application = web.Application()
    application.router.add_post("/control", control)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, HOST, 0).start()
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    own = server.sockets[0].getsockname()[1]
    print(f"paths port={own} control_port={runner.addresses[0][1]}", flush=True)
    await stopped.wait()
    server.close()
    await runner.cleanup()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(prog="radishtrack_standins.faults.paths")
    parser.add_argument("--target", required=True, help="HOST:PORT")
    asyncio.run(_serve(parser.parse_args().target))
