#!/usr/bin/env bash
# Runs every bench and prints one table each. Takes under five minutes.
set -euo pipefail
cd "$(dirname "$0")/.."

build=${1:-build}
ninja -C "$build" >/dev/null
echo "== placement, at today's size and in two years"
"$build/bench/bench_placement" 48 500 60000
"$build/bench/bench_placement" 3800 52000 60000
echo
echo "== one shard's decisions (no network), at four sizes"
printf '%7s %7s %6s %9s %10s %9s %9s %9s %9s %9s %10s\n' workers tasks rate \
  starts/s core us/start 'log kB/s' commits/s 'heap kB' 'snap kB' 'urgent s'
for n in 80 160 320; do
  "$build/bench/bench_shard" $n $((n * 1375 / 100)) $((n * 70 / 320)) 60
done
"$build/bench/bench_shard" 3800 52000 830 10
echo "the same, with more heavy work than fits"
"$build/bench/bench_shard" 320 10000 70 30
"$build/bench/bench_shard" 3800 120000 830 10
echo
echo "== requests through daemons and endpoints"
python3 bench/bench_requests.py "$build" 4
echo
echo "== control cost of one daemon"
python3 bench/bench_control.py "$build" 8
