#!/usr/bin/env bash
# The stand-ins of review/11 and later are Python (common-3): nothing to build.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import tomllib' # 3.11 or later
test -x target/curranttackd/curranttackd
