#!/usr/bin/env bash
# Checks the stand-ins of the cases 6 to 10. They are Python with the standard library only, so there
# is nothing to compile; the program under test comes from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - standin-2/standin.py {6,7,8,9,10}/case.py <<'PYTHON'
import pathlib
import sys

assert sys.version_info >= (3, 11), "the stand-ins read the deploy file with tomllib"
for name in sys.argv[1:]:
    path = pathlib.Path(name)
    if path.exists():
        compile(path.read_text(encoding="utf-8"), name, "exec")
PYTHON
