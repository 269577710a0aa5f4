#!/usr/bin/env bash
# Time until a change is in force on N nodes, and what that costs: convergence.sh N [OPTION]...
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh >/dev/null
python3 benchmark/convergence.py "$@"
