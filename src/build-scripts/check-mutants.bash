#!/usr/bin/env bash
# Copyright Contributors to the reachlead project.
# SPDX-License-Identifier: Apache-2.0
#
# Checks that the edit of each row of the lists of mutants still changes its file.
set -euo pipefail
cd "$(dirname "$0")/../.."
failed=0
while IFS='|' read -r name file edit _; do
    case "$name" in '' | '#'*) continue ;; esac
    edited=$(sed "$edit" "$file") || edited=$(<"$file")
    if [ "$edited" = "$(<"$file")" ]; then
        echo "mutant $name: its edit changes nothing in $file"
        failed=1
    fi
done < <(cat testsuite/mutants.list testsuite/soak/mutants.list)
exit "$failed"
