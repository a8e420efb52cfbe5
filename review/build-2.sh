#!/bin/sh
# Prepares the scripts review/6 to review/10. Their stand-ins are Python files
# that use the standard library only, so nothing is compiled; what they start
# is target/bin/endivehinge, from the line `build` of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
command -v python3 > /dev/null || {
    echo "python3 is missing" >&2
    exit 2
}
for file in stand-ins/*.py */play.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
