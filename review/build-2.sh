#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are plain CommonJS files under review/, so nothing has to be
# compiled. Checks that the program of the deploy file is built and that the stand-ins load.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -s target/tamarackdriftEntry.mjs ] || npm run --silent bundle
node -e "require('./review/lib-2/harness.cjs')"
