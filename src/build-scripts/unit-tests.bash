#!/usr/bin/env bash
# Copyright Contributors to the reachlead project.
# SPDX-License-Identifier: Apache-2.0
#
# Runs all unit tests of the program given, as several processes at a time: most tests wait for
# sockets and clocks. Each process ends its output with `N passed, N failed`.
set -uo pipefail
program=$1
shards=$((($(nproc) + 1) / 2))
limit=900 # seconds, several times what a process takes with sanitizers
dir=$(mktemp -d)
pids=()
for ((it = 1; it <= shards; ++it)); do
    REACHLEAD_TEST_SHARD=$it/$shards timeout "$limit" "$program" >"$dir/$it" 2>&1 &
    pids+=($!)
done
code=0
for ((it = 1; it <= shards; ++it)); do
    wait "${pids[it - 1]}" || code=$?
    cat "$dir/$it"
done
rm -rf "$dir"
exit "$code"
