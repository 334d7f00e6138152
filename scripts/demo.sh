#!/usr/bin/env bash
# Starts one instance, 4 stand-in workers and 2 stand-in executors on the loopback address, runs a gang of 16
# accelerators and one request, and stops everything. Exits with 0 only if both succeeded.
set -euo pipefail
cd "$(dirname "$0")/.."

bin=build/release
folder=$(mktemp -d)
processes=()

# Ends only the processes of this script, by their ids.
stop_all() {
    for process in "${processes[@]}"; do
        kill -TERM "$process" 2>/dev/null || true
    done
    for process in "${processes[@]}"; do
        wait "$process" 2>/dev/null || true
    done
    rm -rf "$folder"
}
trap stop_all EXIT

# Repeats a command until it succeeds, for at most 60 s.
wait_until() {
    local what=$1
    shift
    for ((i = 0; i < 600; ++i)); do
        if "$@" >/dev/null 2>&1; then
            return 0
        fi
        sleep 0.1
    done
    echo "demo: timed out after 60 s waiting until $what" >&2
    cat "$folder/instance.log" >&2 || true
    return 1
}

has_workers() {
    "$bin/apps/chervilport/chervilport" --instance "$address" --json instance status | grep -q '"workers":4'
}

has_executors() {
    [ "$(curl -sf "http://$address/v1/upstreams" | grep -o '"state":"ready"' | wc -l)" = 2 ]
}

# Start the instance. Port 0 selects a free port; the instance writes it to the address file.
cat >"$folder/instance.toml" <<SETTINGS
[instance]
address_file = "$folder/address"
stop_grace_ms = 0
[listen]
http = "127.0.0.1:0"
peer = "127.0.0.1:0"
[log]
file = "$folder/instance.log"
SETTINGS
"$bin/apps/chervilportd/chervilportd" --config "$folder/instance.toml" &
processes+=($!)
wait_until "the instance has an address" test -s "$folder/address"
address=$(cat "$folder/address")
wait_until "the instance is ready" curl -sf "http://$address/readyz"
echo "instance:  $address is ready"

# Start the stand-ins.
"$bin/standins/worker/standin-worker" --instance "$address" --count 4 &
processes+=($!)
"$bin/standins/executor/standin-executor" --instance "$address" --count 2 --service pairing &
executors=$!
processes+=("$executors")
wait_until "4 workers joined" has_workers
wait_until "2 executors joined" has_executors
echo "upstreams: 4 workers with 8 accelerators each, 2 executors of service pairing"

# Run a gang of 16 tasks with one accelerator each; the command exits with 0 only when the job succeeded.
echo
echo "\$ chervilport job submit --workspace default --tasks 16 --accelerators 1 --wait"
job_code=0
"$bin/apps/chervilport/chervilport" --instance "$address" job submit --workspace default --tasks 16 --accelerators 1 \
    --payload '{"run_ms":1000}' --wait || job_code=$?

# Send one request through the router.
echo
echo "\$ curl -d '{\"shift\":\"night\"}' http://$address/v1/requests/pairing/check"
status=$(curl -s -o "$folder/answer" -w '%{http_code}' -H 'Chervilport-Workspace: default' \
    -H 'Chervilport-Key: demo-1' -d '{"shift":"night"}' "http://$address/v1/requests/pairing/check") || true
echo "status $status"
cat "$folder/answer"
echo

# The second signal, sent by stop_all, ends the executors without the 5 s that they run after announcing their leave.
kill -TERM "$executors"
sleep 0.2

if [ "$job_code" != 0 ] || [ "$status" != 200 ]; then
    echo "demo: failed (job exit code $job_code, request status $status)" >&2
    exit 1
fi
echo "demo: the job succeeded and the request was answered"
