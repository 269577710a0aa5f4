#!/usr/bin/env bash
# Runs the build command of deploy/system.toml: a release build without tests and without warnings as errors.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install.sh
command=$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/system.toml", "rb"))["build"])')
bash -c "$command" >deploy_build.log 2>&1 || { tail -n 40 deploy_build.log; exit 1; }
target/dandelionfall --version
