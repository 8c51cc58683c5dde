#!/bin/sh
# Builds the stand-ins that the scripts of the third review start: `world3.py`, which
# needs the standard library alone.
set -e
cd "$(dirname "$0")"
python3 - <<'PROGRAM'
import pathlib
cases = (pathlib.Path(str(number)) / "case.py" for number in range(11, 16))
for path in (pathlib.Path("world3.py"), *(path for path in cases if path.exists())):
    compile(path.read_text(), str(path), "exec")
PROGRAM
