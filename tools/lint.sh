#!/usr/bin/env bash
# Checks the format of the sources (except gen/) and runs clang-tidy on them.
# With file names as arguments clang-tidy runs on these only; the format of all sources is always checked.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | grep -v '^gen/' | xargs clang-format --dry-run --Werror
files=("$@")
if [ "${#files[@]}" -eq 0 ]; then
  mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' | grep -vE '^(gen|fuzz)/')
fi
printf '%s\n' "${files[@]}" | xargs -P "${LINT_JOBS:-$(nproc)}" -n 1 clang-tidy -p build --quiet 2>&1 |
  { grep -vE '^[0-9]+ warnings? (generated|treated)|^Suppressed|^Use -header|^$' || true; } | tee lint.log
if grep -qE '(error|warning):' lint.log; then
  exit 1
fi
echo "lint: ${#files[@]} files clean"
