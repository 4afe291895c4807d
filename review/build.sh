#!/usr/bin/env bash
# The stand-ins of the scripts are Python programs that need no build. This checks
# that they can be read, and that the program of the deploy file has been built.
set -euo pipefail
cd "$(dirname "$0")"
for file in standin/*.py [1-5]/*.py; do
  python3 -c 'import sys, tomllib; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
test -x ../target/apps/pollenwick-agent ||
  echo "target/apps/pollenwick-agent is missing: run the build command of deploy/system.toml"
