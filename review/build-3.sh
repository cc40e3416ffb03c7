#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 and later start.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f build-review-3/build.ninja ] || meson setup build-review-3 --buildtype=release -Dwerror=false
ninja -C build-review-3 tests/standins/standin-platform
