# Copyright Contributors to the reachlead project.
# SPDX-License-Identifier: Apache-2.0
#
# Starts and stops small fleets of real processes on loopback. Sourced by the demo, the
# whole-program tests and the benchmark; requires BIN, the folder of the programs.
#
# All ports are ephemeral; each process is killed by its own id.

set -euo pipefail

FLEET_DIR=$(mktemp -d)
FLEET_PIDS=()
MEMBERS=()
declare -A PORT PID

fail() {
    echo "FAILED: $*" >&2
    exit 1
}

# stop_fleet: kills the remaining processes by id and removes the folder.
stop_fleet() {
    local it
    for it in "${FLEET_PIDS[@]}"; do
        kill -CONT "$it" 2>/dev/null || true
        kill -KILL "$it" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$FLEET_DIR"
}
trap stop_fleet EXIT

# launch NAME PROGRAM ARGS...: starts a process and waits for the line that lists its ports.
launch() {
    local name=$1 n
    shift
    : >"$FLEET_DIR/$name.out" # output of an earlier process of that name must not be read as this one's
    "$@" >"$FLEET_DIR/$name.out" 2>"$FLEET_DIR/$name.log" &
    PID[$name]=$!
    FLEET_PIDS+=("$!")
    for ((n = 0; n < 400; ++n)); do
        grep -qE '^(listening|callers|sessions)=' "$FLEET_DIR/$name.out" && return 0
        kill -0 "${PID[$name]}" 2>/dev/null || break
        sleep 0.025
    done
    cat "$FLEET_DIR/$name.out" "$FLEET_DIR/$name.log" >&2
    fail "$name did not start"
}

# printed_port NAME KEY: prints a port that the process listed.
printed_port() {
    grep -E '^(listening|callers|sessions)=' "$FLEET_DIR/$1.out" | sed -n "s/.*\b$2=\([0-9]*\).*/\1/p" | head -1
}

start_platform() {
    launch platform "$BIN/reachlead-standin" platform
    PORT[platform]=$(printed_port platform listening)
    PLATFORM=http://127.0.0.1:${PORT[platform]}
}

# put_settings PATH FILE: creates or updates one node of the settings tree.
put_settings() {
    local version
    version=$(curl -s "$PLATFORM/objects?key=settings/$1" | sed -n 's/.*"objects":\[{.*"version":\([0-9]*\),"value".*/\1/p')
    curl -sf -X PUT --data-binary "@$2" \
        "$PLATFORM/objects?key=settings/$1&expected=${version:-0}" >/dev/null
}

# start_engine NAME MODEL ZONE [engine options...]: starts an engine and its agent.
start_engine() {
    local name=$1 model=$2 zone=$3
    shift 3
    launch "$name-engine" "$BIN/reachlead-standin" engine "$@"
    PORT[$name-engine]=$(printed_port "$name-engine" listening)
    start_agent "$name" "model = $model" "$zone" "${PORT[$name-engine]}"
}

# start_service NAME SERVICE ZONE: starts a plain service and its agent.
start_service() {
    launch "$1-service" "$BIN/reachlead-standin" service --name "$2"
    PORT[$1-service]=$(printed_port "$1-service" listening)
    start_agent "$1" "service = $2" "$3" "${PORT[$1-service]}"
}

# start_agent NAME TARGET-LINE ZONE UPSTREAM-PORT
start_agent() {
    cat >"$FLEET_DIR/$1.ini" <<INI
[agent]
vm = $1
zone = $3
$2
listen = 127.0.0.1:${PORT[$1]:-0}
window_first = ${WINDOW_FIRST:-16}
window_most = ${WINDOW_MOST:-256}
${KEY_FILE:+fleet_key_file = $KEY_FILE}
[upstream]
endpoint = 127.0.0.1:$4
stall_limit = ${STALL_LIMIT:-20s}
[platform]
service = 127.0.0.1:${PORT[platform]}
[operators]
listen = 127.0.0.1:0
write_key = $ADMIN_KEY
INI
    local target
    target=$(sed 's/ = /:/' <<<"$2")
    launch "$1" "$BIN/reachlead-agent" --settings "$FLEET_DIR/$1.ini"
    PORT[$1]=$(printed_port "$1" sessions)
    PORT[$1-operators]=$(printed_port "$1" operators)
    MEMBERS+=("{\"vm\":\"$1\",\"role\":\"agent\",\"zone\":\"$3\",\"address\":\"127.0.0.1\",\"port\":${PORT[$1]},\"leaving\":false,\"target\":\"$target\"}")
}

# start_router NAME ZONE
start_router() {
    cat >"$FLEET_DIR/$1.ini" <<INI
[router]
vm = $1
zone = $2
stop_notice = 200ms
${ROUTER_EXTRA:-}
${KEY_FILE:+fleet_key_file = $KEY_FILE}
[callers]
listen = 127.0.0.1:${PORT[$1]:-0}
${CALLERS_EXTRA:-}
[platform]
service = 127.0.0.1:${PORT[platform]}
member_interval = 200ms
[operators]
listen = 127.0.0.1:0
write_key = $ADMIN_KEY
[log]
level = ${ROUTER_LOG:-info}
INI
    launch "$1" "$BIN/reachlead-router" --settings "$FLEET_DIR/$1.ini"
    PORT[$1]=$(printed_port "$1" callers)
    PORT[$1-operators]=$(printed_port "$1" operators)
    MEMBERS+=("{\"vm\":\"$1\",\"role\":\"router\",\"zone\":\"$2\",\"address\":\"127.0.0.1\",\"port\":0,\"leaving\":false}")
}

publish_members() {
    local IFS=,
    curl -sf -X PUT --data "[${MEMBERS[*]}]" "$PLATFORM/members" >/dev/null
}

# wait_until TEXT COMMAND...: retries the command for up to 10 s.
wait_until() {
    local what=$1 n
    shift
    for ((n = 0; n < 400; ++n)); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.025
    done
    fail "timed out waiting for: $what"
}

# agents_up ROUTER N: true if the router has sessions with at least N agents.
agents_up() {
    [ "$(metric "$1" reachlead_sessions)" -ge "$2" ]
}

# metric NAME METRIC: prints a counter or gauge of a daemon; METRIC includes the labels, as in
# `refused_total{reason="x"}`.
metric() {
    curl -s "http://127.0.0.1:${PORT[$1-operators]}/metrics" | awk -v m="$2" '$1 == m { print $2 }'
}

# stop_gracefully NAME: sends SIGTERM; fails unless the process exits with code 0.
stop_gracefully() {
    kill -TERM "${PID[$1]}"
    local code=0
    wait "${PID[$1]}" || code=$?
    [ "$code" -eq 0 ] || fail "$1 exited with code $code"
}
