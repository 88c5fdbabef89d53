#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. They are one test binary behind a build tag, so that
# neither CI nor the default test run has them.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go test -c -tags review -o target/review/stage ./review/stage
