# Shared by demo and prove: a fleet of real processes on loopback.
#
#   open_fleet NAME ZONE_DELAY SPEC...   SPEC is service:zone:slots:service_us
#   hold TEXT COMMAND...                 a promise, checked and counted
#   close_fleet                          ends what open_fleet started

work=$(mktemp -d)
broken=0
log_pid=""
node_pids=()
back_end_pids=()

say() { printf '\n== %s\n' "$*"; }

hold() {
  if "${@:2}"; then echo "held:     $1"; else
    echo "NOT HELD: $1"
    broken=$((broken + 1))
  fi
}

wait_for() { # wait_for SECONDS COMMAND...: until it succeeds
  local until=$((SECONDS + $1))
  while ((SECONDS < until)); do
    "${@:2}" && return 0
    sleep 0.1
  done
  return 1
}

get() { "$bin/tanagerledge_get" "$@" 2>/dev/null; }

end_pids() { # end_pids SIGNAL PID...
  local signal=$1 pid
  shift
  for pid in "$@"; do kill "-$signal" "$pid" 2>/dev/null; done
  for pid in "$@"; do wait "$pid" 2>/dev/null; done
}

close_fleet() {
  end_pids TERM "${back_end_pids[@]}" "${node_pids[@]}" $log_pid
  node_pids=() back_end_pids=() log_pid=""
}
trap 'close_fleet; rm -rf "$work" "${claims[@]}"' EXIT

# Claims a run of 300 ports below the ephemeral range, so that no client takes
# one. A fleet has all of them until this script ends: two at once never share
# one. Sets `base`.
claims=()
claim_ports() {
  local claim
  while true; do
    base=$((10000 + (RANDOM % 60) * 300))
    claim="${TMPDIR:-/tmp}/tanagerledge-ports-$base"
    # A claim whose script was killed stays behind.
    if [[ -e "$claim/pid" ]] && ! kill -0 "$(<"$claim/pid")" 2>/dev/null; then
      rm -rf "$claim"
    fi
    if mkdir "$claim" 2>/dev/null; then
      echo "$$" >"$claim/pid"
      claims+=("$claim")
      return
    fi
  done
}

# Starting --------------------------------------------------------------------

write_settings() { # write_settings INDEX ZONE
  local zone
  {
    printf '[node]\nfleet = %s\naddress = 127.0.0.1:%s\nzone = %s\nworkers = 1\n' \
      "$fleet" "$((base + $1))" "$2"
    printf 'seeds = 127.0.0.1:%s, 127.0.0.1:%s\n' "$((base + 1))" "$((base + 2))"
    printf '[front]\naddress = 127.0.0.1:%s\n' "$((base + 100 + $1))"
    printf '[admin]\naddress = 127.0.0.1:%s\n' "$((base + 200 + $1))"
    printf '[log]\naddress = %s\n[logging]\nlevel = warning\n[delays]\n' "$log"
    for zone in "${zones[@]}"; do
      [[ "$zone" != "$2" ]] && printf '%s = %s\n' "$zone" "$zone_delay"
    done
  } >"$work/$fleet-$1.ini"
}

start_node() { # start_node INDEX
  "$bin/tanagerledged" "$work/$fleet-$1.ini" 2>>"$work/$fleet-$1.log" &
  node_pids[$1]=$!
}

start_back_end() { # start_back_end INDEX
  local service slots us
  IFS=: read -r service _ slots us <<<"${specs[$1]}"
  "$bin/fake_back_end" --service "$service" --slots "$slots" --seed "$1" \
    --address "127.0.0.1:$((base + 50 + $1))" --admin "${admins[$1]}" \
    --service-time-us "$us" --trace >"$work/$fleet-$1.back_end" 2>&1 &
  back_end_pids[$1]=$!
}

open_fleet() {
  fleet=$1 zone_delay=$2
  shift 2
  claim_ports
  specs=("" "$@")
  count=$#
  fronts=() admins=() back_ends=()
  "$bin/log_store" --port 0 >"$work/$fleet.log_store" &
  log_pid=$!
  wait_for 5 grep -qs listening "$work/$fleet.log_store"
  log=$(sed -n 's/^listening //p' "$work/$fleet.log_store")
  local index zone
  for ((index = 1; index <= count; index++)); do
    IFS=: read -r _ zone _ _ <<<"${specs[$index]}"
    fronts[$index]="127.0.0.1:$((base + 100 + index))"
    admins[$index]="127.0.0.1:$((base + 200 + index))"
    back_ends[$index]="127.0.0.1:$((base + 50 + index))"
    write_settings "$index" "$zone"
    start_node "$index"
    start_back_end "$index"
  done
}

# Asking ----------------------------------------------------------------------

node_at() { # node_at INDEX RELEASE: ready with that release
  local page
  page=$(get "http://${admins[$1]}/status") || return 1
  grep -q "\"release\": $2," <<<"$page" && grep -q '"ready": true' <<<"$page"
}

fleet_at() { # fleet_at RELEASE ENDPOINTS: every node, and it knows the endpoints
  local index
  for index in "${!node_pids[@]}"; do
    node_at "$index" "$1" || return 1
    [[ $(get "http://${admins[$index]}/members" |
      grep -c '"endpoint": "ready"') -ge $2 ]] || return 1
  done
}

publish() { "$bin/tanagerledge" publish "$@" --log "$log" --operator demo; }
log_faults() { get "http://$log/faults" "$1" >/dev/null; }

# load MS CALL...: in the fleet's fronts, keys checked at its back ends.
load() {
  local duration=$1 arguments=() address call
  shift
  for address in "${fronts[@]}"; do arguments+=(--front "$address"); done
  for address in "${back_ends[@]}"; do arguments+=(--back-end "$address"); done
  for call in "$@"; do arguments+=(--call "$call"); done
  "$bin/tanagerledge_load" "${arguments[@]}" --duration-ms "$duration" \
    --one-way-delay-us 3000 --timeout-ms 2500 --customers "${customers:-3}" |
    tee "$work/report"
  return "${PIPESTATUS[0]}"
}

# What the last load's table says of each kind.
all_kinds() { # all_kinds CONDITION: an awk condition on sent, ok, not_run, unknown
  awk "NF == 10 && \$2 ~ /^[0-9]+\$/ {sent = \$2; ok = \$3; not_run = \$5; unknown = \$6
       if (!($1)) bad = 1} END {exit bad}" "$work/report"
}

finish() {
  say "summary"
  if ((broken == 0)); then echo "everything promised held"; else
    echo "$broken promises did not hold"
  fi
  exit $((broken > 0))
}

# The brief's deployments -----------------------------------------------------

beryn_zones=(cardiff swansea bangor)
beryn=(catalogue:cardiff:13:15000 catalogue:swansea:13:15000
  catalogue:bangor:13:15000 catalogue:cardiff:13:15000
  catalogue:swansea:13:15000 certifier:cardiff:13:20000
  certifier:swansea:13:20000 certifier:bangor:13:20000
  certifier:swansea:13:20000 claims:cardiff:13:25000
  claims:swansea:13:25000 claims:bangor:13:25000)
beryn_calls=(certify:POST:/certify/bearing:40:keyed
  claim:POST:/claim/turbine:20:keyed curves:GET:/curves/6204:120)

sprinklo_zones=(brno znojmo trebic)
sprinklo=(archiv:brno:20:15000 archiv:znojmo:20:15000 archiv:trebic:20:15000
  archiv:brno:20:15000 archiv:znojmo:20:15000 osvedceni:brno:20:20000
  osvedceni:znojmo:20:20000 osvedceni:trebic:20:20000 fakturace:brno:20:25000
  fakturace:znojmo:20:25000 fakturace:trebic:20:25000)
sprinklo_calls=(sign:POST:/sign/site:30:keyed
  invoice:POST:/invoice/client:20:keyed history:GET:/history/site:100)
