#!/usr/bin/env bash
# Copyright Contributors to the reachlead project.
# SPDX-License-Identifier: Apache-2.0
#
# Runs clang-tidy on all source files in parallel, without the precompiled header, which only GCC can
# read. File names as arguments limit the run to those files.
set -euo pipefail
cd "$(dirname "$0")/../.."
cmake -S . -B build/lint -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON >/dev/null
files=("$@")
if [ ${#files[@]} -eq 0 ]; then
    mapfile -t files < <(git ls-files --cached --others --exclude-standard 'src/*.cpp' 'platform/*.cpp')
fi
printf '%s\n' "${files[@]}" | grep -v '^src/cmake/' \
    | xargs -P "$(nproc)" -n 1 clang-tidy-19 -p build/lint --quiet 2>build/lint/stderr.log
