#!/bin/sh
# Puts the program and its locked libraries under target/deps, which is on Python's path.
set -eu
cd "$(dirname "$0")/.."
libraries=target/deps/.libraries
if ! cmp -s deploy/requirements.lock "$libraries"; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check --no-deps \
        --target target/deps -r deploy/requirements.lock
    cp deploy/requirements.lock "$libraries"
fi
rm -rf target/deps/jujubeslip
cp -r src/jujubeslip target/deps/jujubeslip
python3 -m compileall -q target/deps
