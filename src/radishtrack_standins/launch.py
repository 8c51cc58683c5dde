"""Starts stand-ins as processes; for tests and the demonstration only."""

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
    """A stand-in process and its ports by name."""

    process: subprocess.Popen[str]
    ports: dict[str, int]

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.process.kill()
        self.process.wait(STOP_TIMEOUT_S)

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process."""
        self.process.send_signal(signal.SIGCONT)

    def stop(self) -> None:
        """Terminate the process; kill it if it does not end in time."""
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
        Command-line arguments; ports default to free ones.

    Raises
    ------
    RuntimeError
        If the process does not report its ports.
    """
    process = subprocess.Popen(
        [sys.executable, "-m", f"radishtrack_standins.{module}", *arguments],
        stdout=subprocess.PIPE,
        text=True,
        env={**os.environ, "PYTHONPATH": str(SOURCE_DIRECTORY)},
    )
    assert process.stdout is not None
    line = process.stdout.readline()
    ports = re.findall(r"(\w*port)=(\d+)", line)
    if not ports:
        process.kill()
        raise RuntimeError(f"{module} stand-in reported no ports: {line!r}")
    return StandinProcess(process, {name: int(port) for name, port in ports})
