"""Keeps signals that arrive before a process can handle them.

The default action of SIGHUP and SIGTERM ends a process, which takes most of its start
for imports. This module is imported before them, so it imports little.
"""

from __future__ import annotations

import signal
from collections.abc import Iterable
from typing import Final

received_signals: Final[set[int]] = set()
"""Numbers of the signals that have arrived since `keep_signals`."""


def keep_signals(numbers: Iterable[signal.Signals]) -> None:
    """Record these signals until they get another handler.

    Whoever sets that handler looks at `received_signals` afterwards.
    """
    for number in numbers:
        signal.signal(number, lambda received, _frame: received_signals.add(received))
