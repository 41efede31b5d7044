#!/usr/bin/env bash
# Checks the stand-ins of the third review, which are Python scripts without dependencies; nothing
# has to be compiled. The project's own stand-ins are not used.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - standin-3/*.py 1[1-5]/*.py << 'END'
import ast
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
END
