#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
exec env PYTHONDONTWRITEBYTECODE=1 python3 "$(dirname "$0")/run.py"
