# Functions that start and stop a small deployment on 127.0.0.1. Sourced by demo.sh and
# faults.sh. The sourcing script sets BIN, the directory of the executables, and WORK_DIR,
# the directory for logs and settings.

TOKEN=demo-operator-token
PIDS=""

start_log()    { start_process log    "$BIN/standin" log --listen 127.0.0.1:7001; }
start_vms()    { start_process vms    "$BIN/standin" vms --listen 127.0.0.1:7002; }
start_worker() { start_process "w$1"  "$BIN/standin" worker --listen "127.0.0.1:$((7100 + $1))" --accelerators 8; }

# start_process NAME COMMAND... starts a background process, stores its ID in the variable
# PID_NAME and adds it to PIDS.
start_process() {
  local name=$1
  shift
  "$@" >"$WORK_DIR/$name.log" 2>&1 &
  eval "PID_$name=$!"
  PIDS="$PIDS $!"
}

# start_entry N DOMAIN writes the settings of entry VM eN and starts it.
start_entry() {
  sed -e "s/^name: .*/name: e$1/" -e "s/^domain: .*/domain: $2/" \
      -e "s/^listen: .*/listen: 127.0.0.1:$((7200 + $1))/" -e "s/^token: .*/token: $TOKEN/" \
      examples/entry.yaml >"$WORK_DIR/e$1.yaml"
  start_process "e$1" "$BIN/sesameyoke" serve -f "$WORK_DIR/e$1.yaml"
}

# add_vm ROLE NAME PORT DOMAIN adds a VM to the platform's list.
add_vm() {
  curl -fsS -X PUT 127.0.0.1:7002/vms \
    -d "{\"name\":\"$2\",\"role\":\"$1\",\"address\":\"127.0.0.1:$3\",\"region\":\"latvia\",\"domain\":\"$4\"}"
}

# await URL waits until a request to the URL succeeds. It makes at most 100 attempts.
await() {
  for _ in $(seq 100); do
    curl -fs -o /dev/null "$1" && return 0
    sleep 0.1
  done
  echo "no answer from $1" >&2
  return 1
}

# kill_all kills all processes that start_process has started, by ID.
kill_all() {
  for pid in $PIDS; do
    kill -9 "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
}

# start_platform starts the emulated log service, VM list and 12 workers, and adds the
# workers to the list.
start_platform() {
  start_log
  start_vms
  for i in $(seq 12); do start_worker "$i"; done
  await 127.0.0.1:7002/vms
  for i in $(seq 12); do add_vm worker "w$i" $((7100 + i)) "d$(((i + 5) / 6))"; done
}
