#!/usr/bin/env bash
# Measures one load on a system of separate processes on the loopback interface: stand-ins for the
# platform, engines and services, and three entry VMs. Writes the result as JSON to standard
# output.
#
#   scripts/measure.sh -system buttons|replies -policy serviceLevels|strictTiers|firstCome
#       [-scale 1.0] [-for 30s] [-seed 1] [-burst] [-issuedKeys] [-ports 17] [-fault none|straggler|engineKilled|platformAway]
set -euo pipefail
cd "$(dirname "$0")/.."

readonly TOKEN=operators-token-of-the-measurement
readonly ENTRIES=3
ports=17 system=buttons policy=serviceLevels scale=1.0 duration=30s seed=1 fault=none extra=()

usage() {
  sed -n '2,8s/^# \{0,1\}//p' "$0" >&2
  exit 2
}

while [ $# -gt 0 ]; do
  case $1 in
    -burst | -issuedKeys) extra+=("$1"); shift ;;
    -system | -policy | -scale | -for | -seed | -fault | -ports)
      [ $# -ge 2 ] || usage
      name=${1#-}
      [ "$name" = for ] && name=duration
      printf -v "$name" %s "$2"
      shift 2
      ;;
    *) usage ;;
  esac
done
case $system in
  buttons) engines=4 services=2 ;;
  replies) engines=6 services=1 ;;
  *) usage ;;
esac

# All ports begin with the two digits of -ports, so that several runs can share a machine.
readonly PLATFORM=127.0.0.1:${ports}001
work=$(mktemp -d)
pids=()

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

go build -o "$work/limpetcleat" ./cmd/limpetcleat

# begin starts a process in the background and redirects its output to a log file.
begin() {
  local name=$1
  shift
  "$work/limpetcleat" "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}

# await polls a URL until it answers with success. After 200 attempts at intervals of 0.1 s, it
# prints the ends of the logs and exits.
await() {
  local tries
  for tries in $(seq 200); do
    curl -fsS -o "$work/answer" "$1" 2>"$work/problem" && return 0
    sleep 0.1
  done
  echo "no answer from $1 after $tries tries" >&2
  tail -n 20 "$work"/*.log >&2
  exit 1
}

# settings prints the settings file of an entry VM.
settings() {
  local index=$1
  cat <<INI
[node]
name = entry-$index
dataCentre = here
[callers]
listen = 127.0.0.1:$((${ports}100 + index))
[operators]
listen = 127.0.0.1:$((${ports}200 + index))
token = $TOKEN
[inner]
listen = 127.0.0.1:$((${ports}300 + index))
plain = true
[platform]
addresses = http://$PLATFORM
[drain]
balancerDelay = 0s
timeout = 1s
[scheduling]
policy = $policy
[log]
level = error
INI
}

begin platform standin platform -listen "$PLATFORM" -listLag 100ms -writes 300 -reads 2000
await "http://$PLATFORM/health"
engine_list=()
engine_pids=()
for index in $(seq "$engines"); do
  address=127.0.0.1:$((${ports}010 + index))
  begin "engine-$index" standin engine -listen "$address" -models assistant -running 16 -tokenTime 10ms -slope 1ms -prefill 50ms
  engine_list+=("$address")
  engine_pids+=("${pids[-1]}")
  await "http://$address/health"
done
for index in $(seq "$services"); do
  address=127.0.0.1:$((${ports}050 + index))
  begin "service-$index" standin service -listen "$address" -latency 20ms
  await "http://$address/_standin/health"
done
sed "s/127.0.0.1:17/127.0.0.1:$ports/" "scripts/measure-$system.json" >"$work/rules.json"
"$work/limpetcleat" rules put -platform "$PLATFORM" -file "$work/rules.json" -summary measurement >"$work/rules.log"
targets=()
for index in $(seq "$ENTRIES"); do
  settings "$index" >"$work/entry-$index.ini"
  curl -fsS -o "$work/answer" -X PUT "http://$PLATFORM/vms/entry-$index" \
    -d "{\"dataCentre\": \"here\", \"address\": \"127.0.0.1:$((${ports}300 + index))\", \"role\": \"entry\", \"state\": \"live\"}"
  begin "entry-$index" serve -settings "$work/entry-$index.ini"
  targets+=("127.0.0.1:$((${ports}100 + index))")
done
for target in "${targets[@]}"; do
  await "http://$target/readyz"
done
# Wait until the nodes' membership views have converged.
sleep 5

# inject injects the fault 8 s after its start, while the load is running.
inject() {
  sleep 8
  case $fault in
    straggler) curl -fsS -X POST "http://${engine_list[0]}/faults" -d '{"slowFactor": 4}' ;;
    engineKilled) kill -KILL "${engine_pids[0]}" ;;
    platformAway) curl -fsS -X POST "http://$PLATFORM/faults" -d '{"outage": true}' ;;
  esac >"$work/fault.log" 2>&1
}
if [ "$fault" != none ]; then
  inject &
  pids+=($!)
fi

joined_targets=$(IFS=,; echo "${targets[*]}")
joined_engines=$(IFS=,; echo "${engine_list[*]}")
"$work/limpetcleat" load -targets "$joined_targets" -engines "$joined_engines" -mix "examples/mix-$system.json" \
  -scale "$scale" -for "$duration" -seed "$seed" "${extra[@]}" -output json
