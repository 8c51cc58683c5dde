"""Tests responses of peers: complete, for the right request, with an outcome."""

from __future__ import annotations

import asyncio
import ssl
import subprocess
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import attrs
import pytest

from radishtrack.errors import Outcome, RequestError
from radishtrack.peer.link import LinkClosed, PeerLink, open_link
from radishtrack.peer.messages import (
    MAX_FRAME_BYTES,
    Copy,
    Done,
    Execute,
    Failed,
    Message,
    ResultHead,
    Rows,
    Vote,
    VoteRequest,
)
from radishtrack.peer.server import PeerHandlers, start_peer_server

SECRET = b"secret of the fleet"
HOST = "127.0.0.1"


def make_execute(request: int, statement: str = "SELECT 1") -> Execute:
    return Execute(
        request, 1, "o", "d", statement, "read", "strict", 0.0, 0, 0, "", 5000.0, False
    )


def make_done(request: int) -> Done:
    return Done(request, 0, 0, 1, 1, "m1", "replica", False)


@attrs.define
class Holder:
    """Holder whose response depends on the text of the statement."""

    ended: list[str] = attrs.field(factory=list)
    cancelled: list[int] = attrs.field(factory=list)
    sent_chunks: int = 0
    release: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def execute(self, _: str, request: Execute) -> AsyncIterator[Message]:
        number = request.request
        try:
            if request.statement == "wait":
                await self.release.wait()
            yield ResultHead(number, ("a",), (3,))
            if request.statement == "large":
                yield Rows(number, tuple((str(index) * 5000,) for index in range(200)))
            for index in range(50 if request.statement == "many" else 1):
                yield Rows(number, ((str(index),),))
                self.sent_chunks += 1
            yield make_done(number)
        except (asyncio.CancelledError, GeneratorExit):
            self.cancelled.append(number)
            raise

    async def end_session(self, connection: str, session: int) -> None:
        self.ended.append(f"session {session}")

    async def end_connection(self, connection: str) -> None:
        self.ended.append("connection")

    async def call(self, peer: str, message: Message) -> Message | None:
        if isinstance(message, VoteRequest) and message.member == "faulty":
            raise KeyError("unexpected")
        if isinstance(message, VoteRequest) and message.member == "large":
            return Copy(message.request, 0.0, (bytes(MAX_FRAME_BYTES),))
        if isinstance(message, VoteRequest) and message.member != "silent":
            return Vote(message.request, True)
        return None


@asynccontextmanager
async def open_pair(
    holder: Holder,
    server_tls: ssl.SSLContext | None = None,
    client_tls: ssl.SSLContext | None = None,
) -> AsyncIterator[PeerLink]:
    server = await start_peer_server(
        HOST,
        0,
        "p2",
        SECRET,
        PeerHandlers(
            holder.execute,
            holder.end_session,
            holder.end_connection,
            holder.call,
            lambda size: None,
            7,
        ),
        tls=server_tls,
    )
    port = next(iter(server.sockets)).getsockname()[1]
    try:
        link = await open_link(f"{HOST}:{port}", "p1", SECRET, tls=client_tls)
    except BaseException:
        server.close()
        raise
    try:
        yield link
    finally:
        await link.close()
        server.close()
        await server.wait_closed()


async def test_all_messages_of_a_response_arrive_in_order() -> None:
    async with open_pair(Holder()) as link:
        response = [message async for message in link.execute(make_execute(1, "many"))]
    rows = [row for part in response if isinstance(part, Rows) for row in part.rows]
    assert rows == [(str(index),) for index in range(50)]
    assert response[-1] == make_done(1)
    assert link.incarnation == 7


async def test_a_chunk_over_the_frame_limit_is_split() -> None:
    """Without splitting, a chunk of 200 wide rows made the request fail."""
    async with open_pair(Holder()) as link:
        response = [message async for message in link.execute(make_execute(1, "large"))]
    parts = [part for part in response if isinstance(part, Rows)]
    rows = [row for part in parts for row in part.rows]
    assert len(parts) > 2
    assert rows == [*((str(index) * 5000,) for index in range(200)), ("0",)]
    assert response[-1] == make_done(1)


async def test_a_slow_reader_pauses_the_holder() -> None:
    """Without flow control, unread rows would accumulate in memory."""
    holder = Holder()
    async with open_pair(holder) as link:
        response = link.execute(make_execute(1, "many"))
        await anext(response)
        await asyncio.sleep(0.2)
        assert holder.sent_chunks < 10
        rest = [message async for message in response]
        assert rest[-1] == make_done(1)


async def test_a_cancelled_request_is_cancelled_at_the_holder() -> None:
    holder = Holder()
    async with open_pair(holder) as link:
        response = link.execute(make_execute(1, "many"))
        await anext(response)
        await response.aclose()  # type: ignore[attr-defined]
        await asyncio.sleep(0.1)
        assert holder.cancelled == [1]
        assert link.response_queues == {}


async def test_a_late_response_does_not_reach_another_request() -> None:
    holder = Holder()
    async with open_pair(holder) as link:
        late = link.execute(make_execute(1, "wait"))
        waiting = asyncio.ensure_future(anext(late))
        await asyncio.sleep(0.05)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        holder.release.set()
        response = [message async for message in link.execute(make_execute(2))]
    assert {message.request for message in response} == {2}  # type: ignore[union-attr]


async def test_a_lost_connection_leaves_the_outcome_unknown() -> None:
    async with open_pair(Holder()) as link:
        response = link.execute(make_execute(1, "wait"))
        waiting = asyncio.ensure_future(anext(response))
        await asyncio.sleep(0.05)
        link.socket.transport.abort()
        with pytest.raises(RequestError) as caught:
            await waiting
    assert caught.value.failure.outcome is Outcome.UNKNOWN


async def test_a_closed_connection_means_not_run() -> None:
    async with open_pair(Holder()) as link:
        link.socket.transport.abort()
        await asyncio.sleep(0.05)
        with pytest.raises(RequestError) as caught:
            await anext(link.execute(make_execute(1)))
    assert caught.value.failure.outcome is Outcome.NOT_RUN


async def test_a_statement_over_the_frame_limit_is_refused_as_not_run() -> None:
    async with open_pair(Holder()) as link:
        with pytest.raises(RequestError) as caught:
            await anext(link.execute(make_execute(1, "x" * MAX_FRAME_BYTES)))
        assert caught.value.failure.outcome is Outcome.NOT_RUN
        assert [message async for message in link.execute(make_execute(2))]


async def test_sessions_end_with_their_connection() -> None:
    holder = Holder()
    async with open_pair(holder):
        pass
    assert holder.ended == ["connection"]


async def test_calls_return_a_response_or_time_out() -> None:
    async with open_pair(Holder()) as link:
        assert await link.call(VoteRequest(1, "d", "m1"), 1, 1.0) == Vote(1, True)
        with pytest.raises(LinkClosed):
            await link.call(VoteRequest(2, "d", "silent"), 2, 0.05)
        assert link.response_queues == {}


class UnresponsiveSocket:
    """Accepts messages and never responds."""

    async def send(self, _frame: bytes) -> None:
        return


@pytest.mark.parametrize("member", ["faulty", "large"])
async def test_failed_handler_ends_only_its_exchange(member: str) -> None:
    """The peer waited for its whole time limit, and the error was not logged."""
    async with open_pair(Holder()) as link:
        request = VoteRequest(1, "d", member)
        assert isinstance(await link.call(request, 1, 30.0), Failed)
        assert isinstance(await link.call(VoteRequest(2, "d", "m"), 2, 5.0), Vote)


@pytest.mark.parametrize("steps", range(5))
async def test_a_response_does_not_undo_a_cancellation(steps: int) -> None:
    """`asyncio.wait_for` in Python 3.11 can drop a cancellation as a response arrives.

    A loop that called peers repeatedly then continued after its task was cancelled.
    """
    link = PeerLink("edge-2", UnresponsiveSocket())  # type: ignore[arg-type]

    async def call_repeatedly() -> None:
        for request in range(1, 1_000):
            await link.call(VoteRequest(request, "strekk", "i-1"), request, 10.0)

    task = asyncio.create_task(call_repeatedly())
    while 1 not in link.response_queues:
        await asyncio.sleep(0)
    await asyncio.sleep(0.01)
    link.response_queues[1].put_nowait(Vote(1, True))
    for _ in range(steps):
        await asyncio.sleep(0)
    task.cancel()
    done, _ = await asyncio.wait((task,), timeout=1.0)
    assert done and task.cancelled()


async def test_a_peer_with_another_secret_is_refused() -> None:
    async with open_pair(Holder()) as link:
        host, port = link.socket.remote_address[:2]
        with pytest.raises(LinkClosed, match="refused"):
            await open_link(f"{host}:{port}", "p3", b"another secret")


def make_certificate(directory: Path) -> tuple[Path, Path]:
    certificate, key = directory / "certificate.pem", directory / "key.pem"
    subprocess.run(
        [
            *("openssl", "req", "-x509", "-newkey", "rsa:2048", "-nodes"),
            *("-days", "2", "-subj", "/CN=radishtrack"),
            *("-addext", "subjectAltName=IP:127.0.0.1"),
            *("-keyout", str(key), "-out", str(certificate)),
        ],
        check=True,
        capture_output=True,
    )
    return certificate, key


async def test_peers_use_tls_and_reject_untrusted_certificates(tmp_path: Path) -> None:
    certificate, key = make_certificate(tmp_path)
    server_tls = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    server_tls.load_cert_chain(certificate, key)
    trusting = ssl.create_default_context(cafile=str(certificate))
    async with open_pair(Holder(), server_tls, trusting) as link:
        assert link.socket.transport.get_extra_info("cipher") is not None
        assert [message async for message in link.execute(make_execute(1))]
    for client_tls in (None, ssl.create_default_context()):
        with pytest.raises(LinkClosed):
            async with open_pair(Holder(), server_tls, client_tls):
                pass
