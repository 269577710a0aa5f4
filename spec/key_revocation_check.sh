#!/usr/bin/env bash
# Checks the model of key revocation: no request is accepted too late with all
# rules, and with each rule disabled one is. Prints key=value lines; exits with 1
# if an expectation fails or a search without a violation is incomplete.
set -euo pipefail
spec="$(cd "$(dirname "$0")" && pwd)"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT

# search NAME EXPECTED_ERRORS DEFINES...
search() {
  local name="$1" expected="$2"
  shift 2
  mkdir "$work/$name"
  cd "$work/$name"
  spin -a "$@" "$spec/key_revocation.pml" >spin.log
  gcc -O1 -w -DSAFETY -DNOREDUCE -DMEMLIM=1024 -o pan pan.c
  ./pan -E -m1000000 -w22 >pan.log 2>&1 || true
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
search all_rules 0 -DMAX_AGE=3
search relayed 0 -DNODES=3 -DMAX_AGE=1
search no_call_rule 1 -DNO_CALL_RULE
search no_probe_rule 1 -DNO_PROBE_RULE
search no_age_rule 1 -DNO_AGE_RULE
search no_held_rule 1 -DNO_HELD_RULE
search no_check_rule 1 -DNO_CHECK_RULE
exit "$failed"
