#!/usr/bin/env bash
# Measures the slopes on which docs/CAPACITY.md is based and prints them as name=value lines.
#
#   scripts/slopes.sh [wire|memory|nodes|requests|time ...]
#
# Without arguments, all parts are run. nodes starts a platform and six entry VMs in two data
# centres on the loopback interface, with a configuration of 1,900 Organisations, 21 models and
# 2,800 Upstreams, and measures them without load. requests measures four entry VMs with a
# small configuration under a load of short and long answers.
# CPU times are valid only if the load average printed with them is below 6.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly PLATFORM=127.0.0.1:17501
readonly TOKEN=operators-token-of-the-measurement
readonly IDLE_SECONDS=30
work=$(mktemp -d)
pids=()
entries=()

# finish kills every process that this script started, by its process ID, and removes the work
# directory.
finish() {
  local pid
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap finish EXIT

load_average() {
  echo "loadAverage.$1=$(cut -d' ' -f1 /proc/loadavg)"
}

# bench runs Go benchmarks and prints each metric on its own line.
bench() {
  local pattern=$1 package=$2 count=$3
  go test -run '^$' -bench "$pattern" -benchtime "$count" "$package" |
    awk '/^Benchmark/ { sub(/-[0-9]+$/, "", $1); for (i = 3; i < NF; i += 2) print $1 "." $(i + 1) "=" $i }'
}

# document prints a configuration of full size.
document() {
  awk 'BEGIN {
    printf "{\"classes\": ["
    for (i = 0; i < 5; i++) printf "%s{\"name\": \"class%d\", \"tier\": %d, \"firstTokenMs\": 800, \"attainment\": 0.99, \"floorShare\": 0.05, \"longestWaitMs\": 30000}", i ? "," : "", i, i
    printf "], \"pools\": ["
    for (p = 0; p < 21; p++) {
      printf "%s{\"name\": \"model-%02d\", \"kind\": \"engine\", \"upstreams\": [", p ? "," : "", p
      first = 1
      for (i = p; i < 2800; i += 21) {
        address = i == 0 ? "127.0.0.1:17511" : sprintf("127.1.%d.%d:9", i / 250, i % 250)
        printf "%s{\"name\": \"runner-%04d\", \"dataCentre\": \"d%d\", \"address\": \"%s\", \"models\": [\"model-%02d\"], \"slots\": 16, \"maxSlots\": 32}", first ? "" : ",", i, i % 5, address, p
        first = 0
      }
      printf "]}"
    }
    printf "], \"organisations\": ["
    for (i = 0; i < 1900; i++) printf "%s{\"name\": \"organisation-%04d\", \"keyHashes\": [\"%064x\"], \"weight\": 2, \"requestsPerSecond\": 50}", i ? "," : "", i, i + 1
    printf "], \"rules\": ["
    for (i = 0; i < 50; i++) printf "%s{\"name\": \"rule %d\", \"when\": \"model == \\\"model-%02d\\\" && organisation == \\\"organisation-%04d\\\"\", \"then\": {\"class\": \"class%d\", \"pool\": \"model-%02d\", \"repeat\": \"idempotent\", \"deadlineMs\": 60000}}", i ? "," : "", i, i % 21, i, i % 5, i % 21
    printf "], \"limits\": {\"retryShare\": 0.1, \"claimKeepMs\": 600000}}\n"
  }'
}

settings() {
  local index=$1
  cat <<INI
[node]
name = entry-$index
dataCentre = d$((index % 2))
[callers]
listen = 127.0.0.1:$((17520 + index))
[operators]
listen = 127.0.0.1:$((17540 + index))
token = $TOKEN
[inner]
listen = 127.0.0.1:$((17560 + index))
plain = true
[platform]
addresses = http://$PLATFORM
[log]
level = error
INI
}

# ticks prints the CPU time that a process has used, in units of 10 ms.
ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }

# control prints the counters of control bytes, messages and calls from a node's metrics.
control() {
  curl -fsS -H "Authorization: Bearer $TOKEN" "http://127.0.0.1:$((17540 + $1))/metrics" |
    awk '/^[a-z_]*control[a-z_]*(bytes|messages|count|calls)/ { gsub(/[{}",]/, " "); print }' | tr -s ' '
}

await() {
  local tries
  for tries in $(seq 300); do
    curl -fsS -o "$work/answer" "$1" 2>"$work/problem" && return 0
    sleep 0.1
  done
  echo "no answer from $1 after $tries tries" >&2
  exit 1
}

# begin_platform starts a stand-in platform and stores the configuration from a file in it.
begin_platform() {
  go build -o "$work/limpetcleat" ./cmd/limpetcleat
  "$work/limpetcleat" standin platform -listen "$PLATFORM" -listLag 100ms >"$work/platform.log" 2>&1 &
  pids+=($!)
  await "http://$PLATFORM/health"
  "$work/limpetcleat" rules put -platform "$PLATFORM" -file "$1" -summary measurement >"$work/rules.log" 2>&1
}

# begin_entries starts the given number of entry VMs, puts their process IDs into entries and waits
# until all are ready.
begin_entries() {
  local index
  entries=()
  for index in $(seq "$1"); do
    settings "$index" >"$work/entry-$index.ini"
    curl -fsS -o "$work/answer" -X PUT "http://$PLATFORM/vms/entry-$index" \
      -d "{\"dataCentre\": \"d$((index % 2))\", \"address\": \"127.0.0.1:$((17560 + index))\", \"role\": \"entry\", \"state\": \"live\"}"
    "$work/limpetcleat" serve -settings "$work/entry-$index.ini" >"$work/entry-$index.log" 2>&1 &
    entries+=($!)
    pids+=($!)
  done
  for index in $(seq "$1"); do
    await "http://127.0.0.1:$((17520 + index))/readyz"
  done
}

# stop kills all processes started so far and waits for them.
stop() {
  kill "${pids[@]}" 2>/dev/null || true
  wait "${pids[@]}" 2>/dev/null || true
  pids=()
}

# nodes measures CPU time, memory and control traffic of node processes without requests.
nodes() {
  local index before=()
  document >"$work/rules.json"
  echo "nodes.documentBytes=$(wc -c <"$work/rules.json")"
  begin_platform "$work/rules.json"
  begin_entries 6
  sleep 20
  echo "nodes.platformCallsBefore=$(curl -fsS "http://$PLATFORM/calls" | tr -d '\n ')"
  for index in "${!entries[@]}"; do
    before+=("$(ticks "${entries[index]}")")
    control $((index + 1)) >"$work/control-$index"
  done
  sleep "$IDLE_SECONDS"
  for index in "${!entries[@]}"; do
    echo "nodes.entry$((index + 1)).processorMsPerSecond=$(awk -v a="${before[index]}" -v b="$(ticks "${entries[index]}")" -v s="$IDLE_SECONDS" 'BEGIN { print (b - a) * 10 / s }')"
    awk -v n="$((index + 1))" '/^VmRSS|^VmHWM|^RssAnon/ { sub(":", ""); print "nodes.entry" n "." $1 "KB=" $2 }' "/proc/${entries[index]}/status"
    control $((index + 1)) | paste -d' ' - "$work/control-$index" |
      awk -v n="$((index + 1))" -v s="$IDLE_SECONDS" '{ half = NF / 2; name = $1; for (i = 2; i < half; i++) name = name "." $i; print "nodes.entry" n "." name "PerSecond=" ($half - $NF) / s }'
  done
  echo "nodes.platformCallsAfter=$(curl -fsS "http://$PLATFORM/calls" | tr -d '\n ')"
  load_average nodes
  stop
}

# busy prints the total CPU time of all entry VMs, in units of 10 ms.
busy() {
  local pid sum=0
  for pid in "${entries[@]}"; do
    sum=$((sum + $(ticks "$pid")))
  done
  echo "$sum"
}

# requests measures the CPU time of the entry VMs per request and per token, with answers of two
# lengths.
requests() {
  local index before key=key-of-the-load hash tokens
  hash=$(printf %s "$key" | sha256sum | cut -d' ' -f1)
  cat >"$work/small.json" <<JSON
{"classes": [{"name": "all", "tier": 0, "attainment": 0.99, "longestWaitMs": 30000}],
 "pools": [{"name": "models", "kind": "engine", "upstreams": [
   {"name": "e0", "dataCentre": "d0", "address": "127.0.0.1:17511", "models": ["m"], "slots": 64},
   {"name": "e1", "dataCentre": "d1", "address": "127.0.0.1:17512", "models": ["m"], "slots": 64}]}],
 "organisations": [{"name": "o", "keyHashes": ["$hash"]}],
 "rules": [{"name": "all", "when": "true", "then": {"class": "all", "pool": "models", "repeat": "idempotent"}}],
 "limits": {"retryShare": 0.1, "claimKeepMs": 600000}}
JSON
  begin_platform "$work/small.json"
  for index in 1 2; do
    "$work/limpetcleat" standin engine -listen "127.0.0.1:$((17510 + index))" -models m -running 64 -tokenTime 5ms -slope 0ms -prefill 1ms >"$work/engine-$index.log" 2>&1 &
    pids+=($!)
  done
  begin_entries 4
  sleep 5
  for tokens in 0 10 110; do
    before=$(busy)
    if [ "$tokens" = 0 ]; then
      sleep 10
    else
      echo "{\"streams\": [{\"name\": \"all\", \"apiKey\": \"$key\", \"path\": \"/v1/completions\", \"rate\": 60, \"model\": \"m\", \"promptTokens\": 100, \"outputTokens\": $tokens, \"streamed\": true, \"fixed\": true}]}" >"$work/mix.json"
      "$work/limpetcleat" load -targets 127.0.0.1:17521,127.0.0.1:17522,127.0.0.1:17523,127.0.0.1:17524 -mix "$work/mix.json" -for 10s -output json >"$work/load-$tokens.json"
    fi
    echo "requests.tokens$tokens.processorMs=$((($(busy) - before) * 10))"
    [ "$tokens" = 0 ] || tr -d '\n ' <"$work/load-$tokens.json" | cut -c1-700 | sed "s/^/requests.tokens$tokens.load=/; s/\$/\n/"
  done
  load_average requests
  stop
}

wire() {
  go test -count=1 -run TestMessagesKeepTheirSize -v ./messenger | sed -n 's/.*slope //p'
  bench BenchmarkControlBytes ./decider 1x
  bench BenchmarkBytesPerChange ./decider 5x
  bench BenchmarkColdStart ./decider 1x
}

memory() {
  bench BenchmarkMemory ./scheduler 1x
  bench BenchmarkClassMemory ./recorder 1x
}

time_slopes() {
  load_average before
  bench BenchmarkMember ./detector 20x
  bench BenchmarkAskAndRelease ./scheduler 100000x
  bench BenchmarkApply ./decider 10x
  bench BenchmarkMatch ./matcher 10000x
  bench BenchmarkRecord ./recorder 100000x
  bench BenchmarkWholePath ./server 500x
  load_average after
}

[ $# -gt 0 ] || set -- wire memory nodes requests time
for part in "$@"; do
  case $part in
    wire | memory | nodes | requests) "$part" ;;
    time) time_slopes ;;
    *)
      sed -n '2,10s/^# \{0,1\}//p' "$0" >&2
      exit 2
      ;;
  esac
done
