#!/usr/bin/env bash
# Copyright Contributors to the reachlead project.
# SPDX-License-Identifier: Apache-2.0
#
# Demonstrates the main functions with simulated components: a platform, two engines, a plain
# service, an agent for each upstream, and two routers. Exits 0 if every step succeeded.
here=$(cd "$(dirname "$0")" && pwd)
BIN=${BIN:-$here/../../build/release/bin}
ADMIN_KEY=demo-operator
source "$here/fleet.bash"

step() { echo; echo "== $*"; }

step "starting the platform and the settings"
start_platform
salt=00112233
secret=return-drums
hash=$(printf '%s\n%s' "$salt" "$secret" | sha256sum | cut -d' ' -f1)
printf 'tier = 0\nfirst_token = 2s\ndeadline = 30s\nfloor = 0.05\n' >"$FLEET_DIR/live"
printf 'tier = 3\ndeadline = 120s\nfloor = 0.05\n' >"$FLEET_DIR/nightly"
printf 'default_class = live-call\nconcurrency = 100\n' >"$FLEET_DIR/parent"
printf 'parent = burdekin\nkey_salt = %s\nkey_sha256 = %s\n' "$salt" "$hash" >"$FLEET_DIR/account"
put_settings classes/live-call "$FLEET_DIR/live"
put_settings classes/nightly "$FLEET_DIR/nightly"
put_settings accounts/burdekin "$FLEET_DIR/parent"
put_settings accounts/burdekin-depot "$FLEET_DIR/account"

step "starting two engines, a service, their agents, and two routers"
start_engine engine-a drafting-llm townsville-hall
start_engine engine-b drafting-llm mackay-hall
start_service yard-1 yard-api townsville-hall
start_router router-1 townsville-hall
start_router router-2 mackay-hall
publish_members
for it in router-1 router-2; do
    wait_until "sessions of $it with its agents" agents_up "$it" 3
done
KEY="Authorization: Bearer burdekin-depot:$secret"
CHAT=/v1/chat/completions
# send_chat ROUTER PROMPT STREAM [curl options...]
send_chat() {
    local router=$1 prompt=$2 stream=$3
    shift 3
    curl -sS -N -H "$KEY" "$@" "http://127.0.0.1:${PORT[$router]}$CHAT" \
        -d "{\"model\":\"drafting-llm\",\"stream\":$stream,\"messages\":[{\"role\":\"user\",\"content\":\"$prompt\"}]}"
}
wait_until "settings of router-1" curl -sf "http://127.0.0.1:${PORT[router-1]}/healthz"
wait_until "settings of router-2" curl -sf "http://127.0.0.1:${PORT[router-2]}/healthz"

step "a streamed answer"
send_chat router-1 "Draft a hire agreement for six drums #8" true | tee "$FLEET_DIR/answer"
grep -q '^data: \[DONE\]' "$FLEET_DIR/answer" || fail "the answer is incomplete"

step "an answer without streaming, from the other router"
send_chat router-2 "Explain the overdue charge #6" false
echo

step "a wrong key is refused"
curl -sS -i -H "Authorization: Bearer burdekin-depot:guess" \
    "http://127.0.0.1:${PORT[router-1]}$CHAT" -d '{}' | tee "$FLEET_DIR/answer" | tail -1
echo
grep -q '^Reachlead-Kind: key-unknown' "$FLEET_DIR/answer" || fail "the key was accepted"

step "a service call that may not be repeated"
curl -sS -i -H "$KEY" -H "Reachlead-Repeatable: no" -d 'drum=17' \
    "http://127.0.0.1:${PORT[router-1]}/v1/services/yard-api/returns" \
    | tee "$FLEET_DIR/answer" | tail -1
echo
grep -q '^Reachlead-Outcome: ran' "$FLEET_DIR/answer" || fail "the call did not run"

step "a caller disconnects: the engine stops at once"
cancelled_count() {
    local n=0 it
    for it in engine-a engine-b; do
        n=$((n + $(curl -s "http://127.0.0.1:${PORT[$it-engine]}/stats" | sed 's/.*"cancelled":\([0-9]*\).*/\1/')))
    done
    echo "$n"
}
has_cancelled() { [ "$(cancelled_count)" -ge 1 ]; }
send_chat router-1 "A long report #2000" true --max-time 0.5 >/dev/null 2>&1 || true
wait_until "the cancelled request at an engine" has_cancelled
echo "cancelled at the engines: $(cancelled_count)"

step "a graceful stop with streams in flight"
streams=()
for n in 1 2 3 4; do
    send_chat router-1 "Reconcile docket $n #150" true >"$FLEET_DIR/stream-$n" &
    streams+=("$!")
done
sleep 0.4
stop_gracefully router-1
for it in "${streams[@]}"; do
    wait "$it" || fail "a stream was truncated"
done
for n in 1 2 3 4; do
    grep -q '^data: \[DONE\]' "$FLEET_DIR/stream-$n" || fail "stream $n is incomplete"
done
echo "router-1 exited; 4 of 4 streams completed"
for it in engine-a engine-b yard-1 router-2; do
    stop_gracefully "$it"
done

echo
echo "demo: all steps succeeded"
