#!/usr/bin/env bash
# Measures the cost of the configuration at an eighth, a quarter, a half and all of the
# intended size; the last line is for the full size, 1,300 services and 14,000 targets.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --build build --target configuration_generator configuration_size >/dev/null
directory=$(mktemp -d)
trap 'rm -rf "$directory"' EXIT
for share in 8 4 2 1; do
  build/tests/standin/configuration_generator --directory="$directory/$share" \
    --services=$((1300 / share)) --targets=$((14000 / share))
  build/benchmark/configuration_size --directory="$directory/$share"
done
