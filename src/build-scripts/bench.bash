#!/usr/bin/env bash
# Copyright Contributors to the reachlead project.
# SPDX-License-Identifier: Apache-2.0
#
# Measures the latency and CPU time that the router and the agent add over direct calls to the
# simulated engines in the same run. Prints medians of three rounds; the content of every answer is
# checked.
here=$(cd "$(dirname "$0")" && pwd)
ADMIN_KEY=bench WINDOW_FIRST=512 WINDOW_MOST=1024 ROUTER_LOG=warn
source "$here/../../testsuite/common.bash"
RATE=${RATE:-150} ENGINES=${ENGINES:-4} LENGTH=${LENGTH:-6s} TOKENS=${TOKENS:-50}

cpu_seconds() { awk '{ print ($14 + $15) / 100 }' "/proc/${PID[$1]}/stat"; }
memory_kb() { awk '/VmRSS/ { print $2 }' "/proc/${PID[$1]}/status"; }
field() { sed "s/.*\"$2\":{\"p50\":\([^,]*\),\"p95\":[^,]*,\"p99\":\([^}]*\)}.*/\1 \2/" "$1"; }
number() { sed "s/.*\"$2\":\([0-9.E+-]*\).*/\1/" "$1"; }
median() { sort -g | sed -n '2p'; }

start_platform
put_basic_settings
for n in $(seq "$ENGINES"); do
    start_engine "e$n" m z1 --batch 1024 --step 10ms --step-per-request 5us --prefill 5ms
done
start_router r1 z1
publish_members
wait_until "agents" agents_up r1 "$ENGINES"
wait_until "settings" is_healthy r1
echo "idle memory kB: router $(memory_kb r1) agent $(memory_kb e1)"

direct=()
for n in $(seq "$ENGINES"); do
    direct+=(--target "127.0.0.1:${PORT[e$n-engine]}")
done
for round in 1 2 3; do
    "$BIN/reachlead-load" http "${direct[@]}" --rate "$RATE" --length "$LENGTH" --tokens "$TOKENS" \
        --seed "$round" >"$FLEET_DIR/direct-$round"
    before=$(cpu_seconds r1) agent_before=$(cpu_seconds e1)
    "$BIN/reachlead-load" http --target "127.0.0.1:${PORT[r1]}" --key "acc:$SECRET" --rate "$RATE" \
        --length "$LENGTH" --tokens "$TOKENS" --seed "$round" >"$FLEET_DIR/routed-$round"
    after=$(cpu_seconds r1) agent_after=$(cpu_seconds e1)
    read -r d50 d99 < <(field "$FLEET_DIR/direct-$round" first_token_ms)
    read -r r50 r99 < <(field "$FLEET_DIR/routed-$round" first_token_ms)
    tokens=$(number "$FLEET_DIR/routed-$round" tokens)
    whole=$(number "$FLEET_DIR/routed-$round" whole)
    awk -v d50="$d50" -v d99="$d99" -v r50="$r50" -v r99="$r99" -v c="$before" -v C="$after" \
        -v a="$agent_before" -v A="$agent_after" -v t="$tokens" -v w="$whole" -v e="$ENGINES" 'BEGIN {
            printf "added_p50_ms %.3f\nadded_p99_ms %.3f\nratio_p50 %.3f\n", r50 - d50, r99 - d99, r50 / d50
            printf "router_tokens_per_core_s %.0f\nrouter_requests_per_core_s %.0f\n", t / (C - c), w / (C - c)
            printf "agent_tokens_per_core_s %.0f\n", t / e / (A - a)
        }' >"$FLEET_DIR/figures-$round"
done
for it in added_p50_ms added_p99_ms ratio_p50 router_tokens_per_core_s router_requests_per_core_s \
    agent_tokens_per_core_s; do
    echo "$it $(cat "$FLEET_DIR"/figures-* | awk -v n="$it" '$1 == n { print $2 }' | median)"
done
grep -ho '"whole":[0-9]*,"wrong":[0-9]*,"cut":[0-9]*' "$FLEET_DIR"/routed-* | tr '\n' ' '
echo

STREAMS=${STREAMS:-2000}
HELD=${HELD:-60s}
idle=$(memory_kb r1) agent_idle=$(memory_kb e1)
"$BIN/reachlead-load" http --target "127.0.0.1:${PORT[r1]}" --key "acc:$SECRET" --streams "$STREAMS" \
    --length "$HELD" --tokens 400 >"$FLEET_DIR/held" &
held=$!
sleep 10
echo "memory kB for each of $STREAMS open streams: router $((($(memory_kb r1) - idle) / STREAMS)) agent $((($(memory_kb e1) - agent_idle) * ENGINES / STREAMS))"
c=$(cpu_seconds r1)
sleep 10
echo "router cores at $STREAMS streams: $(awk -v a="$c" -v b="$(cpu_seconds r1)" 'BEGIN { print (b - a) / 10 }')"
wait "$held" || true
sed 's/.*"started":\([0-9]*\),"whole":\([0-9]*\),"wrong":\([0-9]*\),"cut":\([0-9]*\),"refused":\({[^}]*}\).*"tokens_per_s":\([0-9.E+]*\).*/started=\1 whole=\2 wrong=\3 cut=\4 refused=\5 tokens_per_s=\6/' "$FLEET_DIR/held"
