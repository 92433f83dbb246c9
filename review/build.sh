#!/bin/sh
# Builds the stand-ins that the scripts of the cases start, and what they import of the project's own.
set -e
cd "$(dirname "$0")/.."
rm -f dist/review.tsbuildinfo
exec npx tsc -p review/tsconfig.json
