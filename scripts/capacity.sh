#!/usr/bin/env bash
# Measures what control costs at small sizes, and prints the fitted costs and their extrapolation.
#
# Usage: scripts/capacity.sh [FILE]    the snapshots are appended to FILE, one JSON object a line
#
# Each size runs for less than a minute, on loopback addresses, in processes that end with it.
set -euo pipefail
cd "$(dirname "$0")/.."

file=${1:-target/capacity.jsonl}
program=${GERANIUMSHED:-target/release/geraniumshed}
work=$(mktemp -d)
processes=()
port=${CAPACITY_PORT:-17600}

stop_all() {
  for process in "${processes[@]}"; do kill "$process" 2>/dev/null || true; done
  for process in "${processes[@]}"; do wait "$process" 2>/dev/null || true; done
  processes=()
}
trap 'stop_all; rm -rf "$work"' EXIT

printf 'capacity-measurement-only' >"$work/secret"

# Prints the sum of a metric over all daemons.
sum_metric() {
  local sum=0 url value
  for url in ${urls//,/ }; do
    value=$(curl -sf -H "Authorization: Bearer $(cat "$work/secret")" "$url/operator/metrics" |
      awk -v name="$1" '$1 == name {print int($2)}') || value=0
    sum=$((sum + ${value:-0}))
  done
  echo "$sum"
}

# Appends a snapshot that begins a phase.
snapshot() {
  "$program" bench capacity snapshot --control "127.0.0.1:$((port + 2))" --urls "$urls" \
    --processes "$(IFS=,; echo "${daemons[*]}")" --secret-file "$work/secret" --run "$run" \
    --phase "$1" --workers "$workers" --tasks "$tasks" --file "$file"
}

# Measures one size: workers, daemons, tasks.
measure() {
  workers=$1 count=$2 tasks=$3
  run="w$workers-d$count-t$tasks"
  urls="" daemons=()
  cat >"$work/standin.yaml" <<YAML
log: { port: $port }
vm_list_port: $((port + 1))
control_port: $((port + 2))
workers: { count: $workers }
interference: false
entries:
YAML
  for index in $(seq 1 "$count"); do
    local base=$((port + 10 * index))
    cat >>"$work/standin.yaml" <<YAML
  - { vm: entry-$index, zone: zone-a, address: "127.0.0.1:$((base + 2))" }
YAML
    cat >"$work/entry-$index.yaml" <<YAML
daemon: { id: entry-$index, region: region-1, zone: zone-a }
cluster: { shards: 24, regions: [region-1] }
platform: { log: "127.0.0.1:$port", vm_list: "127.0.0.1:$((port + 1))" }
callers: { listen: "127.0.0.1:$base" }
operators: { listen: "127.0.0.1:$((base + 1))", secret_file: "$work/secret" }
peers: { listen: "127.0.0.1:$((base + 2))", advertise: "127.0.0.1:$((base + 2))" }
telemetry: { log_level: error }
YAML
    urls="$urls${urls:+,}http://127.0.0.1:$((base + 1))"
  done
  "$program" standin --settings "$work/standin.yaml" >"$work/standin.log" 2>&1 &
  processes+=($!)
  sleep 1
  for index in $(seq 1 "$count"); do
    "$program" run --settings "$work/entry-$index.yaml" >"$work/entry-$index.log" 2>&1 &
    processes+=($!)
    daemons+=($!)
  done
  sleep 8

  local services=$((tasks * 24 / 100))
  cat >"$work/records.yaml" <<YAML
schema: 2
kind: team
name: load
spec: { quota: { processors: 100000, memory: 1000TB } }
---
schema: 2
kind: service
name: answers
spec: { team: load, replicas: $services, processors: 100m, memory: 100MB, command: simulate serve=20ms }
---
schema: 2
kind: job
name: batch
spec: { team: load, tasks: $((tasks - services)), processors: 100m, memory: 100MB, command: simulate run=2h }
YAML
  export GERANIUMSHED_OPERATOR_SECRET
  GERANIUMSHED_OPERATOR_SECRET=$(cat "$work/secret")
  snapshot start
  "$program" publish --url "$urls" "$work/records.yaml" >/dev/null
  for _ in $(seq 1 60); do
    [ "$(sum_metric tasks.running)" -ge "$tasks" ] && break
    sleep 0.5
  done
  echo "$run: $(sum_metric tasks.running) of $tasks tasks run" >&2
  sleep 2
  snapshot idle
  sleep "${CAPACITY_IDLE_SECONDS:-20}"
  snapshot config
  : >"$work/changes.yaml"
  for index in $(seq 1 60); do
    cat >>"$work/changes.yaml" <<YAML
---
schema: 2
kind: team
name: team-$index
spec: { quota: { processors: 10, memory: 10GB } }
YAML
  done
  "$program" publish --url "$urls" "$work/changes.yaml" >/dev/null
  sleep 2
  snapshot end
  stop_all
  port=$((port + 200))
}

mkdir -p "$(dirname "$file")"
: >"$file"
for size in ${CAPACITY_SIZES:-30,3,500 60,3,500 120,3,500 60,6,500 60,12,500 60,3,1000 120,3,2000}; do
  measure ${size//,/ }
done
"$program" bench capacity fit --file "$file"
