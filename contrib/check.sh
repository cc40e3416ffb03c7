#!/usr/bin/env bash
# Builds everything and passes all tests. Prints "N passed, N failed" last.
set -euo pipefail
cd "$(dirname "$0")/.."

bash contrib/deps.sh
build=${BUILD_DIR:-build}
[ -d "$build" ] || meson setup "$build" >/dev/null
ninja -C "$build"
python3 tests/run_all.py "$build"
