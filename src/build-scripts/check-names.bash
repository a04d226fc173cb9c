#!/usr/bin/env bash
# Copyright Contributors to the reachlead project.
# SPDX-License-Identifier: Apache-2.0
#
# Checks that the platform's header names and paths occur only in platform/.
set -euo pipefail
cd "$(dirname "$0")/../.."
names='Attempt-Id|Replica-Stamp|Not-Executed|Expect-Replica|Prompt-Prefix|Deadline-Ms|Token-Count'
names+='|Server-Leaving|Server-Limit'
names+='|Request-Urgency|Replica-Id|/-/objects|/-/ready|Kv-From|Kv-Fetch|Kv-Backup|Expect-Version'
if git grep -nE "$names" -- 'src/*.cpp' 'src/*.h'; then
    echo "the lines above use a name of the platform outside platform/"
    exit 1
fi
