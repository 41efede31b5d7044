#!/usr/bin/env bash
# Installs packages, builds radishplank and runs a deployment on the loopback interface: two entry
# processes and three agents with stand-in engines. Runs an online stream and a batch, prints their
# results, and shuts down cleanly.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/install-packages.sh
build_dir="${BUILD_DIR:-Build}"
cmake -S . -B "$build_dir" -G Ninja > /dev/null
cmake --build "$build_dir"

daemon="$build_dir/Services/radishplankd/radishplankd"
control="$build_dir/Utilities/radishplankctl/radishplankctl"
standin="$build_dir/Utilities/radishplank-standin/radishplank-standin"
work="$(mktemp -d)"
export RADISHPLANK_CLUSTER_SECRET=demo-cluster-secret
export RADISHPLANK_OPERATOR_TOKEN=demo-operator-token
export RADISHPLANK_TOKEN=demo-token
processes=()

finish() {
    for process in "${processes[@]}"; do
        kill -TERM "$process" 2> /dev/null || true
    done
    wait || true
    rm -rf "$work"
}
trap finish EXIT

# start NAME PROGRAM ARGUMENT...: starts a process and waits until it accepts requests.
start() {
    local name="$1"
    shift
    "$@" --ready-file="$work/$name" > "$work/$name.log" 2>&1 &
    processes+=($!)
    while [ ! -e "$work/$name" ]; do
        kill -0 "${processes[-1]}" || { cat "$work/$name.log"; exit 1; }
        sleep 0.02
    done
}

# address NAME FIELD: prints an address from the ready file of a process.
address() {
    sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p" "$work/$1"
}

step() {
    printf '\n== %s\n' "$*"
}

step "Starting the platform stand-in, three engines with agents, and two entry processes"
start platform "$standin" platform
store="$(address platform http)"
for number in 1 2 3; do
    zone="zone$(((number + 1) / 2))"
    start "engine$number" "$standin" engine --slots=4 --token-interval=20
    start "agent$number" "$daemon" agent --node="agent$number" --zone="$zone" --region=north \
        --store="$store" --upstream="$(address "engine$number" http)" --pools=writer --slots=4
done
for number in 1 2; do
    start "entry$number" "$daemon" entry --node="entry$number" --zone="zone$number" --region=north \
        --store="$store" --lame-duck=200
done
export RADISHPLANK_CALLERS RADISHPLANK_OPERATORS
RADISHPLANK_CALLERS="$(address entry1 callers)"
RADISHPLANK_OPERATORS="$(address entry1 operator)"

step "The operator adds an owner and an entry to the catalogue"
digest="$(printf %s "$RADISHPLANK_TOKEN" | sha256sum | cut -d ' ' -f 1)"
printf '{"tokenDigest":"%s","limits":{"requestsPerSecond":50}}' "$digest" \
    | "$control" --if-version=0 catalogue put owners/lotka
printf '{"pool":"writer","class":"any"}' \
    | "$control" --if-version=0 catalogue put entries/lotka/captions
until "$control" state "$RADISHPLANK_OPERATORS" | grep -q 'agent3 .* true' \
    && curl -sf -H "Authorization: Bearer $RADISHPLANK_TOKEN" \
        "http://$RADISHPLANK_CALLERS/v1/models" | grep -q captions; do
    sleep 0.1
done
# A new process gets its shares of the limits only when all other processes know it.
sleep 4
"$control" catalogue status

step "A caller streams a chat completion"
curl -sN -H "Authorization: Bearer $RADISHPLANK_TOKEN" "http://$RADISHPLANK_CALLERS/v1/chat/completions" \
    -d '{"model":"captions","messages":[{"role":"user","content":"A caption for the Tulipan club"}],"max_tokens":6,"stream":true}'

step "A batch of 300 items, submitted at one entry process and followed at the other"
for item in $(seq 300); do
    printf '{"id":"proof-%s","body":{"prompt":"check proof %s","max_tokens":8}}\n' "$item" "$item"
done > "$work/league.jsonl"
"$control" --entry-name=captions --file="$work/league.jsonl" batch submit league
RADISHPLANK_CALLERS="$(address entry2 callers)" "$control" --wait=true batch status league
"$control" batch results league > "$work/results.jsonl"
head -n 3 "$work/results.jsonl"
echo "... $(wc -l < "$work/results.jsonl") results in all"

step "The state of an agent"
"$control" state "$(address agent1 operator)"

step "A planned stop, agents and entry processes first"
for ((index = ${#processes[@]} - 1; index >= 0; index--)); do
    kill -TERM "${processes[index]}"
done
failed=0
for process in "${processes[@]}"; do
    wait "$process" || failed=1
done
processes=()
[ "$failed" = 0 ] && echo "every process ended with status 0"
