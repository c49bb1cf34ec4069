#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are Python 3 and use its
# standard library only, so nothing is built; this checks that they can run.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import sys
sys.dont_write_bytecode = True
sys.path.insert(0, "standins-2")
import lab  # noqa: F401
import tomllib  # noqa: F401
PYTHON
echo "stand-ins ready"
