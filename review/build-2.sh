#!/bin/bash
# The stand-ins of the cases 6 to 10 are Python programs that need nothing but
# the interpreter and its standard library; this checks that they compile.
set -eu
cd "$(dirname "$0")"
export PYTHONPYCACHEPREFIX="$(mktemp -d)"
trap 'rm -rf "$PYTHONPYCACHEPREFIX"' EXIT
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
python3 -m py_compile common-2/*.py [6-9]/*.py
if [ -e 10 ]; then
	python3 -m py_compile 10/*.py
fi
test -x ../target/curranttackd/curranttackd
echo "review: stand-ins are ready"
