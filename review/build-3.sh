#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are in Python's standard
# library, so that this only checks that each of them compiles.
set -e
cd "$(dirname "$0")"
for file in common3/*.py 1[1-5]/*.py; do
    test -e "$file" || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
