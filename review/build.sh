#!/usr/bin/env bash
# The scripts' stand-ins are in Python and need no build; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/lab.py */case.py; do
    python3 - "$file" <<'PYTHON'
import ast, sys
ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])
PYTHON
done
