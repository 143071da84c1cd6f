#!/usr/bin/env bash
# The stand-ins of the cases are Python scripts that use the standard library only:
# nothing has to be compiled. This checks that they parse.
set -euo pipefail
cd "$(dirname "$0")"
for source in standin.py */case.py; do
  python3 - "$source" <<'PY'
import ast, sys
ast.parse(open(sys.argv[1]).read(), sys.argv[1])
PY
done
