#!/usr/bin/env bash
# Formats the sources in place; with --check, only reports differences.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t files < <(git ls-files '*.c' '*.h' '*.cc' | grep -v 'pb-c')
if [ "${1:-}" = --check ]; then
  clang-format --dry-run --Werror "${files[@]}"
else
  clang-format -i "${files[@]}"
fi
