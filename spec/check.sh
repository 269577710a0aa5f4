#!/usr/bin/env bash
# Checks the model of version adoption: no violation with all rules, and with each
# rule disabled the expected violation (a version regression or mixed versions).
# Prints key=value lines; exits with 1 if an expectation fails or a search without
# a violation is incomplete.
set -euo pipefail
spec="$(cd "$(dirname "$0")" && pwd)"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT

# search NAME EXPECTED_ERRORS DEFINES...
search() {
  local name="$1" expected="$2"
  shift 2
  local place="$work/$name"
  mkdir "$place"
  cd "$place"
  spin -a "$@" "$spec/version_adoption.pml" >spin.log
  local optimize=-O1 # a search that ends at a violation takes less time than -O2 adds
  if [ "$expected" = 0 ]; then
    optimize=-O2
  fi
  gcc "$optimize" -w -DSAFETY -DNOREDUCE -DMEMLIM=1024 -o pan pan.c
  ./pan -E -m10000 -w24 >pan.log 2>&1 || true
  local errors states
  errors="$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log)"
  states="$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log)"
  local complete=yes
  if grep -qE 'Search not completed|max search depth too small|out of memory' pan.log; then
    complete=no
  fi
  local verdict=ok
  if [ "${errors:-none}" != "$expected" ] || { [ "$expected" = 0 ] && [ "$complete" = no ]; }; then
    verdict=failed
    failed=1
  fi
  echo "model=$name errors=${errors:-none} expected=$expected states=${states:-0} complete=$complete verdict=$verdict"
}

failed=0
search both_rules 0
search one_down 0 -DNODES=3 -DHOLDERS=1 -DDOWN=1 -DRESTARTS=4 -DVERSIONS=3
search no_hold_rule 1 -DNO_HOLD_RULE
search no_return_rule 1 -DNO_RETURN_RULE
search no_whole_rule 1 -DNO_WHOLE_RULE
search more_down_than_holders 1 -DHOLDERS=1
exit "$failed"
