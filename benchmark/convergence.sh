#!/usr/bin/env bash
# Measures the time until N nodes apply a change, and its cost: convergence.sh N [OPTION]...
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh >/dev/null
python3 benchmark/convergence.py "$@"
