#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into review/bin-2.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -tags review2 -o review/bin-2/stand-2 ./review/stand-2
