"""TCP relay that injects partitions: it can cut, refuse, delay or slow connections."""

from __future__ import annotations

import argparse
import asyncio
import signal
from typing import Any, Final

import attrs
from aiohttp import web

HOST: Final = "127.0.0.1"
CHUNK_BYTES: Final = 65_536
MAX_QUEUED_CHUNKS: Final = 64
SLOW_CHUNK_BYTES: Final = 8_192
"""Size of the chunks by which connections share a bandwidth."""

Chunk = tuple[float, bytes]
"""Due time in seconds by the event loop's clock, and the data; empty at the end."""


@attrs.define
class RelayFaults:
    """Switches of a relay; all off at first.

    While a direction is cut, its data and the end of its streams are held back, and
    sockets stay open. After healing they are delivered late, as by TCP.
    """

    cut_to_target: bool = False
    cut_from_target: bool = False
    refuse: bool = False
    """Closes the listening socket and resets all connections."""
    delay_ms: float = 0.0
    """Added to each chunk in both directions."""


@attrs.define(eq=False)
class Bandwidth:
    """Capacity of one direction of a link, shared by the relays that have it.

    Parameters
    ----------
    bytes_per_s : float
        Capacity in bytes a second.
    """

    bytes_per_s: float
    free_s: float = 0.0
    sent_bytes: int = 0
    """Size of all that was sent."""

    def reserve(self, size: int, now_s: float) -> float:
        """Return when `size` bytes that are sent now have been transmitted."""
        self.sent_bytes += size
        self.free_s = max(self.free_s, now_s) + size / self.bytes_per_s
        return self.free_s


class Relay:
    """Forwards connections from one port to a target; made by `start_relay`."""

    def __init__(
        self, target_host: str, target_port: int, bandwidth: Bandwidth | None = None
    ) -> None:
        self.target_host = target_host
        self.target_port = target_port
        self.bandwidth = bandwidth
        self.port = 0
        self.faults = RelayFaults()
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.connections_opened = 0

    async def start(self, port: int = 0) -> None:
        """Listen; port 0 chooses a free port."""
        self.server = await asyncio.start_server(self._accept, HOST, port)
        self.port = int(self.server.sockets[0].getsockname()[1])

    async def set(self, **values: Any) -> None:
        """Set switches of `RelayFaults` by name."""
        self.faults = attrs.evolve(self.faults, **values)
        self.changed.set()
        self.changed = asyncio.Event()
        if self.faults.refuse:
            await self._stop()
        elif self.server is None:
            await self.start(self.port)

    async def cut(self) -> None:
        """Cut both directions."""
        await self.set(cut_to_target=True, cut_from_target=True)

    async def heal(self) -> None:
        """End the cuts in both directions and the refusal; a delay stays."""
        await self.set(cut_to_target=False, cut_from_target=False, refuse=False)

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        await self._stop()

    async def _stop(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._forward(reader, writer))
        self.tasks.add(task)
        self.connections_opened += 1
        await asyncio.wait({task})
        self.tasks.discard(task)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writers = [writer]
        try:
            while self._is_cut(True):
                await self.changed.wait()
            target_reader, target_writer = await asyncio.open_connection(
                self.target_host, self.target_port
            )
            writers.append(target_writer)
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._forward_stream(reader, target_writer, True))
                tasks.create_task(self._forward_stream(target_reader, writer, False))
        except* OSError:
            pass
        finally:
            for open_writer in writers:
                open_writer.transport.abort()

    def _is_cut(self, to_target: bool) -> bool:
        faults = self.faults
        return faults.cut_to_target if to_target else faults.cut_from_target

    async def _forward_stream(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        to_target: bool,
    ) -> None:
        queue: asyncio.Queue[Chunk] = asyncio.Queue(MAX_QUEUED_CHUNKS)
        bandwidth = None if to_target else self.bandwidth
        reader_task = asyncio.create_task(self._read_chunks(reader, queue, bandwidth))
        loop = asyncio.get_running_loop()
        try:
            while True:
                due_s, data = await queue.get()
                await asyncio.sleep(max(0.0, due_s - loop.time()))
                while self._is_cut(to_target):
                    await self.changed.wait()
                if not data:
                    writer.write_eof()
                    return
                writer.write(data)
                await writer.drain()
        finally:
            reader_task.cancel()

    async def _read_chunks(
        self,
        reader: asyncio.StreamReader,
        queue: asyncio.Queue[Chunk],
        bandwidth: Bandwidth | None,
    ) -> None:
        loop = asyncio.get_running_loop()
        chunk_bytes = CHUNK_BYTES if bandwidth is None else SLOW_CHUNK_BYTES
        data = b"-"
        while data:
            try:
                data = await reader.read(chunk_bytes)
            except OSError:
                data = b""
            if bandwidth is not None:
                sent_s = bandwidth.reserve(len(data), loop.time())
                await asyncio.sleep(sent_s - loop.time())
            await queue.put((loop.time() + self.faults.delay_ms / 1000, data))


async def start_relay(
    target_host: str,
    target_port: int,
    *,
    port: int = 0,
    bandwidth: Bandwidth | None = None,
) -> Relay:
    """Start a relay in the running event loop.

    Parameters
    ----------
    target_host, target_port : str, int
        Address to which connections are forwarded.
    port : int
        Port to listen on; 0 chooses a free one.
    bandwidth : Bandwidth, optional
        Capacity towards the clients; unlimited by default.
    """
    relay = Relay(target_host, target_port, bandwidth)
    await relay.start(port)
    return relay


def make_control(relay: Relay) -> web.Application:
    """Return the HTTP application with ``POST /control``."""

    async def control(request: web.Request) -> web.Response:
        try:
            await relay.set(**await request.json())
        except TypeError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        return web.json_response(attrs.asdict(relay.faults))

    application = web.Application()
    application.router.add_post("/control", control)
    return application


async def _serve(arguments: argparse.Namespace) -> None:
    host, port = arguments.target.rsplit(":", 1)
    relay = await start_relay(host, int(port), port=arguments.port)
    runner = web.AppRunner(make_control(relay), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, HOST, arguments.control_port).start()
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    control_port = runner.addresses[0][1]
    print(f"relay port={relay.port} control_port={control_port}", flush=True)
    await stopped.wait()
    await relay.close()
    await runner.cleanup()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(prog="radishtrack_standins.relay")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--control-port", type=int, default=0)
    parser.add_argument("--target", required=True, help="HOST:PORT")
    asyncio.run(_serve(parser.parse_args()))
