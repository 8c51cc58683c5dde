"""Tests of the executable: one file that runs as one process and needs no disk.

The file is built once. The tests fail if a library is not copied, if a module is found
only in the developer's environment, or if the start creates a child process.
"""

from __future__ import annotations

import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from radishtrack import __version__
from radishtrack_standins.cluster import find_free_ports
from radishtrack_standins.launch import start_standin

PROJECT = Path(__file__).resolve().parent.parent
SETTINGS = """
[node]
id = "shipped"
zone = "oslo-a"
region = "norge-ost"
[listen]
client_host = "127.0.0.1"
client_port = {ports[0]}
peer_host = "127.0.0.1"
peer_port = {ports[1]}
admin_host = "127.0.0.1"
admin_port = {ports[2]}
[platform]
url = "{platform}"
[peers]
secret = "secret-of-the-shipping-test"
[database_login]
user = "radishtrack"
password = ""
"""


@pytest.fixture(scope="module")
def ram_directory() -> Iterator[Path]:
    with tempfile.TemporaryDirectory(dir="/dev/shm", prefix="radishtrack-") as name:
        yield Path(name)


@pytest.fixture(scope="module")
def binary(ram_directory: Path) -> Path:
    output = ram_directory / "radishtrack"
    subprocess.run(
        [sys.executable, PROJECT / "tools/build_binary.py", f"--output={output}"],
        check=True,
    )
    return output


@pytest.fixture(scope="module")
def environment(ram_directory: Path) -> dict[str, str]:
    """Only the interpreter of the developer's environment."""
    (ram_directory / "bin").mkdir()
    (ram_directory / "bin/python3.11").symlink_to(sys._base_executable)
    return {
        "PATH": f"{ram_directory / 'bin'}:/usr/bin:/bin",
        "SHIV_ROOT": str(ram_directory / "unpacked"),
        "HOME": "/nonexistent",
    }


def list_children(pid: int) -> list[str]:
    children = Path(f"/proc/{pid}/task/{pid}/children").read_text().split()
    return [child for child in children if child]


def test_version_runs_without_the_developers_environment(
    binary: Path, environment: dict[str, str]
) -> None:
    result = subprocess.run(
        [binary, "--version"], env=environment, capture_output=True, text=True
    )
    assert (result.returncode, result.stdout) == (0, f"{__version__}\n"), result.stderr


def test_config_check_accepts_the_examples(
    binary: Path, environment: dict[str, str]
) -> None:
    files = [PROJECT / f"examples/{name}.toml" for name in ("fjellsko", "kalmistu")]
    result = subprocess.run(
        [binary, "config", "check", *files],
        env=environment,
        capture_output=True,
        text=True,
    )
    assert result.returncode == 0, result.stderr
    assert "2 owners" in result.stdout


def test_proxy_runs_as_one_process(
    binary: Path, environment: dict[str, str], ram_directory: Path
) -> None:
    """The started process itself serves, has no child and loads no library from a disk.

    It also unpacks the file, since shiv may start processes while unpacking.
    """
    environment = environment | {"SHIV_ROOT": str(ram_directory / "first-start")}
    platform = start_standin("platform", "--vm-list-lag-ms=100")
    settings = ram_directory / "node.toml"
    ports = find_free_ports(3)
    url = f"http://127.0.0.1:{platform.ports['port']}"
    settings.write_text(SETTINGS.format(ports=ports, platform=url))
    log = ram_directory / "node.log"
    with log.open("wb") as output:
        process = subprocess.Popen(
            [binary, "proxy", "--settings", settings],
            env=environment,
            stdout=output,
            stderr=output,
        )
    try:
        children: list[str] = []
        while b"R1001" not in log.read_bytes():
            assert process.poll() is None, log.read_text()
            children += list_children(process.pid)
            time.sleep(0.01)
        children += list_children(process.pid)
        maps = Path(f"/proc/{process.pid}/maps").read_text()
        libraries = {line.split()[-1] for line in maps.splitlines() if "uvloop" in line}
        process.terminate()
        assert process.wait(20) == 0, log.read_text()
    finally:
        if process.poll() is None:
            process.kill()
            process.wait()
        platform.stop()
    assert children == []
    assert libraries
    assert all(name.startswith(str(ram_directory)) for name in libraries)
