#!/usr/bin/env bash
# Time that the path through two nodes adds to a call, at RATE calls a second for SECONDS_RUN seconds.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh >/dev/null
python3 benchmark/added_latency.py
