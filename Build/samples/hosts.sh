#!/bin/bash
# Writes the settings of the Consortium's seven hosts: hosts.sh FOLDER PORT-BASE [RELAY-BASE].
# Host number i (g1 is 0) listens on BASE+10*i for callers, +1 for control, +2 for peers.
# With RELAY-BASE host i reaches host j through port RELAY-BASE+7*i+j, where a relay listens.
set -euo pipefail
folder=$1
base=$2
relay=${3:-}
hosts=(g1 g2 g3 l1 l2 e1 e2)
centre_of() {
  case $1 in
    g*) echo gent-a ;;
    l*) echo luik-a ;;
    e*) echo elsene-a ;;
  esac
}
# peer_port FROM TO: where host FROM reaches host TO.
peer_port() {
  if [ -n "$relay" ]; then
    echo $((relay + 7 * $1 + $2))
  else
    echo $((base + 10 * $2 + 2))
  fi
}
mkdir -p "$folder"
for i in "${!hosts[@]}"; do
  id=${hosts[$i]}
  centre=$(centre_of "$id")
  {
    echo "[host]"
    echo "id = $id"
    echo "data-centre = $centre"
    echo "region = ${centre%-a}"
    echo "environment = trial"
    echo "data-folder = $folder/$id.data"
    echo
    echo "[listen]"
    echo "callers = 127.0.0.1:$((base + 10 * i))"
    echo "control = 127.0.0.1:$((base + 10 * i + 1))"
    echo "peers = 127.0.0.1:$((base + 10 * i + 2))"
    echo
    echo "[peers]"
    for j in "${!hosts[@]}"; do
      [ "$i" = "$j" ] || echo "${hosts[$j]} = 127.0.0.1:$(peer_port "$i" "$j")@$(centre_of "${hosts[$j]}")"
    done
    echo
    echo "[groups]"
    echo "documents = g1 l1 e1"
    echo "gent-a = g1 g2 g3"
    echo "luik-a = l1 l2 g3"
    echo "elsene-a = e1 e2 g3"
    echo
    echo "[limits]"
    echo "upstream-stall = 5s"
    echo "shutdown = 20s"
  } >"$folder/$id.ini"
done
