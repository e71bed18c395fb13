#!/bin/sh
# Builds the stand-ins of all cases: one file each, the standard library only.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for source in stand/*.rs; do
    name=$(basename "$source" .rs)
    rustc --edition 2021 -O -o "bin/$name" "$source"
done
