"""Guards the soak's own checks, and runs one short seed of it on real processes."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
from pathlib import Path

from radishtrack_standins.soak.fleet import NodeProcess
from radishtrack_standins.soak.ledger import RATE_MARGIN, REVOKE_MS, Ledger
from radishtrack_standins.soak.run import run_soak
from radishtrack_standins.soak.schedule import (
    LONGEST_S,
    PROMOTION_S,
    WEIGHTS,
    draw_faults,
)

NODES = ("edge-1", "edge-2", "edge-3")
MEMBERS = ("i-1", "i-2", "i-3")
CI_SEED = 1
CI_LENGTH_S = 6.0


def test_a_lost_a_doubled_and_a_falsely_refused_write_are_found() -> None:
    """A checker that finds nothing would pass every run."""
    ledger = Ledger()
    ledger.note_write("kept", "COMPLETE x", 1.0)
    ledger.note_write("lost", "COMPLETE x", 2.0)
    ledger.note_write("refused", "ERROR BUSY i-1", 3.0)
    ledger.note_write("unknown", "ERROR INDOUBT", 4.0)
    ledger.check_logs(["kept", "twice", "twice", "refused"])
    assert [violation.split(":")[0] for violation in ledger.violations] == [
        "1 acknowledged writes are lost",
        "1 writes ran twice",
        "1 writes ran that were refused",
    ]


def test_a_read_without_a_write_that_it_must_see_is_found() -> None:
    """Only writes up to the position of the row were visible to the read."""
    ledger = Ledger()
    ledger.check_read("orders", "i-1@1.2", ["a", "b", "c"], {"a", "b"})
    assert not ledger.violations
    ledger.check_read("orders", "i-1@1.2", ["a", "b", "c"], {"a", "c"})
    assert len(ledger.violations) == 1


def test_a_rate_is_checked_over_every_window() -> None:
    """A burst across two windows must not count as two halves."""
    ledger = Ledger()
    allowed = int((10 * 5 + 10) * 1.1 + RATE_MARGIN)
    for number in range(allowed):
        ledger.note_run("verksted", 3_000.0 + number)
    ledger.check_rate("verksted", 10, 10)
    assert not ledger.violations
    ledger.note_run("verksted", 3_000.0 + allowed)
    ledger.check_rate("verksted", 10, 10)
    assert len(ledger.violations) == 1


def test_a_statement_after_a_key_was_revoked_is_found() -> None:
    """A node that was cut off goes on with what it knows."""
    ledger = Ledger()
    ledger.revoked_ms["storgata"] = 1_000.0
    ledger.note_run("storgata", 1_000.0 + REVOKE_MS)
    assert not ledger.violations
    ledger.note_run("storgata", 1_001.0 + REVOKE_MS)
    assert len(ledger.violations) == 1


def test_a_seed_determines_the_faults() -> None:
    """A seed that failed has to bring the same series again."""
    first = draw_faults(7, 400.0, NODES, MEMBERS)
    assert first == draw_faults(7, 400.0, NODES, MEMBERS)
    assert first != draw_faults(8, 400.0, NODES, MEMBERS)
    assert {fault.kind for fault in first} == set(WEIGHTS)
    assert all(fault.for_s <= LONGEST_S + PROMOTION_S for fault in first)
    assert all(fault.target != fault.node for fault in first)


async def test_a_node_that_is_ending_is_not_frozen(tmp_path: Path) -> None:
    """Seed 1013 froze a node after its SIGTERM and blamed it for not ending."""
    program = (
        "import signal, sys, time\n"
        "signal.signal(signal.SIGTERM, lambda *_: (time.sleep(0.5), sys.exit()))\n"
        "print('ready', flush=True)\n"
        "time.sleep(60)\n"
    )
    node = NodeProcess("edge-1", "127.0.0.1", {}, tmp_path)
    node.process = subprocess.Popen(
        [sys.executable, "-c", program], stdout=subprocess.PIPE
    )
    assert node.process.stdout is not None
    with node.process.stdout as output:
        output.readline()
    ending = asyncio.create_task(node.end(signal.SIGTERM))
    await asyncio.sleep(0.1)
    node.send(signal.SIGSTOP)
    assert await ending


async def test_a_short_series_of_faults_breaks_no_promise(tmp_path: Path) -> None:
    """Real nodes, faults from outside, and clients that check every answer."""
    ledger = await run_soak(CI_SEED, CI_LENGTH_S, tmp_path)
    assert ledger.violations == []
    assert len(ledger.acknowledged) > 50
