#!/usr/bin/env bash
# Regenerates gen/ from proto/wire.thrift; the generated files are committed.
set -euo pipefail
cd "$(dirname "$0")/.."
thrift --gen cpp:moveable_types,no_skeleton -out gen proto/wire.thrift
rm -f gen/wire_constants.*
sed -i '/wire_constants/d' gen/*.cpp gen/*.h
