#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start; needs no network after the
# build of the deploy file.
set -e
cd "$(dirname "$0")/.."
npm run --silent build
