#!/usr/bin/env bash
# The stand-ins of the scripts in 6 to 10 are Python programs that need no build. This
# checks that they can be read, and that the program of the deploy file has been built.
set -euo pipefail
cd "$(dirname "$0")"
for file in standin-2/*.py {6,7,8,9,10}/case.py; do
  [ ! -e "$file" ] || python3 -c 'import sys
compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
python3 -c 'import tomllib'
[ -x ../target/apps/pollenwick-agent ] || {
  echo "target/apps/pollenwick-agent is missing: run the build command of deploy/system.toml" >&2
  exit 1
}
