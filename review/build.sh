#!/usr/bin/env bash
# The stand-ins are Python scripts, which need no compilation; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in standin/deployment.py */case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
