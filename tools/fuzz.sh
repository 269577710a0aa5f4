#!/usr/bin/env bash
# Builds the fuzz targets with clang into build-fuzz and executes each a fixed number of runs
# with a fixed seed. FUZZ_RUNS multiplies the number of runs (default 1), FUZZ_SEED sets another
# seed (default 1). A crash ends the script; its input stays in build-fuzz/crashes and should be
# added to fuzz/corpus.
# Arguments are passed to `cmake --build`.
#
# A seed gives the same inputs in every run of a build: libFuzzer's tables depend on addresses, so
# their randomization is off and the environment, which shifts the stack, is fixed; its actions at
# intervals of time are off.
set -euo pipefail
cd "$(dirname "$0")/.."
seed=${FUZZ_SEED:-1}
factor=${FUZZ_RUNS:-1}
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
cmake -S . -B build-fuzz -G Ninja -DDANDELIONFALL_FUZZ=ON -DCMAKE_CXX_COMPILER=clang++ \
  -DCMAKE_CXX_FLAGS="-fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=undefined" \
  >fuzz.log 2>&1 || { cat fuzz.log; exit 1; }
cmake --build build-fuzz --target fuzz_targets "$@"
rm -rf build-fuzz/corpus
mkdir -p build-fuzz/corpus build-fuzz/crashes
cp -r fuzz/corpus/. build-fuzz/corpus/
build-fuzz/fuzz/frame_seeds build-fuzz/corpus/frame

total=0
began=$(date +%s)
run() {
  local name=$1 runs=$(($2 * factor))
  shift 2
  if ! env -i PATH=/usr/bin:/bin setarch -R "build-fuzz/fuzz/fuzz_$name" \
    -runs="$runs" -seed="$seed" -timeout=5 -rss_limit_mb=1024 -reload=0 -purge_allocator_interval=-1 \
    -artifact_prefix="build-fuzz/crashes/$name-" "$@" "build-fuzz/corpus/$name" >fuzz.log 2>&1; then
    tail -n 40 fuzz.log
    echo "fuzz_$name failed; its input is in build-fuzz/crashes"
    exit 1
  fi
  total=$((total + runs))
  echo "fuzz_$name: $runs runs,$(sed -n 's/.*DONE *\(.*\) lim:.*/ \1/p' fuzz.log)"
}
run configuration 10000 -dict=fuzz/ini.dict -max_len=2048
run manifest 15000 -dict=fuzz/ini.dict -max_len=2048
run hosts 10000 -dict=fuzz/ini.dict -max_len=2048
run settings 10000 -dict=fuzz/ini.dict -max_len=2048
run frame 30000 -max_len=4096
run http 30000 -dict=fuzz/http.dict -max_len=4096
run pipeline 30000 -dict=fuzz/http.dict -max_len=4096
echo "targets=7 runs=$total crashes=0 seed=$seed seconds=$(($(date +%s) - began))"
