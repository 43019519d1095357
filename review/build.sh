#!/bin/sh
# Builds what the scripts start: the entry program, and the project's store stand-in in dist/.
set -e
cd "$(dirname "$0")/.."
[ node_modules -nt package-lock.json ] || npm ci --silent --no-audit --no-fund
npm run --silent bundle
npm run --silent build
