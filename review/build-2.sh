#!/bin/sh
# The stand-ins of cases 4 to 8 are Python and use the standard library only:
# they need no build. This checks that they and the build of the deploy file are
# there.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps ] || { echo 'build deploy/system.toml first'; exit 2; }
for file in review/kit_2.py review/[4-8]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" ||
        exit 2
done
