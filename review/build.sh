#!/bin/sh
# Builds the stand-ins that the cases start, into review/bin.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/standin ./review/_standin
