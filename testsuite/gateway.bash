# Copyright Contributors to the reachlead project.
# SPDX-License-Identifier: Apache-2.0
#
# Functions for whole-program tests with gateways and a simulated platform.
source "$(dirname "${BASH_SOURCE[0]}")/common.bash"

# start_gateway NAME STORE [SEED-PORT]: starts a gateway whose store is at port STORE. MEMORY_MB,
# DESCRIPTORS and MORE_SETTINGS (whole sections) add to its settings.
start_gateway() {
    local name=$1 store=$2 seed=${3:-0} n
    cat >"$FLEET_DIR/$name.ini" <<INI
[gateway]
vm = $name
zone = z1
listen = 127.0.0.1:0
ready = 127.0.0.1:0
memory_mb = ${MEMORY_MB:-128}
descriptors = ${DESCRIPTORS:-1024}
[peers]
address = 127.0.0.1:0
port = $seed
keys = the-key-of-this-test-fleet
seeds = $([ "$seed" -eq 0 ] || echo "127.0.0.1:$seed")
[operators]
listen = 127.0.0.1:0
[store]
address = 127.0.0.1:$store
[stop]
limit_s = 6
${MORE_SETTINGS:-}
INI
    : >"$FLEET_DIR/$name.out" # output of an earlier process of that name must not be read as this one's
    "$BIN/reachlead-gateway" --settings "$FLEET_DIR/$name.ini" >"$FLEET_DIR/$name.out" &
    PID[$name]=$!
    FLEET_PIDS+=("$!")
    wait_until "start of $name" grep -q event=start "$FLEET_DIR/$name.out"
    for n in callers ready operators peers; do
        PORT[$name-$n]=$(sed -n "s/.*event=start.* $n=\([0-9]*\).*/\1/p" "$FLEET_DIR/$name.out")
    done
}

# start_standin NAME KIND...: starts a simulated store or upstream.
start_standin() {
    local name=$1
    shift
    launch "$name" "$BIN/reachlead-platform-standin" "$@"
    PORT[$name]=$(printed_port "$name" listening)
}

# put_object KIND NAME SPEC: creates or updates an object in the store.
put_object() {
    local base=http://127.0.0.1:${PORT[store]}/-/objects/$1
    curl -sf -o "$FLEET_DIR/reply" -X POST "$base" -d "{\"metadata\":{\"name\":\"$2\"},\"spec\":$3}" \
        || curl -sf -o "$FLEET_DIR/reply" -X PUT "$base/$2" -d "{\"spec\":$3}"
}

# put_config VERSION ROUTES: writes a configuration.
put_config() {
    put_object config main "{\"version\":$1,\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"k\"]}],\"routes\":[$2]}"
}

# route_json NAME KIND: prints a route for put_config.
route_json() {
    echo "{\"name\":\"$1\",\"host\":\"h\",\"pathPrefix\":\"/$1/\",\"routeType\":\"$2\",\"service\":\"s\",\"maxAttempts\":2,\"timeoutMs\":20000}"
}

# send_request GATEWAY PATH [curl options...]: prints the body, then the status. ATTEMPT is the id of
# the attempt.
send_request() {
    local gateway=$1 path=$2
    shift 2
    curl -sS -N -w '%{http_code}\n' -H 'Host: h' -H 'Authorization: Bearer k' -H "Attempt-Id: ${ATTEMPT:-a}" \
        -H 'Deadline-Ms: 20000' "$@" "http://127.0.0.1:${PORT[$gateway-callers]}$path"
}

ready_status() {
    curl -s -o "$FLEET_DIR/reply" -w '%{http_code}\n' "http://127.0.0.1:${PORT[$1-ready]}/-/ready"
}
is_ready() { [ "$(ready_status "$1")" = 200 ]; }
serves() { [ "$(send_request "$1" "$2" -o "$FLEET_DIR/body")" = 200 ]; }
