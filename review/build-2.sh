#!/usr/bin/env bash
# Prepares the stand-ins of review/4 to review/8. They are Python programs (3.11, standard library only), so nothing is
# compiled: this checks that they can be read and that the programs of the deploy file are built.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B - <<'CHECK'
import ast, glob, sys
assert sys.version_info >= (3, 11), "the stand-ins need Python 3.11"
for path in ["review/lab_2/lab.py"] + glob.glob("review/[4-8]/case.py"):
    ast.parse(open(path, encoding="utf-8").read(), path)
CHECK
for program in poplarpitch-gateway poplarpitch-scheduler; do
  [ -x "target/bin/$program" ] || echo "target/bin/$program is missing: run the build of deploy/system.toml first" >&2
done
