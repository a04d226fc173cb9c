# Copyright Contributors to the reachlead project.
# SPDX-License-Identifier: Apache-2.0
#
# Functions for tests with clients that misuse the limits of a process. A test prints whether the
# process lives, its memory and descriptors stay within its settings, and ordinary calls are answered.
source "$(dirname "${BASH_SOURCE[0]}")/gateway.bash"

BODY_BYTES=1048576
CALLER_LIMITS="{\"maxHeaderBytes\":16384,\"maxBodyBytes\":$BODY_BYTES,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}"
# Sections that platform/gateway.ini adds for a deployment whose contracts do not list pressure.
DEPLOYED_SECTIONS=$(sed -n '/^\[pressure\]/,$p' "$(dirname "${BASH_SOURCE[0]}")/../platform/gateway.ini" \
    | sed 's/{{contracts}}/base,drain,config,cost,retry,recover,engine,stream,tenants,platform/')

# put_crowd_config ROUTES: writes a configuration with the account of an ordinary caller, and those of
# the crowd, whose keys are crowd1 to crowd8.
put_crowd_config() {
    local accounts='{"name":"t","apiKeys":["k"]}' n
    for n in 1 2 3 4 5 6 7 8; do accounts+=",{\"name\":\"crowd$n\",\"apiKeys\":[\"crowd$n\"]}"; done
    put_object config main "{\"version\":3,\"tenants\":[$accounts],\"routes\":[$1],\"limits\":$CALLER_LIMITS}"
}

# start_deployment: starts a store, an upstream, and the gateway g1 with MEMORY_MB and DESCRIPTORS.
start_deployment() {
    start_standin store store
    start_standin u1 upstream --name u1
    put_object servers i-u1 "{\"service\":\"s\",\"address\":\"127.0.0.1:${PORT[u1]}\",\"zone\":\"z1\",\"slots\":400,\"state\":\"ready\"}"
    MORE_SETTINGS=$DEPLOYED_SECTIONS
    start_gateway g1 "${PORT[store]}"
    put_crowd_config "$(route_json safe safe),$(route_json events stream)"
    wait_until "readiness" is_ready g1
    wait_until "a call" serves g1 /safe/x
}

# start_router_fleet: starts a router r1 with an agent of a plain service.
start_router_fleet() {
    start_platform
    put_basic_settings
    start_service s1 app z1
    start_router r1 z1
    PORT[r1-callers]=${PORT[r1]}
    publish_members
    wait_until "agents" agents_up r1 1
    wait_until "settings" is_healthy r1
}
answers_service() { [ "$(call_service r1 /x -d x)" = "200 ran" ]; }

# unread_kb NAME: prints what the kernel has received for the process and the process has not read.
unread_kb() {
    local ports inodes
    ports=$(printf '%04X ' "${PORT[$1-callers]:-0}" "${PORT[$1-ready]:-0}" "${PORT[$1-operators]:-0}")
    inodes=$(ls -l "/proc/${PID[$1]}/fd" 2>/dev/null | sed -n 's/.*socket:\[\([0-9]*\)\].*/\1/p' | tr '\n' ' ')
    awk -v ports="$ports" -v inodes="$inodes" '
        function hex(text,   n, sum) {
            for (n = 1; n <= length(text); ++n)
                sum = sum * 16 + index("123456789ABCDEF", substr(text, n, 1))
            return sum
        }
        BEGIN { n = split(ports, p, " "); for (it = 1; it <= n; ++it) isPort[p[it]] = 1
                n = split(inodes, i, " "); for (it = 1; it <= n; ++it) isOwn[i[it]] = 1 }
        $4 != "0A" { split($2, local, ":"); split($5, queue, ":")
                     if (isPort[local[2]] || isOwn[$10]) sum += hex(queue[2]) }
        END { print int(sum / 1024) }' /proc/net/tcp
}
status_kb() { sed -n "s/^$2:[^0-9]*\([0-9]*\) kB/\1/p" "/proc/${PID[$1]}/status"; }
descriptor_count() { ls "/proc/${PID[$1]}/fd" | wc -l; }

# start_crowd PORT OPTIONS...: starts a crowd; it lasts until stop_crowd.
start_crowd() {
    local port=$1
    shift
    : >"$FLEET_DIR/crowd.out"
    "$BIN/reachlead-load" crowd --target "127.0.0.1:$port" --body "$BODY_BYTES" \
        --header 'Attempt-Id: crowd' --header 'Deadline-Ms: 60000' "$@" >"$FLEET_DIR/crowd.out" 2>"$FLEET_DIR/crowd.log" &
    PID[crowd]=$!
    FLEET_PIDS+=("$!")
}
stop_crowd() {
    kill -KILL "${PID[crowd]}" 2>/dev/null || true # it ends by itself once all its connections are closed
    wait "${PID[crowd]}" 2>/dev/null || true
}

# watch_until_settled NAME: follows the memory of the process until the crowd can do no more.
watch_until_settled() {
    local sum
    PEAK_KB=0 PEAK_DESCRIPTORS=0
    while kill -0 "${PID[$1]}" 2>/dev/null; do
        sum=$(($(status_kb "$1" VmRSS) + $(unread_kb "$1")))
        PEAK_KB=$((sum > PEAK_KB ? sum : PEAK_KB))
        sum=$(descriptor_count "$1")
        PEAK_DESCRIPTORS=$((sum > PEAK_DESCRIPTORS ? sum : PEAK_DESCRIPTORS))
        grep -q settled "$FLEET_DIR/crowd.out" && return 0
        kill -0 "${PID[crowd]}" 2>/dev/null || fail "the crowd ended: $(cat "$FLEET_DIR/crowd.log")"
        sleep 0.1
    done
}

# report_bounds NAME: prints whether the process lived and stayed within its bounds.
report_bounds() {
    local peak
    kill -0 "${PID[$1]}" 2>/dev/null && echo "the process lives" || { echo "the process ended"; return 0; }
    peak=$(status_kb "$1" VmHWM)
    echo "peak: resident $((peak / 1024)) MB, with unread $((PEAK_KB / 1024)) MB, descriptors $PEAK_DESCRIPTORS" >&2
    peak=$((peak > PEAK_KB ? peak : PEAK_KB))
    [ "$peak" -lt $((MEMORY_MB * 1024)) ] && echo "memory within the limit" || echo "memory over the limit"
    [ "$PEAK_DESCRIPTORS" -lt "$DESCRIPTORS" ] && echo "descriptors within the limit" || echo "descriptors over the limit"
}

# answers WHEN: prints whether an ordinary call, tried until it succeeds, is answered.
answers() {
    local n
    for ((n = 0; n < 40; ++n)); do
        if "${ORDINARY_CALL[@]}" 2>/dev/null; then
            echo "an ordinary call is answered $1"
            return 0
        fi
        sleep 0.25
    done
    echo "no ordinary call is answered $1"
}

# crowd_case TITLE OPTIONS...: a deployment, a crowd at one of its ports, and what became of it. START
# starts the process PROCESS, whose port CROWD_PORT the crowd connects to.
START=start_deployment PROCESS=g1 CROWD_PORT=callers
ORDINARY_CALL=(serves g1 /safe/x)
crowd_case() {
    echo "-- $1"
    shift
    "$START"
    start_crowd "${PORT[$PROCESS-$CROWD_PORT]}" "$@"
    watch_until_settled "$PROCESS"
    answers "beside the crowd"
    stop_crowd
    answers "after the crowd"
    report_bounds "$PROCESS"
    stop_deployment
}

# stop_deployment: ends all processes, so that another case can begin.
stop_deployment() {
    local it
    for it in "${FLEET_PIDS[@]}"; do
        kill -KILL "$it" 2>/dev/null || true
        wait "$it" 2>/dev/null || true
    done
    FLEET_PIDS=() MEMBERS=()
}
