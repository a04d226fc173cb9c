#!/usr/bin/env bash
# Copyright Contributors to the reachlead project.
# SPDX-License-Identifier: Apache-2.0
#
# Mutation testing: disables one mechanism at a time in a scratch copy and checks that its test
# fails. The mutants are listed in testsuite/mutants.list; an argument selects those whose name
# contains it.
set -euo pipefail
top=$(cd "$(dirname "$0")/../.." && pwd)
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
cp -r "$top/src" "$top/platform" "$top/CMakeLists.txt" "$top/CMakePresets.json" "$top/testsuite" "$scratch/"
mkdir "$scratch/whole"
cp -r "$scratch/src" "$scratch/platform" "$scratch/whole/"
export CCACHE_BASEDIR=$scratch CCACHE_NOHASHDIR=1
export CCACHE_SLOPPINESS=pch_defines,time_macros
build() {
    cmake --build "$scratch/build/release" --target reachlead-tests >"$scratch/build.log" 2>&1
}
cmake -S "$scratch" --preset release -DREACHLEAD_WERROR=OFF >/dev/null
build || { tail -20 "$scratch/build.log"; exit 1; }
killed=0 survived=0
while IFS='|' read -r name file edit test; do
    case "$name" in '' | '#'*) continue ;; esac
    case "$name" in *"${1:-}"*) ;; *) continue ;; esac
    whole=$scratch/whole/$file
    sed -i "$edit" "$scratch/$file"
    if cmp -s "$whole" "$scratch/$file"; then
        echo "SURVIVED $name: the edit changed nothing"
        survived=$((survived + 1))
        continue
    fi
    if ! build; then
        echo "SURVIVED $name: does not build"
        cp "$whole" "$scratch/$file"
        grep error: "$scratch/build.log" | head -3
        survived=$((survived + 1))
    elif timeout 120 "$scratch/build/release/bin/reachlead-tests" "$test" >"$scratch/test.log" 2>&1; then
        echo "SURVIVED $name: $test passed without it"
        survived=$((survived + 1))
    elif grep -q '^0 passed, 0 failed' "$scratch/test.log"; then
        echo "SURVIVED $name: no test is named $test"
        survived=$((survived + 1))
    else
        echo "killed   $name by $test"
        killed=$((killed + 1))
    fi
    cp "$whole" "$scratch/$file"
done <"$scratch/testsuite/mutants.list"
echo "$killed passed, $survived failed"
[ "$survived" -eq 0 ]
