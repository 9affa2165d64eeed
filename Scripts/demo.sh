#!/usr/bin/env bash
# Builds sycamorereach, runs its daemons on loopback addresses with fake
# services, engines and a fake cloud, and sends example requests. Stops only the
# processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
Scripts/setup.sh
Scripts/build.sh
Bin=build/Source
Data=demo-data
rm -rf "$Data"
mkdir -p "$Data"
export SYCAMORE_CLUSTER_KEY=demo-cluster-key-0001
export SYCAMORE_OPERATOR_TOKEN=demo-operator-token-1
export SYCAMORE_BACKEND_TOKEN=demo-backend-token-01
export SYCAMORE_LOG_LEVEL=warning
Pids=()
stopAll() {
  for Pid in "${Pids[@]}"; do kill "$Pid" 2>/dev/null || true; done
  for Pid in "${Pids[@]}"; do wait "$Pid" 2>/dev/null || true; done
}
trap stopAll EXIT
start() { # start LOGNAME PROGRAM ARGUMENT...: runs the program in the background
  local Log="$Data/$1.log"
  shift
  "$@" >"$Log" 2>&1 &
  Pids+=("$!")
}
heading() { printf '\n== %s\n' "$*"; }
show() { # show COMMAND ARGUMENT...: prints and runs the command
  printf '$ %s\n' "$*"
  "$@"
}
waitUntilReady() { # waitUntilReady URL
  for _ in $(seq 200); do
    curl -fsS -o /dev/null "$1" 2>/dev/null && return 0
    sleep 0.05
  done
  echo "$1 did not become ready; see $Data/*.log" >&2
  return 1
}

heading "Start three state daemons in three data centres, each with its own data directory"
State=127.0.0.1:7101,127.0.0.1:7102,127.0.0.1:7103
Centres=(x east west north)
Founders=""
for I in 1 2 3; do
  Id=$($Bin/StateDaemon/sycamore-state format --name=s$I --data=$Data/s$I)
  Founders+="${Founders:+,}$Id@127.0.0.1:710$I@${Centres[$I]}"
done
for I in 1 2 3; do
  start s$I $Bin/StateDaemon/sycamore-state run --name=s$I \
    --datacentre="${Centres[$I]}" --data=$Data/s$I --listen=127.0.0.1:710$I \
    --http=127.0.0.1:720$I --state=$State --founders="$Founders"
done
heading "Start two entry daemons in two data centres"
Peers=e1@127.0.0.1:7301@east,e2@127.0.0.1:7302@west
for I in 1 2; do
  start e$I $Bin/EntryDaemon/sycamore-entry --name=e$I \
    --datacentre="${Centres[$I]}" --http=127.0.0.1:800$I \
    --peer=127.0.0.1:730$I --peers=$Peers --state=$State
done
for I in 1 2 3; do waitUntilReady http://127.0.0.1:720$I/readyz; done

heading "Declare priorities, services, a caller and a budget"
export SYCAMORE_DAEMONS=127.0.0.1:8001,127.0.0.1:8002
Ctl=$Bin/Control/sycamorectl
show $Ctl declare priority urgent rank 0 target 800 ms floor 20 % worth 10
show $Ctl declare priority later rank 2 target 30 s floor 10 %
show $Ctl declare service assistant model sleeper-7b version 1 replicas 2
show $Ctl declare service orders replicas 2 target 2 s
show $Ctl declare caller yard keyhash "$($Ctl hash-key yard-key)" priority urgent
show $Ctl set budget per-hour 40
for I in 1 2; do waitUntilReady http://127.0.0.1:800$I/readyz; done

heading "Start backend servers of a plain service, which announce themselves"
Entries=127.0.0.1:8001,127.0.0.1:8002
for I in 1 2; do
  start orders$I $Bin/Fakes/sycamore-fake-service --name=orders$I \
    --service=orders --host=h$I --datacentre="${Centres[$I]}" \
    --listen=127.0.0.1:820$I --entries=$Entries --price-milli=300
done
heading "Start two fleet daemons, which start hosts in the fake cloud and load the declared model"
start cloud $Bin/Fakes/sycamore-fake-cloud --listen=127.0.0.1:8500 \
  --entries=$Entries --centres=east,west,north --first-port=8510
for I in 1 2; do
  start f$I $Bin/FleetDaemon/sycamore-fleet --name=f$I \
    --datacentre="${Centres[$I]}" --http=127.0.0.1:760$I \
    --cloud=127.0.0.1:8500 --entries=$Entries --state=$State
done
for _ in $(seq 300); do
  [ "$($Ctl show backends where state = serving | wc -l)" = 5 ] && break
  sleep 0.05
done
show $Ctl show backends

Key='Authorization: Bearer yard-key'
heading "Streaming chat completion"
show curl -sN http://127.0.0.1:8001/v1/chat/completions -H "$Key" \
  -d '{"model":"sleeper-7b","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"Is creosote safe near a well?"}]}'
heading "Non-streaming chat completion through the other entry daemon"
show curl -s http://127.0.0.1:8002/v1/chat/completions -H "$Key" \
  -d '{"model":"sleeper-7b","max_tokens":5,"messages":[{"role":"user","content":"Which grade is oak?"}]}'
heading "Reservation, repeated with the same idempotency key through the other entry daemon"
for Port in 8001 8002; do
  show curl -s -X POST http://127.0.0.1:$Port/services/orders/reservations \
    -H "$Key" -H 'Idempotency-Key: sleepers-17' -d '{"sleepers":40}'
  echo
done
heading "Executions of the reservation, and its outcome"
curl -s http://127.0.0.1:8201/runs http://127.0.0.1:8202/runs; echo
show curl -s http://127.0.0.1:8002/v1/requests/sleepers-17 -H "$Key"; echo
heading "Non-idempotent call without an idempotency key"
show curl -s -X POST http://127.0.0.1:8001/services/orders/reservations \
  -H "$Key" -d '{}'
echo
heading "Operator views"
show $Ctl show services
show $Ctl show cost by datacentre
show $Ctl show refusals
show $Ctl show replicas
show $Ctl show leases
show $Ctl show latency
show $Ctl shwo services || true
heading "Done"
