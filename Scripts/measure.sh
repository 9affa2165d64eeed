#!/usr/bin/env bash
# Benchmarks daemons on this machine: latency added by an entry daemon,
# reservations per second, time until requests are accepted again after the
# leader is killed, and CPU time, memory and log size of the daemons. Stops only
# the processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
Bin=build/Source
Data=$(mktemp -d)
export SYCAMORE_CLUSTER_KEY=measure-cluster-key-1
export SYCAMORE_OPERATOR_TOKEN=measure-operator-token
export SYCAMORE_BACKEND_TOKEN=measure-backend-token
export SYCAMORE_LOG_LEVEL=error
declare -A Pids
stopAll() {
  for Name in "${!Pids[@]}"; do kill "${Pids[$Name]}" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$Data"
}
trap stopAll EXIT
start() {
  local Name=$1
  shift
  "$@" >>"$Data/$Name.log" 2>&1 &
  Pids[$Name]=$!
}
State=127.0.0.1:17101,127.0.0.1:17102,127.0.0.1:17103
Centres=(x east west north)
Founders=""
for I in 1 2 3; do
  Id=$($Bin/StateDaemon/sycamore-state format --name=s$I --data="$Data/s$I")
  Founders+="${Founders:+,}$Id@127.0.0.1:1710$I@${Centres[$I]}"
done
startState() {
  start s$1 $Bin/StateDaemon/sycamore-state run --name=s$1 \
    --datacentre="${Centres[$1]}" --data="$Data/s$1" \
    --listen=127.0.0.1:1710$1 --http=127.0.0.1:1720$1 --state=$State \
    --founders="$Founders"
}
for I in 1 2 3; do startState $I; done
for I in 1 2; do
  start e$I $Bin/EntryDaemon/sycamore-entry --name=e$I --datacentre=east \
    --http=127.0.0.1:1800$I --peer=127.0.0.1:1730$I --state=$State \
    --peers=e1@127.0.0.1:17301@east,e2@127.0.0.1:17302@east
done
Ctl="$Bin/Control/sycamorectl --daemons=127.0.0.1:18001,127.0.0.1:18002"
until $Ctl declare priority urgent rank 0 target 5 s floor 20 % >/dev/null 2>&1; do sleep 0.1; done
$Ctl declare service orders replicas 2 >/dev/null
$Ctl declare caller yard keyhash "$($Ctl hash-key yard-key 2>/dev/null || $Bin/Control/sycamorectl hash-key yard-key)" priority urgent >/dev/null
for I in 1 2 3 4; do
  start orders$I $Bin/Fakes/sycamore-fake-service --name=orders$I --service=orders \
    --host=h$I --datacentre=east --listen=127.0.0.1:1820$I --delay-ms=0 \
    --slots=256 --entries=127.0.0.1:18001,127.0.0.1:18002
done
sleep 3
Load="$Bin/LoadTool/sycamore-load --key=yard-key --seconds=8"
echo "small calls, 2,000 per second, directly to the service:"
$Load --targets=127.0.0.1:18201 --path=/stock --rate=2000
echo "small calls, 2,000 per second, through one entry daemon:"
$Load --targets=127.0.0.1:18001 --path=/services/orders/stock --rate=2000
for Rate in 500 1000 2000; do
  echo "reservations, $Rate per second, through two entry daemons:"
  $Load --targets=127.0.0.1:18001,127.0.0.1:18002 --method=POST --unique-keys \
    --path=/services/orders/reservations --body='{"sleepers":4}' --rate=$Rate --seed=$Rate
done
echo "CPU time, resident memory in KB:"
for Name in s1 s2 s3 e1 e2; do
  ps -o comm=,cputime=,rss= -p "${Pids[$Name]}" | sed "s/^/$Name /"
done
echo "log bytes: $(du -sb "$Data"/s? | cut -f1 | tr '\n' ' ')"
reserve() {
  curl -s -m 5 -o /dev/null -w '%{http_code}' -X POST http://127.0.0.1:18001/services/orders/r \
    -H 'Authorization: Bearer yard-key' -H "Idempotency-Key: $1" -d '{}'
}
for Round in 1 2 3; do
  for I in 1 2 3; do
    curl -s http://127.0.0.1:1720$I/metrics | grep -q '^sycamore_state_leading 1' && Leader=$I
  done
  kill -9 "${Pids[s$Leader]}"
  From=$(date +%s%N)
  Try=0
  until [ "$(reserve "loss-$Round-$((Try++))")" = 200 ]; do :; done
  echo "leader killed: accepting requests again after $((($(date +%s%N) - From) / 1000000)) ms"
  startState "$Leader"
  From=$(date +%s%N)
  until curl -s http://127.0.0.1:1720$Leader/readyz 2>/dev/null | grep -q '^ready'; do sleep 0.01; done
  echo "restarted with $(curl -s http://127.0.0.1:1720$Leader/metrics | sed -n 's/^sycamore_state_commit_index //p') log entries: ready in $((($(date +%s%N) - From) / 1000000)) ms"
  sleep 1
done
