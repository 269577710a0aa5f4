#!/usr/bin/env bash
# Installs what is missing, builds, and takes a small fleet through its paces.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh
python3 tools/demo.py
