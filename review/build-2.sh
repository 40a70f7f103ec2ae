#!/bin/sh
# Builds what the scripts of review/4 to review/6 start beside the build of the deploy file. The
# stand-ins in review/standins-2 are Python programs that use the standard library alone: there is
# nothing to compile, they are only checked for syntax, and no file is written.
cd "$(dirname "$0")/.." || exit 1
for file in review/standins-2/*.py review/[456]/case.py; do
    [ -f "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
