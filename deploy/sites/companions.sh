#!/usr/bin/env bash
# Lays the kit's companions of a site beside the variants, for a run. They are the operators' and do not go into the repository.
set -euo pipefail
cd "$(dirname "$0")"
cp ../../../given/kit/sites/{real.json,wire.json,unlock.txt} .
