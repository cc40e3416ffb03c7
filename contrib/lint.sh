#!/usr/bin/env bash
# Runs the linter over the sources of a build folder, in parallel.
set -euo pipefail
cd "$(dirname "$0")/.."

build=${1:-build}
git ls-files '*.c' | grep -v 'pb-c' |
  xargs -P "$(nproc)" -n 4 clang-tidy -p "$build" --quiet \
    --extra-arg=-Wno-unknown-warning-option 2>&1 |
  { grep -v 'warnings generated\|Suppressed\|Use -header-filter' || true; }
exit "${PIPESTATUS[1]}"
