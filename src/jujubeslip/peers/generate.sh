#!/usr/bin/env bash
# Writes gen/ anew from jujubeslip.thrift; needs Debian's thrift-compiler 0.17.
set -eu
cd "$(dirname "$0")"
out=$(mktemp -d)
thrift --gen py:enum --out "$out" jujubeslip.thrift
rm -rf gen
mv "$out/peers_gen" gen
rm -f gen/*-remote
sed -i 's/[ \t]*$//' gen/*.py
# Exceptions must let Python set __traceback__: contextlib does so for each one that
# leaves a generator, and a TypeError would take the place of the refusal.
sed -i '/def __\(set\|del\)attr__(self, \*args):/,+2d' gen/ttypes.py
rm -rf "$out"
