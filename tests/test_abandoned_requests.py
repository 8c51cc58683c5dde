"""Tests that a request that was given up does not arrive later.

What a partition holds up is sent on when it ends, unless the connection was reset.
"""

from __future__ import annotations

import asyncio
import socket
import sys
from collections.abc import Awaitable, Callable

import attrs
import pytest
import uvloop

from radishtrack.group.status import Role
from radishtrack.platform.http_client import HttpClient, HttpError
from radishtrack.platform.lines import LineConnection
from radishtrack.platform.member_link import WireLink, open_wire_link
from radishtrack.platform.promotion_order import make_promote_member
from radishtrack.platform.sockets import USER_TIMEOUT_MS
from radishtrack.pooler.catalog import Member
from radishtrack.pooler.ports import LinkLost, PromotionResult
from radishtrack.pooler.statements import Fence, GetStatus, MemberStatement, Run

RECEIVE_BYTES = 4_096
REQUEST_BYTES = 400_000
END = b"-end-of-the-request"
TIMEOUT_MS = 200.0

LOOPS = [asyncio.new_event_loop, uvloop.new_event_loop]


@attrs.define
class SlowReceiver:
    """A server with a small receive buffer that reads only when it is told to."""

    listener: socket.socket
    accepted: socket.socket | None = None

    @property
    def port(self) -> int:
        port: int = self.listener.getsockname()[1]
        return port

    async def accept(self) -> None:
        loop = asyncio.get_running_loop()
        self.accepted, _ = await loop.sock_accept(self.listener)
        self.accepted.setblocking(False)

    async def send(self, data: bytes) -> None:
        assert self.accepted is not None
        await asyncio.get_running_loop().sock_sendall(self.accepted, data)

    async def receive(self) -> bytes:
        assert self.accepted is not None
        return await asyncio.get_running_loop().sock_recv(self.accepted, 65_536)

    async def drain(self) -> tuple[bytes, bool]:
        """Return what arrives, and whether the connection was reset."""
        assert self.accepted is not None
        received = bytearray()
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(5.0):
                while data := await loop.sock_recv(self.accepted, 65_536):
                    received += data
        except ConnectionResetError:
            return bytes(received), True
        return bytes(received), False


Script = Callable[[SlowReceiver], Awaitable[None]]


def run_with_receiver(
    make_loop: Callable[[], asyncio.AbstractEventLoop], script: Script
) -> None:
    async def run() -> None:
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            listener.setblocking(False)
            receiver = SlowReceiver(listener)
            try:
                await script(receiver)
            finally:
                if receiver.accepted is not None:
                    receiver.accepted.close()

    with asyncio.Runner(loop_factory=make_loop) as runner:
        runner.run(run())


async def open_link(receiver: SlowReceiver) -> WireLink:
    member = Member(
        "m", "g", "127.0.0.1", receiver.port, "z", 2, False, Role.PRIMARY, 1
    )
    opening = asyncio.create_task(open_wire_link(member, "verksted", 1_000.0))
    await receiver.accept()
    await receiver.send(b"READY I 1.1\r\n")
    return await opening


def make_long_statement() -> Run:
    return Run("q", f"WRITE k {'x' * REQUEST_BYTES}{END.decode()}", True)


async def run_statement(link: WireLink) -> None:
    await link.run(make_long_statement(), min_position=None, timeout_ms=TIMEOUT_MS)


async def lose_by_timeout(link: WireLink) -> None:
    with pytest.raises(LinkLost):
        await run_statement(link)


async def lose_by_cancellation(link: WireLink) -> None:
    task = asyncio.create_task(run_statement(link))
    await asyncio.sleep(0.05)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


async def lose_by_close(link: WireLink) -> None:
    task = asyncio.create_task(run_statement(link))
    await asyncio.sleep(0.05)
    link.close()
    with pytest.raises(LinkLost):
        await task


@pytest.mark.parametrize("make_loop", LOOPS)
@pytest.mark.parametrize("lose", [lose_by_timeout, lose_by_cancellation, lose_by_close])
def test_statement_that_was_given_up_does_not_arrive_later(
    make_loop: Callable[[], asyncio.AbstractEventLoop],
    lose: Callable[[WireLink], Awaitable[None]],
) -> None:
    """A late `RESUME` lifted the fences of the next promotion."""

    async def script(receiver: SlowReceiver) -> None:
        link = await open_link(receiver)
        await lose(link)
        await asyncio.sleep(0.05)
        received, is_reset = await receiver.drain()
        assert is_reset
        assert END not in received
        assert b"TERMINATE" not in received

    run_with_receiver(make_loop, script)


@pytest.mark.parametrize("make_loop", LOOPS)
@pytest.mark.parametrize("statement", [None, GetStatus(), Fence(2)])
def test_idle_connection_to_a_member_is_closed_in_order(
    make_loop: Callable[[], asyncio.AbstractEventLoop],
    statement: MemberStatement | None,
) -> None:
    async def script(receiver: SlowReceiver) -> None:
        link = await open_link(receiver)
        if statement is not None:
            task = asyncio.create_task(
                link.run(statement, min_position=None, timeout_ms=1_000.0)
            )
            while b"QUERY" not in await receiver.receive():
                pass
            await receiver.send(b"ERROR BUSY m\r\nREADY I 1.1\r\n")
            await task
        link.close()
        received, is_reset = await receiver.drain()
        assert not is_reset
        assert received.endswith(b"TERMINATE\r\n")

    run_with_receiver(make_loop, script)


@pytest.mark.parametrize("make_loop", LOOPS)
def test_answer_that_was_written_arrives_although_the_connection_is_closed(
    make_loop: Callable[[], asyncio.AbstractEventLoop],
) -> None:
    """A planned stop answers the statements that run and closes their connections."""
    answer = b"x" * REQUEST_BYTES + END

    async def script(receiver: SlowReceiver) -> None:
        accepting = asyncio.create_task(receiver.accept())
        _, connection = await asyncio.get_running_loop().create_connection(
            LineConnection, "127.0.0.1", receiver.port
        )
        await accepting
        connection.write(answer)
        connection.close()
        await asyncio.sleep(0.05)
        assert await receiver.drain() == (answer, False)

    run_with_receiver(make_loop, script)


async def request_until_timeout(client: HttpClient) -> None:
    with pytest.raises(HttpError) as error:
        await send_long_request(client)
    assert error.value.is_sent


async def request_until_cancelled(client: HttpClient) -> None:
    task = asyncio.create_task(send_long_request(client))
    await asyncio.sleep(0.05)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


async def send_long_request(client: HttpClient) -> None:
    body = b"x" * REQUEST_BYTES + END
    await client.request("PUT", "/a", timeout_ms=TIMEOUT_MS, body=body)


@pytest.mark.parametrize("make_loop", LOOPS)
@pytest.mark.parametrize("lose", [request_until_timeout, request_until_cancelled])
def test_http_request_that_was_given_up_does_not_arrive_later(
    make_loop: Callable[[], asyncio.AbstractEventLoop],
    lose: Callable[[HttpClient], Awaitable[None]],
) -> None:
    """A late order promoted a member that had fallen behind since."""

    async def script(receiver: SlowReceiver) -> None:
        accepting = asyncio.create_task(receiver.accept())
        await lose(HttpClient(f"127.0.0.1:{receiver.port}"))
        await accepting
        await asyncio.sleep(0.05)
        received, is_reset = await receiver.drain()
        assert is_reset
        assert END not in received

    run_with_receiver(make_loop, script)


@pytest.mark.parametrize("make_loop", LOOPS)
def test_promotion_order_without_a_response_resets_its_connection(
    make_loop: Callable[[], asyncio.AbstractEventLoop],
) -> None:
    async def script(receiver: SlowReceiver) -> None:
        accepting = asyncio.create_task(receiver.accept())
        promote = make_promote_member(f"127.0.0.1:{receiver.port}")
        assert await promote("g", "m", "edge-1", 7) is PromotionResult.UNKNOWN
        await accepting
        _, is_reset = await receiver.drain()
        assert is_reset

    run_with_receiver(make_loop, script)


@pytest.mark.parametrize("make_loop", LOOPS)
@pytest.mark.parametrize("is_kept", [False, True])
def test_http_connection_without_a_request_is_closed_in_order(
    make_loop: Callable[[], asyncio.AbstractEventLoop], is_kept: bool
) -> None:
    header = b"" if is_kept else b"Connection: close\r\n"

    async def script(receiver: SlowReceiver) -> None:
        accepting = asyncio.create_task(receiver.accept())
        client = HttpClient(f"127.0.0.1:{receiver.port}")
        task = asyncio.create_task(client.request("GET", "/a", timeout_ms=1_000.0))
        await accepting
        await receiver.receive()
        await receiver.send(
            b"HTTP/1.1 200 OK\r\n" + header + b"Content-Length: 2\r\n\r\n{}"
        )
        assert (await task).body == b"{}"
        assert len(client.idle) == is_kept
        await client.close()
        _, is_reset = await receiver.drain()
        assert not is_reset

    run_with_receiver(make_loop, script)


@pytest.mark.parametrize("make_loop", LOOPS)
def test_http_connection_to_an_unreachable_host_does_not_hang(
    make_loop: Callable[[], asyncio.AbstractEventLoop],
) -> None:
    async def script(receiver: SlowReceiver) -> None:
        accepting = asyncio.create_task(receiver.accept())
        client = HttpClient(f"127.0.0.1:{receiver.port}")
        task = asyncio.create_task(client.request("GET", "/a", timeout_ms=1_000.0))
        await accepting
        await receiver.receive()
        await receiver.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        await task
        sock = client.idle[0].writer.get_extra_info("socket")
        option = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        assert option == USER_TIMEOUT_MS
        await client.close()

    run_with_receiver(make_loop, script)


SEND_AND_WAIT = """
import asyncio, sys
from radishtrack.group.status import Role
from radishtrack.platform.http_client import HttpClient
from radishtrack.platform.member_link import open_wire_link
from radishtrack.pooler.catalog import Member
from radishtrack.pooler.statements import Fence

async def fence(port):
    member = Member("m", "g", "127.0.0.1", port, "z", 2, False, Role.PRIMARY, 1)
    link = await open_wire_link(member, "verksted", 5_000.0)
    await link.run(Fence(2), min_position=None, timeout_ms=60_000.0)

async def order(port):
    client = HttpClient(f"127.0.0.1:{port}")
    await client.request("POST", "/a", timeout_ms=60_000.0, body=b"x" * 400_000)

asyncio.run({"fence": fence, "order": order}[sys.argv[1]](int(sys.argv[2])))
"""


@pytest.mark.parametrize("request_name", ["fence", "order"])
def test_order_of_a_process_that_was_killed_does_not_arrive_later(
    request_name: str,
) -> None:
    """The kernel sends on what a process leaves behind."""

    async def script(receiver: SlowReceiver) -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", SEND_AND_WAIT, request_name, str(receiver.port)
        )
        try:
            await receiver.accept()
            if request_name == "fence":
                await receiver.receive()
                await receiver.send(b"READY I 1.1\r\n")
            await receiver.receive()
            await asyncio.sleep(0.1)
        finally:
            process.kill()
            await process.wait()
        _, is_reset = await receiver.drain()
        assert is_reset

    run_with_receiver(asyncio.new_event_loop, script)
