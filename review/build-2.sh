#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into bin/review2. It needs what the build of the deploy file needs, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review2 ./review/_standin2
