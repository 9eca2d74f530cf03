#!/bin/bash
# Builds the stand-ins of the second review's scripts. They are Python on the standard library, part of the
# scripts themselves, and no stand-in of the project is started, so this only checks that all of it compiles.
set -euo pipefail
cd "$(dirname "$0")"
for file in support_2/*.py [4-8]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
