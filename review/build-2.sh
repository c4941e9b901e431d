#!/bin/bash
# Builds the stand-ins that the scripts of cases 6 to 10 start, into target/, beside the daemon that the build of the deploy file puts there.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-bed2 ./review/bed2
