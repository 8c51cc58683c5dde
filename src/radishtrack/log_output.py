"""JSON log lines on standard output, written without blocking the process."""

from __future__ import annotations

import json
import logging as standard_logging
import os
import sys
from typing import Final

from absl import logging

from radishtrack.events import use_json_lines

SILENCED_LIBRARIES: Final = (
    "aiohttp",
    "mysql_mimic",
    "transitions",
    "websockets",
)
"""Their log lines have no event number and no rate limit; mysql_mimic logs every
refused statement as an error, which would flood the log under overload."""


def silence_libraries(*additional: str) -> None:
    """Drop the log lines of `SILENCED_LIBRARIES` and of `additional` loggers."""
    for name in (*SILENCED_LIBRARIES, *additional):
        standard_logging.getLogger(name).setLevel(standard_logging.CRITICAL)


class NonBlockingHandler(standard_logging.Handler):
    """Writes lines to a file descriptor; drops and counts lines that would block."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Write one line, preceded by the number of lines dropped before it."""
        line = self.format(record)
        if self.dropped:
            line = f'{{"dropped_lines": {self.dropped}}}\n{line}'
        try:
            os.write(self.descriptor, f"{line}\n".encode(errors="replace"))
            self.dropped = 0
        except BlockingIOError:
            self.dropped += 1


class LineFormatter(standard_logging.Formatter):
    """Formats records as JSON lines with time and severity."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return a JSON line."""
        head = json.dumps({"time": round(record.created, 3), "level": record.levelname})
        message = record.getMessage()
        if message.startswith("{"):
            return f"{head[:-1]}, {message[1:]}"
        return f"{head[:-1]}, {json.dumps({'text': message})[1:]}"


def configure_stdout_logging() -> None:
    """Send all events as JSON lines to standard output."""
    silence_libraries("asyncio")
    handler = NonBlockingHandler(sys.stdout.fileno())
    handler.setFormatter(LineFormatter())
    root = standard_logging.getLogger()
    root.handlers[:] = [handler]
    logger = logging.get_absl_logger()
    logger.handlers[:] = []
    logger.propagate = True
    logging.set_verbosity(logging.INFO)
    use_json_lines(True)
