# Copyright Contributors to the reachlead project.
# SPDX-License-Identifier: Apache-2.0
#
# run_case CASE RECORD: runs a case of the fixture, which reads TROUBLE and writes what was sent,
# answered and run to RECORD. Returns 1 if the rule was broken, 0 if it held, and 2 if the case could
# not run.
run_case() {
    local name=$1 record=$2 code=0 work fixture=target/review-2/fixture
    # As in the deploy file.
    local gateway=target/build/bin/reachlead-gateway
    if [[ ! -x $gateway || ! -x $fixture ]]; then
        echo "not run: build the deploy file and run review/build-2.sh first" | tee "$record" >&2
        return 2
    fi
    work=$(mktemp -d)
    # The gateway ends with the fixture, also if the script is ended early.
    timeout --kill-after=5 110 "$fixture" "$name" "$gateway" "$work" "$record" &
    local pid=$!
    trap 'kill "$pid"; wait "$pid"; rm -rf "$work"; exit 2' TERM INT
    wait "$pid" || code=$?
    trap - TERM INT
    rm -rf "$work"
    [[ $code -le 1 ]] || code=2
    return "$code"
}
