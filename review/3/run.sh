#!/bin/sh
# Runs the case; TROUBLE=0 leaves out the disruption. Build with the deploy file and review/build.sh first.
cd "$(dirname "$0")/../.." || exit 2
for file in target/bin/ebonyhook.js dist/review/3/run.js dist/review/lib/deployment.js; do
  [ -f "$file" ] || { echo "$file is missing" >&2; exit 2; }
done
exec node dist/review/3/run.js
