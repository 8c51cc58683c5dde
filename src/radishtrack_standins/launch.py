"""Starts stand-ins as processes, for tests and the demonstration only."""

from __future__ import annotations

import os
import re
import signal
import subprocess
import sys
from pathlib import Path
from typing import Final

import attrs

STOP_TIMEOUT_S: Final = 5.0
SOURCE_DIRECTORY: Final = Path(__file__).resolve().parent.parent


@attrs.define
class StandinProcess:
    """A stand-in process and the ports that it printed."""

    process: subprocess.Popen[str]
    ports: dict[str, int]

    def kill(self) -> None:
        """End the process at once."""
        self.process.kill()
        self.process.wait(STOP_TIMEOUT_S)

    def pause(self) -> None:
        """Stop the process without its knowledge."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a paused process."""
        self.process.send_signal(signal.SIGCONT)

    def stop(self) -> None:
        """Ask the process to end, and kill it if it does not."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.terminate()
            try:
                self.process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self.kill()
        if self.process.stdout is not None:
            self.process.stdout.close()


def start_standin(module: str, *arguments: str) -> StandinProcess:
    """Start ``python -m radishtrack_standins.<module>`` and wait for its ports.

    Parameters
    ----------
    module : str
        ``member``, ``platform`` or ``relay``.
    arguments : str
        Command line; ports that are not given are free ones.

    Raises
    ------
    RuntimeError
        If the process ends before it listens.
    """
    process = subprocess.Popen(
        [sys.executable, "-m", f"radishtrack_standins.{module}", *arguments],
        stdout=subprocess.PIPE,
        text=True,
        env={**os.environ, "PYTHONPATH": str(SOURCE_DIRECTORY)},
    )
    assert process.stdout is not None
    line = process.stdout.readline()
    found = re.findall(r"(\w*port)=(\d+)", line)
    if not found:
        process.kill()
        raise RuntimeError(f"{module} did not start: {line!r}")
    return StandinProcess(process, {name: int(port) for name, port in found})
