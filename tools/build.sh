#!/usr/bin/env bash
# Installs missing packages and builds all targets into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install.sh
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
cmake -S . -B build -G Ninja >build.log 2>&1 || { cat build.log; exit 1; }
cmake --build build "$@"
