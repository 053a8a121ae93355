#!/bin/sh
# Builds what the cases 4 to 8 start beside the programs of the deploy file. Their stand-ins are Python
# files (3.9 or later, standard library only): this checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
for file in harness-2/*.py [4-8]/*.py; do
    [ -e "$file" ] || continue
    python3 - "$file" <<'CHECK'
import sys
with open(sys.argv[1], encoding="utf-8") as source:
    compile(source.read(), sys.argv[1], "exec")
CHECK
done
echo "stand-ins of the cases 4 to 8 are ready"
