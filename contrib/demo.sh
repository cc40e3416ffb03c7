#!/usr/bin/env bash
# Builds everything, runs the cell beside the platform's stand-in and both
# sample deployments on loopback, and exits 0 only if every outcome is right.
set -euo pipefail
cd "$(dirname "$0")/.."

bash contrib/deps.sh
[ -d build ] || meson setup build >/dev/null
ninja -C build >/dev/null
python3 contrib/demo_cell.py build
if [ $# -eq 0 ]; then
  set -- kilimanjaro county-works
fi
for deployment in "$@"; do
  python3 contrib/demo_run.py build "$deployment"
done
