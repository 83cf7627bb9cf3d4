#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are Python without libraries, so this only
# checks that they can be compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q .
