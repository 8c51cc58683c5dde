"""Relay that can be cut for single processes, to leave one path open in a partition.

All proxies read the same addresses of the members, so only the process at the other
end of a connection distinguishes the paths of single proxies.
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


def find_socket_inode(port: int) -> str:
    """Return the inode of the local socket with this port, or an empty string."""
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[1].split(":")[1], 16) == port and fields[_INODE_FIELD] != "0":
            return fields[_INODE_FIELD]
    return ""


def has_socket(process_id: int, port: int) -> bool:
    """Return whether a process has the local socket with this port open."""
    link = f"socket:[{find_socket_inode(port)}]"
    try:
        with os.scandir(f"/proc/{process_id}/fd") as entries:
            return any(_read_link(entry.path) == link for entry in entries)
    except OSError:
        return False


def _read_link(path: str) -> str:
    try:
        return os.readlink(path)
    except OSError:
        return ""


@attrs.define
class PathRelay:
    """Forwards connections, but holds back the data of the cut processes."""

    target_host: str
    target_port: int
    cut: frozenset[int] = frozenset()
    """IDs of the processes whose connections are held back."""
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def set_cut(self, process_ids: frozenset[int]) -> None:
        """Cut the connections of these processes and restore all others."""
        self.cut = process_ids
        self.changed.set()
        self.changed = asyncio.Event()

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection."""
        port = int(writer.get_extra_info("peername")[1])
        writers = [writer]
        try:
            await self._wait_while_cut(port)
            target_reader, target_writer = await asyncio.open_connection(
                self.target_host, self.target_port
            )
            writers.append(target_writer)
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._pump(reader, target_writer, port))
                tasks.create_task(self._pump(target_reader, writer, port))
        except* (OSError, asyncio.CancelledError):
            # Cancelled only when this process ends.
            pass
        finally:
            for each in writers:
                each.transport.abort()

    async def _wait_while_cut(self, port: int) -> None:
        while any(has_socket(process_id, port) for process_id in self.cut):
            await self.changed.wait()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, port: int
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await self._wait_while_cut(port)
            writer.write(data)
            await writer.drain()
        await self._wait_while_cut(port)
        # One closed direction ends the connection: the proxies never half-close one.
        raise ConnectionResetError


async def _serve(target: str) -> None:
    host, port = target.rsplit(":", 1)
    relay = PathRelay(host, int(port))

    async def control(request: web.Request) -> web.Response:
        values = await request.json()
        relay.set_cut(frozenset(values["cut"]))
        return web.json_response({})

    server = await asyncio.start_server(relay.accept, HOST, 0)
    application = web.Application()
    application.router.add_post("/control", control)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, HOST, 0).start()
    stopped = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stopped.set)
    own_port = server.sockets[0].getsockname()[1]
    print(f"paths port={own_port} control_port={runner.addresses[0][1]}", flush=True)
    await stopped.wait()
    server.close()
    await runner.cleanup()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(prog="radishtrack_standins.faults.paths")
    parser.add_argument("--target", required=True, help="HOST:PORT")
    asyncio.run(_serve(parser.parse_args().target))
