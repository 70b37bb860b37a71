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
ended=0
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

# apply WORKSPACES WEIGHT [BASE]: puts a document into force; an error is left in apply.log.
apply() {
  document "$1" "$2" >"$run/document.ini"
  "$build/cuminfield" apply --control "$(control 1)" --environment trial --operator slopes \
    ${3:+--base "$3"} "$run/document.ini" >"$run/apply.log" 2>&1
}

# hosts COUNT VOTERS WORKSPACES: starts hosts and waits until all have the document.
hosts() {
  local i
  rm -rf "$run"
  mkdir -p "$run"
  : >"$run/refused.log"
  for i in $(seq "$1"); do
    host_settings "$i" "$1" "$2" >"$run/h$i.ini"
    start "h$i" cuminfield serve --settings "$run/h$i.ini"
    host_pid[$i]=$!
  done
  for i in $(seq 20); do
    apply "$3" 1 && return
    all_alive "$1" || return 1
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

# all_alive HOSTS: false, with the log's end, where one has ended by itself.
all_alive() {
  local i
  for i in $(seq "$1"); do
    kill -0 "${host_pid[$i]}" 2>/dev/null || {
      echo "host h$i ended by itself: $(grep -m1 error "$run/h$i.log" | cut -c1-200)"
      return 1
    }
  done
}

# run_case CASE HOSTS VOTERS WORKSPACES [UPSTREAMS [CHANGES]]: again, twice at most, where a host
# ended by itself; each such end is printed and counted.
run_case() {
  local try
  for try in 1 2 3; do
    if hosts "$2" "$3" "$4"; then
      [ "${5:-0}" = 0 ] || many "$5" "$2"
      [ -z "${6:-}" ] || {
        changes "$4" &
        pids+=($!)
      }
      if measure "$1" "$2" "$3"; then
        [ -z "${6:-}" ] || echo "refused changes: $(wc -l <"$run/refused.log"), revision $(show 1 revision)"
        stop_all
        return 0
      fi
    fi
    echo "case $1, try $try: not measured"
    ended=$((ended + 1))
    stop_all
  done
}

# measure CASE HOSTS VOTERS: a line for the voter that spends most and one for the last host.
measure() {
  local name=$1 count=$2 voters=$3 i took began
  local -a cpu sent received
  sleep "$settle"
  all_alive "$count" || return 1
  for i in $(seq "$count"); do
    sent[i]=$(show "$i" peer_bytes_sent)
    received[i]=$(show "$i" peer_bytes_received)
    cpu[i]=$(cpu_ticks "${host_pid[$i]}")
  done
  began=$(date +%s%N)
  sleep "$window"
  took=$((($(date +%s%N) - began) / 1000000))
  for i in $(seq "$count"); do
    cpu[i]=$(awk "BEGIN { printf \"%.2f\", ($(cpu_ticks "${host_pid[$i]}") - ${cpu[$i]}) * 100000 / $ticks / $took }")
  done
  for i in $(seq "$count"); do
    sent[i]=$((($(show "$i" peer_bytes_sent) - sent[$i]) * 1000 / took))
    received[i]=$((($(show "$i" peer_bytes_received) - received[$i]) * 1000 / took))
  done
  all_alive "$count" || return 1
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
    apply "$1" "$weight" "$(show 1 revision)" || echo "refused" >>"$run/refused.log"
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
for n in 0 10 100 300; do run_case "up$n" 4 3 5 "$n"; done
run_case hosts2 2 1 5
run_case hosts8 8 3 5
run_case hosts8up300 8 3 5 300
run_case ws15000 4 3 15000
for n in 5 15000; do run_case "change$n" 4 3 "$n" 0 yes; done
for try in 1 2 3; do
  hosts 1 1 5 && break
  echo "case load, try $try: not measured"
  ended=$((ended + 1))
  stop_all
done
start engine StandInEngine --port $((base + 90)) --id engine --service taxateur --version-name v1 \
  --announce "$(control 1)" --data-centre gent-a --region gent --slots 256 --speed 200
sleep 3
for tokens in 1 64; do
  load "host$tokens" $((base + 10)) $tokens
  load "direct$tokens" $((base + 90)) $tokens
done
stop_all
echo "load average after: $(cut -d' ' -f1-3 /proc/loadavg)"
echo "$result not_measured_tries=$ended"
