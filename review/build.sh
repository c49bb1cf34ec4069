#!/bin/sh
# Builds the stand-ins of the scripts. They are Python 3 with its standard
# library only, so there is nothing to compile: this checks that they can be read.
cd "$(dirname "$0")" || exit 2
for it in standins/*.py */case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$it" || exit 2
done
