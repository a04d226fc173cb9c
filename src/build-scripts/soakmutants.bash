#!/usr/bin/env bash
# Copyright Contributors to the reachlead project.
# SPDX-License-Identifier: Apache-2.0
#
# Mutation testing of the gateway: disables one mechanism at a time in a scratch copy and checks that
# the fault soak reports the rule that depends on it. The mutants are listed in
# testsuite/soak/mutants.list; an argument selects those whose name contains it. The soak runs with
# each of SEEDS, all at once; one of them must report the rule.
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
# rule_broken RULE: runs all seeds at once; true if one of them reports the rule as broken.
rule_broken() {
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
    elif rule_broken "$rule"; then
        verdict="killed   $name by $rule"
    else
        verdict="SURVIVED $name: no seed reported $rule as broken"
    fi
    echo "$verdict"
    case "$verdict" in killed*) killed=$((killed + 1)) ;; *) survived=$((survived + 1)) ;; esac
    cp "$scratch/whole/$file" "$scratch/$file"
done <"$top/testsuite/soak/mutants.list"
echo "$killed passed, $survived failed"
[ "$survived" -eq 0 ]
