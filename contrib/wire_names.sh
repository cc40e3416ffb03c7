#!/usr/bin/env bash
# The platform's paths, headers, keys and fields stay within platform/.
set -euo pipefail
cd "$(dirname "$0")/.."

names='kv-range|kv-watch|kv-txn|kv-lease|kv-keep|run-start|run-stop'
names+='|machine-move|machine-upkeep|fencing_token|clock_ms"|"acked"|"finished"'
names+='|X-Curranttack|servers/|op/config|op/wave|decide_ms|period_ms'
names+='|anti_affinity|long_running|may_miss"|estimate_ms"'

if git grep -nE "$names" -- '*.c' '*.h' '*.cc' ':!platform' ':!tests' ':!*.pb-c.*'; then
  echo "wire names: found outside platform/"
  exit 1
fi
