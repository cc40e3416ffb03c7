#!/usr/bin/env bash
# Installs what the build and the tests need, through Debian's packages.
set -euo pipefail

packages=(
  gcc g++ meson ninja-build pkg-config python3
  libtalloc-dev libtevent-dev libprotobuf-c-dev libmicrohttpd-dev
  libcurl4-gnutls-dev liblog4c-dev libjansson-dev nettle-dev libxxhash-dev
  libsimdjson-dev libtomlplusplus-dev libgtest-dev uthash-dev scdoc
)

missing=()
for p in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$p" 2>/dev/null | grep -q 'ok installed' ||
    missing+=("$p")
done
[ ${#missing[@]} -eq 0 ] && exit 0
apt-get update -q
DEBIAN_FRONTEND=noninteractive apt-get install -y -q \
  --no-install-recommends "${missing[@]}"
