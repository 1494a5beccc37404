#!/usr/bin/env bash
# Checks what the scripts in 6 to 10 start beside the programs of the deploy file: stand-ins in Python, which need no
# build. Writes nothing.
set -euo pipefail
cd "$(dirname "$0")"
for file in kit-2/*.py [6-9]/*.py 10/*.py; do
  [ -e "$file" ] || continue
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
python3 -B -c 'import tomllib' # Python 3.11, as the project's own tests use
