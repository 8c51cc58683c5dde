"""Tests the commands: their results, exit codes and output for scripts."""

from __future__ import annotations

import argparse
import contextlib
import io
import json
import logging
from collections.abc import AsyncIterator, Iterator
from pathlib import Path
from typing import Any

import attrs
import pytest

from memory_store import MemoryPlatform
from radishtrack.cli._context import (
    Context,
    ExitCode,
    NamedObject,
    PlatformAccess,
    VmEntry,
)
from radishtrack.cli.main import make_parser, run_command
from radishtrack.config.store import StoreUnavailable
from radishtrack.log_output import silence_libraries

EXAMPLES = Path(__file__).parent.parent / "examples"
FJELLSKO = str(EXAMPLES / "fjellsko.toml")
KALMISTU = str(EXAMPLES / "kalmistu.toml")
PLATFORM = ["--platform", "http://platform"]


@attrs.define
class CliRunner:
    """Runs commands against an in-memory platform."""

    platform: MemoryPlatform = attrs.field(factory=MemoryPlatform)
    vms: list[VmEntry] = attrs.field(factory=list)
    out: str = ""
    err: str = ""

    async def run(self, *argv: str) -> ExitCode:
        """Run a command and store its output."""
        out, err = io.StringIO(), io.StringIO()
        context = Context(self._open, out, err)
        code = await run_command(make_parser().parse_args(argv), context)
        self.out, self.err = out.getvalue(), err.getvalue()
        return code

    async def run_json(self, *argv: str) -> Any:
        """Run a command that must succeed and return its JSON output."""
        assert await self.run(*argv, "--json") is ExitCode.OK, self.err
        return json.loads(self.out)

    @contextlib.asynccontextmanager
    async def _open(self, url: str) -> AsyncIterator[PlatformAccess]:
        async def list_objects(kind: str) -> tuple[NamedObject, ...]:
            return tuple(
                NamedObject(name, item.version, item.value)
                for (item_kind, name), item in self.platform.objects.items()
                if item_kind == kind
            )

        async def list_vms() -> tuple[VmEntry, ...]:
            if self.platform.is_down:
                raise StoreUnavailable("the platform is down")
            return tuple(self.vms)

        async def announce_leaving(vm: VmEntry) -> None:
            self.vms[self.vms.index(vm)] = attrs.evolve(vm, state="leaving")

        store = self.platform.make_store()
        yield PlatformAccess(store, list_objects, list_vms, announce_leaving)


@pytest.fixture
def runner() -> CliRunner:
    return CliRunner()


async def apply_examples(runner: CliRunner) -> None:
    argv = ["config", "apply", FJELLSKO, KALMISTU, "--revision", "0", *PLATFORM]
    assert await runner.run(*argv, "--author", "kari") is ExitCode.OK, runner.err


async def test_check_reports_every_error(runner: CliRunner, tmp_path: Path) -> None:
    assert await runner.run("config", "check", FJELLSKO, KALMISTU) is ExitCode.OK
    assert "16 organisations, 2 databases" in runner.out
    path = tmp_path / "bad.toml"
    path.write_text('[[owner]]\nname = "A"\n[[ownr]]\n', encoding="utf-8")
    assert await runner.run("config", "check", str(path)) is ExitCode.FAILED
    assert f"{path}:2: owner[0].name: expected a name" in runner.err
    assert f"{path}:3: ownr: expected only" in runner.err
    assert await runner.run("config", "check", str(path), "--json") is ExitCode.FAILED
    assert [error["line"] for error in json.loads(runner.out)["errors"]] == [2, 3]


async def test_a_shown_configuration_is_edited_and_applied(
    runner: CliRunner, tmp_path: Path
) -> None:
    await apply_examples(runner)
    await runner.run("config", "show", *PLATFORM)
    path = tmp_path / "fleet.toml"
    path.write_text(runner.out.replace("= 15", "= 18"), encoding="utf-8")
    change = "changed database strekk-db: connections 15 -> 18"
    result = await runner.run_json("config", "diff", str(path), *PLATFORM)
    assert result == {"revision": 1, "changes": [change]}
    result = await runner.run_json("config", "apply", str(path), *PLATFORM)
    assert result == {"result": "Applied", "revision": 2, "changes": [change]}
    code = await runner.run("config", "apply", str(path), *PLATFORM)
    assert code is ExitCode.CONFLICT
    assert "based on revision 1, and the present one is 2" in runner.err
    assert f"  {change}" in runner.err


async def test_apply_needs_the_base_revision(
    runner: CliRunner,
) -> None:
    code = await runner.run("config", "apply", FJELLSKO, *PLATFORM)
    assert code is ExitCode.USAGE
    assert "do not name a revision" in runner.err


async def test_an_apply_with_unknown_outcome_can_be_resolved(runner: CliRunner) -> None:
    runner.platform.faults = ["lost answer", *["lost request"] * 4]
    argv = ["config", "apply", FJELLSKO, "--revision", "0", *PLATFORM]
    assert await runner.run(*argv) is ExitCode.UNAVAILABLE
    apply_id = runner.err.split("--apply-id ")[1].strip()
    assert await runner.run(*argv, "--apply-id", apply_id) is ExitCode.OK
    assert runner.out.startswith("revision 1\n")


async def test_keys_are_issued_listed_and_revoked(runner: CliRunner) -> None:
    await apply_examples(runner)
    assert await runner.run("keys", "issue", "verksted", *PLATFORM) is ExitCode.OK
    key = runner.out.strip()
    key_id = key.split("_")[1]
    assert key not in runner.err
    assert key not in str(runner.platform.objects)
    (listed,) = await runner.run_json("keys", "list", *PLATFORM)
    assert (listed["id"], listed["revoked"]) == (key_id, "")
    argv = ["keys", "revoke", "verksted", key_id, *PLATFORM]
    assert await runner.run(*argv) is ExitCode.OK
    await runner.run("keys", "list", "verksted", *PLATFORM)
    assert f"verksted {key_id} created" in runner.out
    assert "revoked 2" in runner.out
    assert await runner.run_json("keys", "list", "rahumae", *PLATFORM) == []


async def test_keys_of_unknown_organisations_are_refused(runner: CliRunner) -> None:
    await apply_examples(runner)
    code = await runner.run("keys", "issue", "verkstad", *PLATFORM)
    assert code is ExitCode.FAILED
    assert "did you mean 'verksted'?" in runner.err
    code = await runner.run("keys", "revoke", "verksted", "none", *PLATFORM)
    assert code is ExitCode.FAILED
    assert "has no key 'none'" in runner.err


async def test_status_and_drain(runner: CliRunner) -> None:
    await apply_examples(runner)
    runner.vms = [VmEntry("node-1", "oslo-a", "norge-ost", "live", "h:1")]
    value = {"term": 3, "primary": "strekk-2"}
    runner.platform.write("groups", "strekk-db", value, 0)
    assert await runner.run("drain", "node-2", *PLATFORM) is ExitCode.FAILED
    assert "did you mean 'node-1'?" in runner.err
    assert await runner.run("drain", "node-1", *PLATFORM) is ExitCode.OK
    assert await runner.run("status", *PLATFORM) is ExitCode.OK
    assert runner.out.splitlines() == [
        "configuration revision 1 kari",
        "node node-1 norge-ost oslo-a leaving",
        "database strekk-db term 3 primary strekk-2",
    ]
    result = await runner.run_json("status", *PLATFORM)
    assert result["databases"] == [{"database": "strekk-db", **value}]


async def test_an_unavailable_platform_has_its_own_exit_code(
    runner: CliRunner,
) -> None:
    runner.platform.is_down = True
    for argv in (["status"], ["config", "show"], ["keys", "issue", "a"]):
        assert await runner.run(*argv, *PLATFORM) is ExitCode.UNAVAILABLE
        assert "the platform is down" in runner.err


async def test_the_platform_url_can_come_from_a_settings_file(
    runner: CliRunner, tmp_path: Path
) -> None:
    settings = str(EXAMPLES / "node.toml")
    assert await runner.run("status", "--settings", settings) is ExitCode.OK
    path = tmp_path / "node.toml"
    path.write_text("[node]\n", encoding="utf-8")
    code = await runner.run("status", "--settings", str(path))
    assert code is ExitCode.FAILED
    assert "node.id: expected text" in runner.err
    assert await runner.run("proxy", "--settings", str(path)) is ExitCode.FAILED


def list_commands(
    parser: argparse.ArgumentParser, path: tuple[str, ...] = ()
) -> Iterator[tuple[str, ...]]:
    groups = [
        action
        for action in parser._actions
        if isinstance(action, argparse._SubParsersAction)
    ]
    if not groups:
        yield path
    for name, child in (groups[0].choices if groups else {}).items():
        yield from list_commands(child, (*path, name))


@pytest.mark.parametrize("command", list(list_commands(make_parser())), ids=" ".join)
def test_the_help_of_every_command_has_examples_and_exit_codes(
    command: tuple[str, ...], capsys: pytest.CaptureFixture[str]
) -> None:
    with pytest.raises(SystemExit) as stopped:
        make_parser().parse_args([*command, "--help"])
    assert stopped.value.code == 0
    text = capsys.readouterr().out
    assert f"radishtrack {' '.join(command)} " in text.partition("examples:")[2]
    assert "4  the platform does not answer" in text


@pytest.mark.parametrize(
    "argv", [[], ["keys"], ["status"], ["status", "--platform", "x", "--settings", "y"]]
)
def test_an_invalid_command_line_exits_with_2(argv: list[str]) -> None:
    with pytest.raises(SystemExit) as stopped:
        make_parser().parse_args(argv)
    assert stopped.value.code == ExitCode.USAGE


def test_unhandled_errors_of_tasks_are_logged() -> None:
    """Asyncio logs them; only the pooler's JSON output drops its lines."""
    logger = logging.getLogger("asyncio")
    level = logger.level
    logger.setLevel(logging.NOTSET)
    silence_libraries()
    assert logger.isEnabledFor(logging.ERROR)
    logger.setLevel(level)
