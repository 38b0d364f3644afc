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
rm -r "$out"
