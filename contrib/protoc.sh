#!/usr/bin/env bash
# Regenerates the committed message code from protocol/curranttack.proto.
set -euo pipefail
cd "$(dirname "$0")/../protocol"

out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
protoc-c --c_out="$out" curranttack.proto
sed 's|"curranttack.pb-c.h"|"protocol/curranttack.pb-c.h"|' \
  "$out/curranttack.pb-c.c" > curranttack.pb-c.c
cp "$out/curranttack.pb-c.h" ../include/protocol/
