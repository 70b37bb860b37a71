#!/bin/bash
# Measures what a host spends as upstreams, hosts, workspaces and document changes grow, and what a
# request and a chunk cost. Real hosts on loopback, one data centre; Build/measure.sh slopes runs it.
# SETTLE and WINDOW are the seconds before and during each measurement; PORT_BASE the first port.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_FOLDER:-build}
run=$PWD/run/slopes
base=${PORT_BASE:-23000}
settle=${SETTLE:-4}
window=${WINDOW:-6}
ticks=$(getconf CLK_TCK)
pids=()
declare -A host_pid
result="measurement=slopes window_s=$window"

# Ends what this script started and still runs.
stop_all() {
  local pid deadline=$((SECONDS + 4))
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do
    while kill -0 "$pid" 2>/dev/null && [ $SECONDS -lt $deadline ]; do sleep 0.1; done
    kill -9 "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  pids=()
}
trap stop_all EXIT

# start LOG PROGRAM ARGUMENT...
start() {
  local log=$1
  shift
  "$build/$1" "${@:2}" >"$run/$log.log" 2>&1 &
  pids+=($!)
}

control() { echo "127.0.0.1:$((base + 10 * $1 + 1))"; }

# host_settings NUMBER HOSTS VOTERS: settings of one host.
host_settings() {
  local i=$1 j voters=""
  for j in $(seq "$3"); do voters+=" h$j"; done
  printf '[host]\nid = h%d\ndata-centre = gent-a\nregion = gent\nenvironment = trial\n' "$i"
  [ "$i" -gt "$3" ] || echo "data-folder = $run/h$i.data"
  printf '[listen]\ncallers = 127.0.0.1:%d\ncontrol = 127.0.0.1:%d\npeers = 127.0.0.1:%d\n[peers]\n' \
    $((base + 10 * i)) $((base + 10 * i + 1)) $((base + 10 * i + 2))
  for j in $(seq "$2"); do
    [ "$i" = "$j" ] || echo "h$j = 127.0.0.1:$((base + 10 * j + 2))@gent-a"
  done
  printf '[groups]\ndocuments =%s\ngent-a =%s\n[limits]\nshutdown = 1s\n[log]\nlevel = warn\n' \
    "$voters" "$voters"
}

# document WORKSPACES WEIGHT: a document; another weight makes it another one.
document() {
  printf '[environment]\nname = trial\n[tier quick]\nrank = 0\n'
  printf '[service taxateur]\nkind = engine\nversion = v1\n'
  printf '[route completions]\nservice = taxateur\npath = /v1/completions\n'
  printf '[workspace w1]\nhome = gent-a\nweight = %d\n' "$2"
  seq 2 "$1" | sed 's/.*/[workspace w&]\nhome = gent-a/'
}

# apply WORKSPACES WEIGHT: puts a document into force; an error is left in apply.log.
apply() {
  document "$1" "$2" >"$run/document.ini"
  "$build/cuminfield" apply --control "$(control 1)" --environment trial --operator slopes \
    "$run/document.ini" >"$run/apply.log" 2>&1
}

# hosts COUNT VOTERS WORKSPACES: starts hosts and waits until all have the document.
hosts() {
  local i
  rm -rf "$run"
  mkdir -p "$run"
  for i in $(seq "$1"); do
    host_settings "$i" "$1" "$2" >"$run/h$i.ini"
    start "h$i" cuminfield serve --settings "$run/h$i.ini"
    host_pid[$i]=$!
  done
  for i in $(seq 20); do
    apply "$3" 1 && return
    sleep 0.3
  done
  cat "$run/apply.log" >&2
  return 1
}

cpu_ticks() { awk '{ sub(/.*\) /, ""); print $12 + $13 }' "/proc/$1/stat"; }
rss_kb() { awk '/^VmRSS/ { print $2 }' "/proc/$1/status"; }
# show HOST MEMBER: a whole number of GET /show.
show() { curl -s -m 2 "http://$(control "$1")/show" | grep -o "\"$2\":[0-9]*" | cut -d: -f2; }
upstreams_at() { curl -s -m 2 "http://$(control "$1")/show" | grep -o '"up":true' | wc -l; }

# measure CASE HOSTS VOTERS: a line for the voter that spends most and one for the last host.
measure() {
  local name=$1 count=$2 voters=$3 i took began
  local -a cpu sent received
  sleep "$settle"
  for i in $(seq "$count"); do
    sent[$i]=$(show "$i" peer_bytes_sent)
    received[$i]=$(show "$i" peer_bytes_received)
    cpu[$i]=$(cpu_ticks "${host_pid[$i]}")
  done
  began=$(date +%s%N)
  sleep "$window"
  took=$((($(date +%s%N) - began) / 1000000))
  for i in $(seq "$count"); do
    cpu[$i]=$(awk "BEGIN { printf \"%.2f\", ($(cpu_ticks "${host_pid[$i]}") - ${cpu[$i]}) * 100000 / $ticks / $took }")
  done
  for i in $(seq "$count"); do
    sent[$i]=$((($(show "$i" peer_bytes_sent) - sent[$i]) * 1000 / took))
    received[$i]=$((($(show "$i" peer_bytes_received) - received[$i]) * 1000 / took))
  done
  local top=1
  for i in $(seq "$voters"); do
    ! awk "BEGIN { exit !(${cpu[$i]} > ${cpu[$top]}) }" || top=$i
  done
  line "$name" voter "$top" "${cpu[$top]}" "${sent[$top]}" "${received[$top]}"
  line "$name" entry "$count" "${cpu[$count]}" "${sent[$count]}" "${received[$count]}"
}

# line CASE ROLE HOST CPU SENT RECEIVED
line() {
  local rss
  rss=$(rss_kb "${host_pid[$3]}")
  printf '%-12s %-6s %9d %8s %10d %10d %9d\n' "$1" "$2" "$rss" "$4" "$5" "$6" "$(upstreams_at "$3")"
  result+=" $1_$2_rss_kb=$rss $1_$2_cpu=$4 $1_$2_sent=$5 $1_$2_received=$6"
}

# many COUNT HOST: upstreams that announce at one host.
many() {
  start many ManyUpstreams --count "$1" --announce "$(control "$2")" --data-centre gent-a \
    --region gent --service taxateur --version-name v1 --id many
}

# changes WORKSPACES: a document change every second until it is ended.
changes() {
  local weight=1
  while sleep 1; do
    weight=$((weight % 9 + 1))
    apply "$1" "$weight" || echo "refused" >>"$run/refused.log"
  done
}

# load CASE PORT TOKENS: sends calls for the window; prints and keeps the rates.
load() {
  local mix answered before cpu=0 host=${host_pid[1]}
  mix="[{\"weight\":1,\"kind\":\"completion\",\"tier\":\"quick\",\"workspace\":\"w1\",\"prompt\":[16,16],\"tokens\":[$3,$3]}]"
  before=$(cpu_ticks "$host")
  "$build/LoadClient" --hosts "127.0.0.1:$2" --seconds "$window" --concurrency 48 --attempts 1 \
    --mix "$mix" >"$run/load.log" 2>&1 || true
  cpu=$(awk "BEGIN { printf \"%.1f\", ($(cpu_ticks "$host") - $before) * 100 / $ticks / $window }")
  answered=$(grep -o 'answered=[0-9]*' "$run/load.log" | cut -d= -f2)
  printf '%-12s requests/s %8.1f chunks/s %9.1f host cpu %% %6s  %s\n' "$1" \
    "$(bc_div "$answered" "$window")" "$(bc_div "$((answered * $3))" "$window")" "$cpu" \
    "$(tail -1 "$run/load.log" | cut -c1-90)"
  result+=" $1_rps=$(bc_div "$answered" "$window") $1_chunks=$(bc_div "$((answered * $3))" "$window") $1_cpu=$cpu"
}
bc_div() { awk "BEGIN { printf \"%.1f\", $1 / $2 }"; }

echo "load average before: $(cut -d' ' -f1-3 /proc/loadavg), $(nproc) processors"
printf '%-12s %-6s %9s %8s %10s %10s %9s\n' case role rss_kB cpu_% sent_B/s recv_B/s upstreams
for n in 0 10 100 300; do
  hosts 4 3 5
  [ $n = 0 ] || many $n 4
  measure "up$n" 4 3
  stop_all
done
for n in 2 8; do
  voters=$((n < 3 ? 1 : 3))
  hosts $n $voters 5
  measure "hosts$n" $n $voters
  stop_all
done
hosts 4 3 15000
measure ws15000 4 3
stop_all
for n in 5 15000; do
  hosts 4 3 $n
  changes $n &
  pids+=($!)
  measure "change$n" 4 3
  echo "refused changes: $(cat "$run/refused.log" 2>/dev/null | wc -l), revision $(show 1 revision)"
  stop_all
done
hosts 1 1 5
start engine StandInEngine --port $((base + 90)) --id engine --service taxateur --version-name v1 \
  --announce "$(control 1)" --data-centre gent-a --region gent --slots 256 --speed 200 
sleep 3
for tokens in 1 64; do
  load "host$tokens" $((base + 10)) $tokens
  load "direct$tokens" $((base + 90)) $tokens
done
stop_all
echo "load average after: $(cut -d' ' -f1-3 /proc/loadavg)"
echo "$result"
