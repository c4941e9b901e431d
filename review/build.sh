#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. The daemon itself is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review/ ./review/bed
