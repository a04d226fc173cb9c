# Copyright Contributors to the reachlead project.
# SPDX-License-Identifier: Apache-2.0
#
# Functions for whole-program tests with a small fleet. The output of a test must be the same on every
# run, so it contains no ports, ids or times.
ADMIN_KEY=test-operator
source "$(dirname "${BASH_SOURCE[0]}")/../src/build-scripts/fleet.bash"
SECRET=open-sesame
KEY="Authorization: Bearer acc:$SECRET"

# put_basic_settings: writes a class for live calls, a class for batches, and an account `acc`.
put_basic_settings() {
    local hash
    hash=$(printf '%s\n%s' salt "$SECRET" | sha256sum | cut -d' ' -f1)
    printf 'tier = 0\nfirst_token = 2s\ndeadline = 30s\nfloor = 0.05\n' >"$FLEET_DIR/live"
    printf 'tier = 4\ndeadline = 120s\nfloor = 0.05\n' >"$FLEET_DIR/batch"
    printf 'default_class = live\nkey_salt = salt\nkey_sha256 = %s\n' "$hash" >"$FLEET_DIR/acc"
    put_settings classes/live "$FLEET_DIR/live"
    put_settings classes/batch "$FLEET_DIR/batch"
    put_settings accounts/acc "$FLEET_DIR/acc"
}

is_healthy() {
    curl -sf "http://127.0.0.1:${PORT[$1]}/healthz"
}

# chat ROUTER PROMPT [curl options...]: prints a streamed answer.
chat() {
    local router=$1 prompt=$2
    shift 2
    curl -sS -N -H "$KEY" "$@" "http://127.0.0.1:${PORT[$router]}/v1/chat/completions" \
        -d "{\"model\":\"m\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"$prompt\"}]}"
}

# call_service ROUTER PATH [curl options...]: calls a service; prints the status, outcome and kind.
call_service() {
    local router=$1 path=$2
    shift 2
    curl -sS -D "$FLEET_DIR/head" -o "$FLEET_DIR/body" -X POST -H "$KEY" "$@" \
        "http://127.0.0.1:${PORT[$router]}/v1/services/app$path"
    awk 'NR == 1 { s = $2 } tolower($1) == "reachlead-outcome:" { o = $2 }
         tolower($1) == "reachlead-kind:" { k = $2 }
         END { sub("\r", "", o); sub("\r", "", k); printf "%s %s%s\n", s, o, k == "" ? "" : " " k }' \
        "$FLEET_DIR/head"
}

# run_count SERVICE: prints the number of calls that the service executed.
run_count() {
    curl -s "http://127.0.0.1:${PORT[$1-service]}/runs" | sed 's/.*"total":\([0-9]*\).*/\1/'
}

# set_faults PORT-NAME JSON: switches faults of a simulated component on or off.
set_faults() {
    curl -sf -X POST -d "$2" "http://127.0.0.1:${PORT[$1]}/faults" >/dev/null
}

# engine_stat ENGINE FIELD: prints one of the engine's counters.
engine_stat() {
    curl -s "http://127.0.0.1:${PORT[$1-engine]}/stats" | sed "s/.*\"$2\":\([0-9]*\).*/\1/"
}

# run_load ROUTER [options...]: runs a load whose answers are checked; prints only the counts.
run_load() {
    local router=$1
    shift
    "$BIN/reachlead-load" http --target "127.0.0.1:${PORT[$router]}" --key "acc:$SECRET" "$@" \
        >"$FLEET_DIR/load.json"
    sed 's/.*"whole":\([0-9]*\),"wrong":\([0-9]*\),"cut":\([0-9]*\),"refused":\({[^}]*}\).*/whole=\1 wrong=\2 cut=\3 refused=\4/' \
        "$FLEET_DIR/load.json"
}
