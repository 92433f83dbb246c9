#!/usr/bin/env bash
# Builds the programs that the scripts of the second review start, besides those of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -f dist/review.tsbuildinfo
npx tsc -p review/tsconfig.json
