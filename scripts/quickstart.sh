#!/usr/bin/env bash
# Builds arbutusport and starts a small copy of the Consulta Sul deployment on
# loopback (participa with 4 hosts and acervo with 2, over three data centres,
# behind 3 entries). Sends requests for ten seconds while it kills an entry and
# drains a host, then prints the outcome of the requests. Exits with 1 if a
# request was lost or misrouted or an invariant was violated.
#
#   scripts/quickstart.sh          stop all processes at the end
#   scripts/quickstart.sh --keep   keep the processes running afterwards
set -euo pipefail
cd "$(dirname "$0")/.."

keep=false
case "${1:-}" in
"") ;;
--keep) keep=true ;;
*)
  sed -n '2,9s/^# \{0,1\}//p' "$0"
  exit 2
  ;;
esac

scripts/install.sh
scripts/build.sh
bin="$PWD/${BUILD_DIR:-build}"
dir="$(mktemp -d "${TMPDIR:-/tmp}/arbutusport-quickstart.XXXXXX")"
# Each run has its own loopback address, so that concurrent runs do not
# interfere with each other.
ip="127.$((120 + $$ % 8)).$(($$ / 250 % 250)).$((1 + $$ % 250))"
declare -A pids=()

# Terminates the started processes by id: SIGTERM, then SIGKILL after 3 s.
stop_processes() {
  trap - EXIT INT TERM
  local name pid
  for name in "${!pids[@]}"; do kill -TERM "${pids[$name]}" 2>/dev/null || true; done
  for _ in $(seq 30); do
    local is_running=false
    for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && is_running=true; done
    $is_running || break
    sleep 0.1
  done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
on_exit() {
  local status=$?
  stop_processes
  [ $status -eq 0 ] && rm -rf "$dir" || echo "logs and histories: $dir" >&2
  exit $status
}
trap on_exit EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

post() { # PORT/PATH BODY
  curl -sS -f -m 5 -o /dev/null -X POST --data-binary "$2" "http://$ip:$1"
}

echo "starting Consulta Sul on $ip"
"$bin/arbutus_plan" --directory "$dir" --programs "$bin" --address "$ip:1" \
  >"$dir/processes"
while read -r name program arguments; do
  # shellcheck disable=SC2086 # arguments are words without blanks
  "$program" $arguments >"$dir/$name.log" 2>&1 &
  pids[$name]=$!
done <"$dir/processes"

# An arbutusd process is healthy once it has applied a configuration.
for ini in "$dir"/settings/*.ini; do
  metrics="$(sed -n 's/^metrics = //p' "$ini")"
  for attempt in $(seq 100); do
    curl -s -f -m 1 -o /dev/null "http://$metrics/health" && break
    [ "$attempt" -lt 100 ] || { echo "$ini: not healthy within 10 s" >&2; exit 1; }
    sleep 0.1
  done
done

echo "sending requests for ten seconds"
"$bin/arbutus_client" --service "participa=$ip:5683" --service "acervo=$ip:5684" \
  --clients 20 --rate 60 --seconds 10 --ack-timeout-ms 300 \
  --history "$dir/client.jsonl" >"$dir/summary" &
load=$!
pids[client]=$load
sleep 2
echo "killing entry-1"
{
  kill -KILL "${pids[entry-1]}"
  wait "${pids[entry-1]}" || true
} 2>/dev/null
unset "pids[entry-1]"
sleep 1
post 7001/admin/fabric "{\"entries\":[\"$ip:7101\",\"$ip:7102\"]}"
echo "draining participa-1"
"$bin/arbutus_plan" --directory "$dir" --programs "$bin" --address "$ip:1" \
  --drain participa-1 >"$dir/drained.json"
post 8501/admin/records/service/participa "@$dir/drained.json"
post 8000/admin/upstream '{"drain":true}'
wait "$load"
unset "pids[client]"

# The upstreams write their histories on SIGUSR1.
for name in "${!pids[@]}"; do
  case "$name" in upstream-*) kill -USR1 "${pids[$name]}" ;; esac
done
for name in "${!pids[@]}"; do
  case "$name" in upstream-*) ;; *) continue ;; esac
  for _ in $(seq 50); do [ -e "$dir/$name.jsonl" ] && break; sleep 0.1; done
done
check_status=0
"$bin/arbutus_check" "$dir"/*.jsonl >"$dir/verdict" || check_status=$?

summary_value() { sed -n "s/.*\b$1=\([^ ]*\).*/\1/p" "$dir/summary"; }
count_violations() { grep -c "^violation=$1 " "$dir/verdict" || true; }
lost=$(($(summary_value lost) + $(count_violations lost_request)))
misrouted=$(count_violations misrouted)
printf '%-14s %s\n' requests "$(summary_value requests)" \
  answered "$(summary_value answered)" \
  "not run" "$(summary_value not_run)" unknown "$(summary_value unknown)" \
  lost "$lost" misrouted "$misrouted" \
  "double runs" "$(count_violations double_run)" \
  "broken flows" "$(summary_value broken_flows)" \
  "p99 ms" "$(summary_value p99_ms)"
if [ "$check_status" -ne 0 ]; then grep '^violation=' "$dir/verdict" | head >&2 || true; fi

if $keep; then
  trap - EXIT INT TERM
  cat <<TEXT

The processes are still running; the emulators exit after ten minutes. Try:
  $bin/arbutusctl status --process $ip:7401 $ip:7403
  $bin/arbutusctl explain --records $dir/records --service participa --client 127.0.0.1:5000
  $bin/arbutusctl report --process $ip:7603 $ip:7604
Stop all processes with:
  kill ${pids[*]}
Logs and histories: $dir
TEXT
  disown -a
fi
[ "$check_status" -eq 0 ] && [ "$lost" -eq 0 ] && [ "$misrouted" -eq 0 ]
