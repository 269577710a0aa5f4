#!/usr/bin/env bash
# Measures the latency that two nodes add to a call, at RATE calls per second for SECONDS_RUN seconds.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh >/dev/null
python3 benchmark/added_latency.py
