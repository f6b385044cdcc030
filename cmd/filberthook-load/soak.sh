#!/usr/bin/env bash
# Starts a small system as separate processes on loopback, restarts each of
# them when it ends, and puts a long load with faults and operator changes on it.
#
# Usage: soak.sh BIN_DIR [LENGTH] [FAULT_EVERY] [SEED]
#   BIN_DIR      folder of the programs, from: go build -o BIN_DIR ./cmd/...
#   LENGTH       length of the load, 10m by default
#   FAULT_EVERY  time between two faults, 15s by default; 0s makes none
set -euo pipefail

bin=$(cd "$1" && pwd)
length=${2:-10m}
fault_every=${3:-15s}
seed=${4:-1}
base=${SOAK_BASE_PORT:-21000}
dir=$(mktemp -d)
supervisors=()

# Ends every process that this script has started, each by its process ID.
finish() {
  touch "$dir/stop"
  for file in "$dir"/*.pid; do
    kill -CONT "$(cat "$file")" 2>/dev/null || true
    kill -TERM "$(cat "$file")" 2>/dev/null || true
  done
  for pid in "${supervisors[@]}"; do
    wait "$pid" || true
  done
  if [ -n "${SOAK_KEEP:-}" ]; then
    echo "logs kept in $dir"
  else
    rm -rf "$dir"
  fi
}
trap finish EXIT

# Runs a program and starts it again whenever it ends.
supervise() {
  local name=$1
  shift
  while [ ! -e "$dir/stop" ]; do
    "$@" >>"$dir/$name.log" 2>&1 &
    local child=$!
    echo "$child" >"$dir/$name.pid.new"
    mv "$dir/$name.pid.new" "$dir/$name.pid"
    wait "$child" || true
    sleep 0.5
  done
}

start() {
  supervise "$@" &
  supervisors+=($!)
}

port() { echo "127.0.0.1:$((base + $1))"; }

new_key() { head -c 24 /dev/urandom | sha256sum | cut -c1-48; }
sum_of() { printf %s "$1" | sha256sum | cut -d' ' -f1; }

admin_key=$(new_key)
admin_sum=$(sum_of "$admin_key")
team_key=$(new_key)
team_sum=$(sum_of "$team_key")

watch=()
strike=()

for i in 1 2 3; do
  cat >"$dir/control-$i.toml" <<TOML
host = "control-$i"
zone = "zone-$((i % 2 + 1))"
data_dir = "$dir/control-$i"
[listen]
peers = "$(port $((10 * i)))"
operators = "$(port $((10 * i + 1)))"
status = "$(port $((10 * i + 2)))"
[replica]
id = $i
[[replica.members]]
id = 1
address = "$(port 10)"
zone = "zone-2"
[[replica.members]]
id = 2
address = "$(port 20)"
zone = "zone-1"
[[replica.members]]
id = 3
address = "$(port 30)"
zone = "zone-2"
[operators]
bootstrap_key_sha256 = "$admin_sum"
[log]
level = "info"
format = "json"
TOML
  start "control-$i" "$bin/filberthook-control" --settings "$dir/control-$i.toml"
  watch+=(--process "control-$i=$dir/control-$i.pid@$(port $((10 * i + 2)))")
  strike+=(--strike "control-$i=$dir/control-$i.pid")
done

entries=()
for i in 1 2 3 4; do
  at=$((100 + 10 * i))
  cat >"$dir/entry-$i.toml" <<TOML
host = "entry-$i"
zone = "zone-$((i % 2 + 1))"
data_dir = "$dir/entry-$i"
[listen]
announce = "$(port $at)"
callers = "$(port $((at + 1)))"
gossip = "$(port $((at + 2)))"
status = "$(port $((at + 3)))"
[control]
replicas = ["$(port 10)", "$(port 20)", "$(port 30)"]
[gossip]
seeds = ["$(port 112)", "$(port 122)"]
[log]
level = "info"
format = "json"
TOML
  start "entry-$i" "$bin/filberthook-entry" --settings "$dir/entry-$i.toml"
  entries+=(--entry "$(port $((at + 1)))")
  watch+=(--process "entry-$i=$dir/entry-$i.pid@$(port $((at + 3)))")
  strike+=(--strike "entry-$i=$dir/entry-$i.pid")
done

# announced ZONE: prints the two entry hosts that instances of a zone announce to.
announced() {
  if [ "$1" = 1 ]; then
    echo "\"$(port 120)\", \"$(port 140)\""
  else
    echo "\"$(port 110)\", \"$(port 130)\""
  fi
}

for i in 1 2 3 4; do
  zone=$((i % 2 + 1))
  cat >"$dir/engine-$i.toml" <<TOML
kind = "model"
instance = "engine-$i"
zone = "zone-$zone"
listen = "$(port $((200 + i)))"
entries = [$(announced $zone)]
[engine]
speed = 10.0
[[engine.models]]
name = "assist"
version = "1"
TOML
  start "engine-$i" "$bin/filberthook-standin" --settings "$dir/engine-$i.toml"
  strike+=(--strike "engine-$i=$dir/engine-$i.pid")
done

# No faults are injected into services: they hold the record of the runs.
for i in 1 2; do
  cat >"$dir/service-$i.toml" <<TOML
kind = "service"
instance = "service-$i"
endpoint = "bookings"
zone = "zone-$i"
listen = "$(port $((300 + i)))"
entries = [$(announced $i)]
[service]
duration = "20ms"
TOML
  start "service-$i" "$bin/filberthook-standin" --settings "$dir/service-$i.toml"
done

export FILBERTHOOK_KEY=$admin_key
operate() {
  "$bin/filberthook" --address "$(port 11)" --address "$(port 21)" --address "$(port 31)" "$@"
}

for _ in $(seq 60); do
  operate status >/dev/null 2>&1 && break
  sleep 0.5
done
operate endpoint create summaries --owner ops --kind model --model assist --repeatable --wait >/dev/null 2>&1
operate endpoint create bookings --owner ops --kind service --wait >/dev/null 2>&1
operate team create dispatch --key-sha256 "$team_sum" >/dev/null
operate team create guest >/dev/null 2>&1
operate endpoint approve summaries dispatch --wait >/dev/null 2>&1
operate endpoint approve bookings dispatch --wait >/dev/null 2>&1

# Operator changes during the load: a guest team is approved and withdrawn.
changes() {
  local done=0 failed=0
  while [ ! -e "$dir/stop" ]; do
    for step in approve withdraw; do
      if operate endpoint "$step" summaries guest >/dev/null 2>>"$dir/changes.log"; then
        done=$((done + 1))
      else
        failed=$((failed + 1))
      fi
      echo "operator changes: $done applied, $failed failed" >"$dir/changes.txt"
      sleep 2
    done
  done
}
changes &
supervisors+=($!)

verdict=0
"$bin/filberthook-load" soak "${entries[@]}" "${watch[@]}" "${strike[@]}" --team-key "$team_key" \
  --endpoint summaries --model assist --length "$length" --fault-every "$fault_every" --seed "$seed" || verdict=$?
cat "$dir/changes.txt"

# Each booking's key must have run at most once on both services together.
doubled=$( (curl -s "http://$(port 301)/standin/runs"; curl -s "http://$(port 302)/standin/runs") |
  grep -o '"load-[^"]*":[0-9]*' | sort | awk -F: '{runs[$1] += $2} END {n = 0; for (k in runs) if (runs[k] > 1) n++; print n, length(runs)}')
echo "bookings that ran more than once, of all that ran: $doubled"
[ "${doubled%% *}" = 0 ] || verdict=1
exit "$verdict"
