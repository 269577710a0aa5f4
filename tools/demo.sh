#!/usr/bin/env bash
# Installs missing packages, builds, and runs the demonstration on a small fleet.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh
python3 tools/demo.py
