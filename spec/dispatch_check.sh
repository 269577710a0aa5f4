#!/usr/bin/env bash
# Checks the model of the dispatch ledger: without a fault the properties must hold
# in a complete search of each size, and each injected fault must be detected.
# Usage: dispatch_check.sh [holds|faults]; both by default.
set -euo pipefail
model="$(cd "$(dirname "$0")" && pwd)/dispatch.pml"
part="${1:-all}"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT

# Options of the sizes in which the properties must hold.
sizes=(
  "-DREQUESTS=2 -DINGRESSES=2 -DGATES=1 -DEPOCHS=2 -DRESTARTS=2"
  "-DREQUESTS=2 -DINGRESSES=1 -DGATES=1 -DEPOCHS=2 -DRESTARTS=2"
  "-DREQUESTS=1 -DINGRESSES=1 -DGATES=1 -DEPOCHS=3 -DRESTARTS=2"
  "-DREQUESTS=1 -DINGRESSES=1 -DGATES=2 -DEPOCHS=2 -DRESTARTS=2 -DROOM=2"
  "-DREQUESTS=1 -DINGRESSES=1 -DGATES=2 -DEPOCHS=2 -DRESTARTS=2 -DROOM=2 -DIDEMPOTENT_REQUEST=0"
)
# Faults that must be detected, and a size large enough to detect them.
faults=(NO_EPOCH_FENCE NO_INCARNATION_CHECK FORGET_DONE RETRY_ANY)
fault_size="-DREQUESTS=1 -DINGRESSES=1 -DGATES=2 -DEPOCHS=2 -DRESTARTS=1"

# Runs one search with the given options; prints the report of pan.
search() {
  rm -rf "$work/run"
  mkdir "$work/run"
  cd "$work/run"
  # shellcheck disable=SC2086
  spin $1 -a "$model" >spin.log || { cat spin.log >&2; return 1; }
  # -O2 costs more compile time than it saves in the search.
  gcc -O0 -w -DSAFETY -DNOREDUCE -DSFH -DMEMLIM=1024 -o pan pan.c
  ./pan -E -m1000000 -w20
}

states=0
held=0
found=0
if [ "$part" != faults ]; then
  for size in "${sizes[@]}"; do
    report="$(search "$size")"
    if ! grep -q 'errors: 0$' <<<"$report" ||
      grep -qE 'Search not completed|max search depth too small|out of memory' <<<"$report"; then
      echo "$report"
      echo "dispatch_check: a property fails or the search is incomplete: $size"
      exit 1
    fi
    stored="$(sed -nE 's/^ *([0-9.e+]+) states, stored.*/\1/p' <<<"$report")"
    states="$(awk -v a="$states" -v b="$stored" 'BEGIN { printf "%d", a + b }')"
    held=$((held + 1))
  done
fi
if [ "$part" != holds ]; then
  for fault in "${faults[@]}"; do
    report="$(search "$fault_size -D$fault")"
    if ! grep -q 'assertion violated' <<<"$report"; then
      echo "$report"
      echo "dispatch_check: the fault $fault is not detected"
      exit 1
    fi
    found=$((found + 1))
  done
fi
echo "sizes_held=$held states=$states faults_found=$found seconds=$SECONDS"
