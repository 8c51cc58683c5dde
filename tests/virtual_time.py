"""An event loop whose time jumps to the next timer, without sockets or threads."""

from __future__ import annotations

import asyncio
import contextvars
import selectors
from collections.abc import Callable, Coroutine, Generator
from typing import Any, Final, TypeVar, TypeVarTuple
from weakref import WeakSet

import attrs

from radishtrack.clock import Clock

T = TypeVar("T")
Ts = TypeVarTuple("Ts")

START_S: Final = 1_000.0
"""Time at the start; code under test must not take it for a time before its start."""

task_owner: contextvars.ContextVar[str] = contextvars.ContextVar("owner", default="")
"""Process to which the tasks belong that are created in a context."""


class _JumpingSelector(selectors.SelectSelector):
    """Advances the loop's time instead of waiting for files."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = START_S

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("all tasks wait, and no timer is set")
        self.now_s += max(0.0, timeout)
        return []


@attrs.define(eq=False)
class _OwnedCall:
    """A call in a process, which is held while that is suspended."""

    loop: VirtualTimeLoop
    owner: str
    callback: Callable[..., object]
    args: tuple[Any, ...]
    context: contextvars.Context | None
    handle: asyncio.Handle | None = None

    def run(self) -> None:
        """Call the function now or when the process goes on."""
        if self.handle is not None and self.handle.cancelled():
            return
        held = self.loop.held.get(self.owner)
        if held is None:
            self.callback(*self.args)
        else:
            held.append(self)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """The loop; its tasks are recorded by `task_owner`."""

    def __init__(self) -> None:
        self.jumping = _JumpingSelector()
        super().__init__(self.jumping)
        self.owned: dict[str, WeakSet[asyncio.Task[Any]]] = {}
        self.held: dict[str, list[_OwnedCall]] = {}
        self.set_task_factory(self._make_task)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.jumping.now_s

    def cancel_owned(self, owner: str) -> None:
        """Cancel all tasks of a process, also of a suspended one."""
        self.thaw(owner)
        for task in sorted(self.owned.pop(owner, ()), key=lambda t: t.get_name()):
            task.cancel()

    def freeze(self, owner: str) -> None:
        """Suspend a process until `thaw`."""
        self.held[owner] = []

    def thaw(self, owner: str) -> None:
        """Let a process go on with all that happened meanwhile."""
        for call in self.held.pop(owner, ()):
            self.call_soon(call.run, context=call.context)

    def call_soon(
        self,
        callback: Callable[[*Ts], object],
        *args: *Ts,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Call a function soon, unless its process is suspended."""
        call = self._make_call(callback, args, context)
        if call is None:
            return super().call_soon(callback, *args, context=context)
        call.handle = super().call_soon(call.run, context=context)
        return call.handle

    def call_at(
        self,
        when: float,
        callback: Callable[[*Ts], object],
        *args: *Ts,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Call a function at a time, unless its process is suspended then."""
        call = self._make_call(callback, args, context)
        if call is None:
            return super().call_at(when, callback, *args, context=context)
        handle = super().call_at(when, call.run, context=context)
        call.handle = handle
        return handle

    def _make_call(
        self,
        callback: Callable[..., object],
        args: tuple[Any, ...],
        context: contextvars.Context | None,
    ) -> _OwnedCall | None:
        """Return the call if it belongs to a process."""
        owner = task_owner.get() if context is None else context.get(task_owner, "")
        if not owner or getattr(callback, "__func__", None) is _OwnedCall.run:
            return None
        return _OwnedCall(self, owner, callback, args, context)

    def _make_task(
        self,
        loop: asyncio.AbstractEventLoop,
        coro: Generator[Any, None, T] | Coroutine[Any, Any, T],
        context: contextvars.Context | None = None,
    ) -> asyncio.Task[T]:
        task = asyncio.Task(coro, loop=loop, context=context)
        owner = task_owner.get() if context is None else context.get(task_owner, "")
        if owner:
            self.owned.setdefault(owner, WeakSet()).add(task)
        return task


def make_task_context(owner: str) -> contextvars.Context:
    """Return a context whose tasks belong to a process."""
    context = contextvars.Context()
    context.run(task_owner.set, owner)
    return context


def get_virtual_loop() -> VirtualTimeLoop:
    """Return the running loop."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualTimeLoop)
    return loop


def make_virtual_clock() -> Clock:
    """Return a clock that reads the running loop's time."""
    loop = get_virtual_loop()
    return Clock(lambda: loop.time() * 1000.0)


def run_in_virtual_time(make: Callable[[], Coroutine[Any, Any, T]]) -> T:
    """Run a coroutine in a loop of its own until it returns."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(make())
