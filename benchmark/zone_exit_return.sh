#!/usr/bin/env bash
# Measures service while an availability zone is drained and returns, for both deployments.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh >/dev/null
for deployment in thessaloniki kerala; do
  python3 benchmark/zone_exit_return.py --deployment "$deployment" "$@" | tail -1
done
