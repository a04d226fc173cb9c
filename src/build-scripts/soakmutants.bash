#!/usr/bin/env bash
# Copyright Contributors to the reachlead project.
# SPDX-License-Identifier: Apache-2.0
#
# Takes one mechanism out of the gateway at a time, in a scratch copy, and sees the fault soak find the
# rule that it carries. The rows stand in testsuite/soak/mutants.list; give a part of a name to run
# those alone. SEEDS are played until one finds it.
set -euo pipefail
top=$(cd "$(dirname "$0")/../.." && pwd)
SEEDS=${SEEDS:-1 2 3 4}
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
cp -r "$top/src" "$top/platform" "$top/CMakeLists.txt" "$top/CMakePresets.json" "$top/testsuite" "$scratch/"
mkdir "$scratch/whole"
cp -r "$scratch/src" "$scratch/platform" "$scratch/whole/"
export CCACHE_BASEDIR=$scratch CCACHE_NOHASHDIR=1 CCACHE_SLOPPINESS=pch_defines,time_macros
export BIN=$scratch/build/release/bin
build() {
    cmake --build "$scratch/build/release" --target reachlead-gateway reachlead-soak \
        >"$scratch/build.log" 2>&1
}
# found RULE: plays the seeds at once; true when one of them finds the rule broken.
found() {
    local seed
    for seed in $SEEDS; do
        "$scratch/testsuite/soak/run" "$seed" >"$scratch/soak-$seed.out" 2>&1 &
    done
    wait
    grep -q "broken=$1 " "$scratch"/soak-*.out
}
cmake -S "$scratch" --preset release -DREACHLEAD_WERROR=OFF >/dev/null
build || { tail -20 "$scratch/build.log"; exit 1; }
killed=0 survived=0
while IFS='|' read -r name file edit rule; do
    case "$name" in '' | '#'*) continue ;; esac
    case "$name" in *"${1:-}"*) ;; *) continue ;; esac
    sed -i "$edit" "$scratch/$file"
    if cmp -s "$scratch/whole/$file" "$scratch/$file"; then
        verdict="SURVIVED $name: the edit changed nothing"
    elif ! build; then
        verdict="SURVIVED $name: does not build"
    elif found "$rule"; then
        verdict="killed   $name by $rule"
    else
        verdict="SURVIVED $name: no seed found $rule broken"
    fi
    echo "$verdict"
    case "$verdict" in killed*) killed=$((killed + 1)) ;; *) survived=$((survived + 1)) ;; esac
    cp "$scratch/whole/$file" "$scratch/$file"
done <"$top/testsuite/soak/mutants.list"
echo "$killed passed, $survived failed"
[ "$survived" -eq 0 ]
