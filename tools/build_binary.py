"""Builds `radishtrack` as one executable file with all libraries that a node needs.

The libraries are copied from the environment that runs this script, so they have the
versions that `requirements.txt` pins and the build needs no network access.
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

# Compiled modules can only be loaded from a file system, and on VMs without disks a
# process may write only to /tmp.
UNPACK_DIRECTORY: Final = "/tmp/radishtrack"

# Needed only by the plots and reports of the load tool; with numpy and fonts they are
# 70% of the size.
BENCHMARK_ONLY: Final = frozenset({"matplotlib", "hdrhistogram"})


def list_distributions(
    name: str, excluded: frozenset[str]
) -> dict[str, metadata.Distribution]:
    """Return the direct and transitive dependencies of a distribution by name.

    Parameters
    ----------
    name : str
        The distribution, which is not included itself.
    excluded : frozenset of str
        Requirements of `name` that are not followed.
    """
    distributions: dict[str, metadata.Distribution] = {}
    pending = _list_requirements(metadata.distribution(name), excluded)
    while pending:
        dependency = canonicalize_name(pending.pop())
        if dependency in distributions:
            continue
        distributions[dependency] = metadata.distribution(dependency)
        pending += _list_requirements(distributions[dependency], frozenset())
    return distributions


def _list_requirements(
    distribution: metadata.Distribution, excluded: frozenset[str]
) -> list[str]:
    requirements = map(Requirement, distribution.requires or ())
    return [
        requirement.name
        for requirement in requirements
        if requirement.name not in excluded
        and (requirement.marker is None or requirement.marker.evaluate({"extra": ""}))
    ]


def copy_distribution(distribution: metadata.Distribution, target: Path) -> None:
    """Copy the files that a distribution installed in site-packages to `target`."""
    for file in distribution.files or ():
        source = Path(str(distribution.locate_file(file)))
        # Scripts are installed outside of site-packages.
        if ".." in file.parts or file.suffix == ".pyc" or not source.is_file():
            continue
        copy = target / file
        copy.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(source, copy)


def build(output: Path, excluded: frozenset[str], *, compressed: bool) -> None:
    """Build the executable file.

    Parameters
    ----------
    output : Path
        The file to write.
    excluded : frozenset of str
        Dependencies of radishtrack that are not included.
    compressed : bool
        Whether the content of the file is compressed.
    """
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as directory:
        site = Path(directory)
        for distribution in list_distributions("radishtrack", excluded).values():
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
                f"--root={UNPACK_DIRECTORY}",
                f"--output-file={output}",
                "--reproducible",
                "--compressed" if compressed else "--uncompressed",
            ],
            standalone_mode=False,
        )


def main() -> None:
    """Build the file as the command line says, and print its size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", type=Path, default=PROJECT / "dist/radishtrack")
    parser.add_argument("--with-benchmark", action="store_true")
    parser.add_argument("--uncompressed", action="store_true")
    arguments = parser.parse_args()
    excluded = frozenset[str]() if arguments.with_benchmark else BENCHMARK_ONLY
    build(arguments.output, excluded, compressed=not arguments.uncompressed)
    print(f"{arguments.output}: {arguments.output.stat().st_size} bytes")


if __name__ == "__main__":
    main()
