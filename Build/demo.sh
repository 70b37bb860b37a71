#!/bin/bash
# Builds and starts three data centres on loopback, seven hosts and stand-in upstreams, and sends
# a request of each kind. Ends with 'demo: ok'.
#   --keep          leaves everything running and prints the addresses
#   --stop          ends what an earlier --keep started
#   --no-build      uses what is built
#   --port-base N   first port (7300)
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_FOLDER:-build}
run=$PWD/run/demo
base=7300
keep=no
stop=no
built=no
while [ $# -gt 0 ]; do
  case $1 in
    --keep) keep=yes ;;
    --stop) stop=yes ;;
    --no-build) built=yes ;;
    --port-base)
      base=$2
      shift
      ;;
    *)
      echo "unknown argument $1; use --keep, --stop, --no-build or --port-base N" >&2
      exit 2
      ;;
  esac
  shift
done

# Ends the processes that this script started: SIGTERM, after 15 s SIGKILL.
stop_all() {
  [ -e "$run/pids" ] || return 0
  local pid name deadline=$((SECONDS + 15))
  while read -r pid name; do
    is_ours "$pid" "$name" && kill "$pid" 2>/dev/null
  done <"$run/pids"
  while read -r pid name; do
    while is_ours "$pid" "$name" && [ $SECONDS -lt $deadline ]; do sleep 0.1; done
    is_ours "$pid" "$name" && kill -9 "$pid" 2>/dev/null
  done <"$run/pids"
  rm -f "$run/pids"
  return 0
}

# True while process $1 still is the program $2 (its id may have been given to another).
is_ours() {
  [ "$(cat "/proc/$1/comm" 2>/dev/null)" = "$2" ]
}

# start LOG PROGRAM ARGUMENT...: starts a program in the background and notes its id.
start() {
  local log=$1 program=$2
  shift 2
  "$build/$program" "$@" >"$run/$log.log" 2>&1 &
  echo "$! ${program:0:15}" >>"$run/pids"
}

if [ $stop = yes ]; then
  stop_all
  echo "demo: stopped"
  exit 0
fi

[ $built = yes ] || Build/build.sh
stop_all
rm -rf "$run"
mkdir -p "$run"
[ $keep = yes ] || trap stop_all EXIT
hosts=(g1 g2 g3 l1 l2 e1 e2)
centres=(gent-a luik-a elsene-a)
callers() { echo "127.0.0.1:$((base + 10 * $1))"; }
control() { echo "127.0.0.1:$((base + 10 * $1 + 1))"; }

Build/samples/hosts.sh "$run" "$base"
for id in "${hosts[@]}"; do
  start "$id" cuminfield serve --settings "$run/$id.ini"
done
first=(0 3 5)
for k in 0 1 2; do
  centre=${centres[$k]}
  own=${first[$k]}
  announce=$(control "$own"),$(control $((own + 1))),$(control 2)
  common=(--announce "$announce" --data-centre "$centre" --region "${centre%-a}" --version-name v1)
  start "taxateur-$centre" StandInEngine "${common[@]}" --port $((base + 70 + k)) \
    --id "taxateur-$centre" --service taxateur --record "$run/taxateur-$centre.record"
  start "kassa-$centre" StandInService "${common[@]}" --port $((base + 80 + k)) \
    --id "kassa-$centre" --service kassa --record "$run/kassa-$centre.record"
done

echo "applying Build/samples/trial.ini"
applied=no
for _ in $(seq 60); do
  if "$build/cuminfield" apply --control "$(control 0)" --environment trial --operator demo \
    Build/samples/trial.ini 2>"$run/apply.log"; then
    applied=yes
    break
  fi
  sleep 0.5
done
if [ $applied = no ]; then
  cat "$run/apply.log"
  echo "demo: the document was not accepted; see $run/*.log" >&2
  exit 1
fi

# ask TITLE HOST-NUMBER SEED PART [ARGUMENT...]: one call, which must be answered whole.
ask() {
  local title=$1 host=$2 seed=$3 part=$4 line
  shift 4
  for _ in $(seq 20); do
    line=$("$build/LoadClient" --hosts "$(callers "$host")" --count 1 --seed "$seed" \
      --attempts 1 --mix "[$part]" --print true "$@" | head -1)
    # Until the document and the announcements have reached this host, it says not-run.
    [[ $line == *not-run* ]] || break
    sleep 0.5
  done
  printf '%-24s %s\n' "$title" "$line"
  [[ $line == answered* ]]
}

ask "long appraisal" 0 1 '{"kind":"completion","tier":"slow","workspace":"boekhandel-gent","prompt":[6000,6000],"tokens":[120,120],"keyed":true}'
ask "quick quote, Gent" 1 2 '{"kind":"completion","tier":"quick","workspace":"boekhandel-gent","tokens":[12,12]}'
ask "quick quote, Luik" 3 3 '{"kind":"chat","tier":"quick","workspace":"boekhandel-luik","tokens":[12,12],"stream":false}'
ask "quick quote, Elsene" 6 4 '{"kind":"completion","tier":"quick","workspace":"boekhandel-elsene","tokens":[12,12]}'
ask "stock lookup" 4 5 '{"kind":"stock","tier":"standard","workspace":"boekhandel-luik"}'
key=$("$build/LoadClient" --new-key true)
payout='{"kind":"payout","tier":"standard","workspace":"boekhandel-gent"}'
ask "payout" 0 6 "$payout" --key "$key"
ask "the same payout again" 5 6 "$payout" --key "$key"
runs=$(cat "$run"/kassa-*.record | grep '"kind":"begin"' | grep -c "$key")
echo "payout $key ran $runs time(s)"
[ "$runs" = 1 ] || exit 1

if [ $keep = yes ]; then
  for i in "${!hosts[@]}"; do
    echo "${hosts[$i]}: callers $(callers "$i") control $(control "$i") settings run/demo/${hosts[$i]}.ini"
  done
  for k in 0 1 2; do
    echo "taxateur-${centres[$k]}: 127.0.0.1:$((base + 70 + k))"
    echo "kassa-${centres[$k]}: 127.0.0.1:$((base + 80 + k))"
  done
  echo "stop it with Build/demo.sh --stop"
fi
echo "demo: ok"
