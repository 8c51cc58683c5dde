"""Builds `radishtrack` as one executable file with all libraries that a node needs.

The libraries are copied from the environment that runs this script, so the file has the
versions that `requirements.txt` pins and the build needs no network.
"""

from __future__ import annotations

import argparse
import shutil
import sys
import tempfile
from importlib import metadata
from pathlib import Path
from typing import Final

from packaging.requirements import Requirement
from packaging.utils import canonicalize_name
from shiv.cli import main as run_shiv

PROJECT: Final = Path(__file__).resolve().parent.parent
ENTRY_POINT: Final = "radishtrack.cli.main:run"
INTERPRETER: Final = (
    f"/usr/bin/env -S python{sys.version_info[0]}.{sys.version_info[1]} -I"
)

# Compiled modules can only be loaded from a file system; on VMs without disks, /tmp is
# the only place that a process may write to.
ROOT: Final = "/tmp/radishtrack"

# Only the benchmark's plots and reports need these; with numpy and fonts they are 70%
# of the size.
BENCHMARK_ONLY: Final = frozenset({"matplotlib", "hdrhistogram"})


def list_distributions(
    name: str, left_out: frozenset[str]
) -> dict[str, metadata.Distribution]:
    """Return the distributions that one needs, without itself.

    Parameters
    ----------
    name : str
        The distribution to start from.
    left_out : frozenset of str
        Requirements of `name` that are not followed.
    """
    found: dict[str, metadata.Distribution] = {}
    waiting = _list_requirements(metadata.distribution(name), left_out)
    while waiting:
        wanted = canonicalize_name(waiting.pop())
        if wanted in found:
            continue
        found[wanted] = metadata.distribution(wanted)
        waiting += _list_requirements(found[wanted], frozenset())
    return found


def _list_requirements(
    distribution: metadata.Distribution, left_out: frozenset[str]
) -> list[str]:
    requirements = map(Requirement, distribution.requires or ())
    return [
        requirement.name
        for requirement in requirements
        if requirement.name not in left_out
        and (requirement.marker is None or requirement.marker.evaluate({"extra": ""}))
    ]


def copy_distribution(distribution: metadata.Distribution, target: Path) -> None:
    """Copy the files that a distribution installed into its site directory."""
    for file in distribution.files or ():
        source = Path(str(distribution.locate_file(file)))
        # Scripts lie outside of the site directory.
        if ".." in file.parts or file.suffix == ".pyc" or not source.is_file():
            continue
        copy = target / file
        copy.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(source, copy)


def build(output: Path, left_out: frozenset[str], *, compressed: bool) -> None:
    """Build the file.

    Parameters
    ----------
    output : Path
        The file to write.
    left_out : frozenset of str
        Dependencies of radishtrack that are not shipped.
    compressed : bool
        Whether the file's content is compressed.
    """
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as directory:
        site = Path(directory)
        for distribution in list_distributions("radishtrack", left_out).values():
            copy_distribution(distribution, site)
        shutil.copytree(
            PROJECT / "src" / "radishtrack",
            site / "radishtrack",
            ignore=shutil.ignore_patterns("__pycache__"),
        )
        run_shiv(
            [
                f"--site-packages={site}",
                f"--entry-point={ENTRY_POINT}",
                f"--python={INTERPRETER}",
                f"--root={ROOT}",
                f"--output-file={output}",
                "--reproducible",
                "--compressed" if compressed else "--uncompressed",
            ],
            standalone_mode=False,
        )


def main() -> None:
    """Build the file that the command line names and print its size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", type=Path, default=PROJECT / "dist/radishtrack")
    parser.add_argument("--with-benchmark", action="store_true")
    parser.add_argument("--uncompressed", action="store_true")
    arguments = parser.parse_args()
    left_out = frozenset[str]() if arguments.with_benchmark else BENCHMARK_ONLY
    build(arguments.output, left_out, compressed=not arguments.uncompressed)
    print(f"{arguments.output}: {arguments.output.stat().st_size} bytes")


if __name__ == "__main__":
    main()
