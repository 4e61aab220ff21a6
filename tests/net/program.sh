#!/bin/sh
# The program itself, given as $1 (and as $2 a library that refuses Unix sockets): a faulty configuration ends it with the key's name; a sound one starts it,
# SIGUSR1 prints the counters, SIGHUP reads the file again, and SIGTERM ends it with 0 and the counters once more.
set -eu
program=$1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
unset BALANCER_NAME BALANCER_LISTEN BALANCER_DISCOVERY
export BALANCER_CONFIG="$folder/config.json"

fail() {
  echo "$1" >&2
  cat "$folder/log" >&2
  exit 1
}

# Waits for a line; the count only ends a test that would hang.
await() {
  turns=0
  until [ "$(grep -c "$1" "$folder/log")" -ge "$2" ]; do
    turns=$((turns + 1))
    [ "$turns" -lt 400 ] || fail "no line like '$1'"
    sleep 0.05
  done
}

settings='"settings":{"classes":[{"name":"read","deadline":100000000,"objective":50000000}]}'
echo '{"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","limits":{"sockets":"many"},'"$settings}" >"$BALANCER_CONFIG"
if "$program" 2>"$folder/log"; then fail "a faulty configuration was taken"; fi
grep -q 'limits.sockets' "$folder/log" || fail "the faulty key is not named"

# The operators' address: a faulty one and a taken one are named.
echo '{"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","admin":"nowhere",'"$settings}" >"$BALANCER_CONFIG"
if "$program" 2>"$folder/log"; then fail "a faulty operators' address was taken"; fi
grep -q 'admin: address: ADDRESS:PORT expected' "$folder/log" || fail "the operators' address is not named"
echo '{"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","admin":"192.0.2.1:9",'"$settings}" >"$BALANCER_CONFIG"
if "$program" 2>"$folder/log"; then fail "an operators' address of another machine was taken"; fi
grep -q 'admin: cannot listen on 192.0.2.1:9' "$folder/log" || fail "the address that cannot be had is not named"
echo '{"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","limits":{"sockets":"many"},'"$settings}" >"$BALANCER_CONFIG"

# The command line: what is wrong, in one call; what is sound; the version; a wrong word.
printf '[clients]\nidel_ms = 5\n[log]\nformat = "xml"\n' >"$folder/own.toml"
if "$program" check --config "$folder/own.toml" 2>"$folder/log"; then fail "check took faulty files"; fi
for key in clients.idel_ms clients.idle_ms log.format limits.sockets; do
  grep -q "$key" "$folder/log" || fail "check does not name $key"
done
"$program" version | grep -q '^peatbend [0-9]' || fail "no version"
if "$program" sevre >/dev/null 2>&1; then fail "a wrong word was taken"; fi
"$program" --help | grep -q 'SIGHUP' || fail "the help does not speak of signals"

# A log in JSON: each line one object, with what a stranger sent escaped.
echo '{"listen":"127.0.0.1:0","discovery":"127.0.0.1:9",'"$settings}" >"$BALANCER_CONFIG"
printf '[log]\nformat = "json"\n' >"$folder/own.toml"
"$program" check --config "$folder/own.toml" | grep -q 'sound' || fail "check refused sound files"
# The log is emptied before each start: an await must not find the line of the one before.
: >"$folder/log"
"$program" serve --config "$folder/own.toml" 2>"$folder/log" &
pid=$!
await '"kind":"start","text":"listening on' 1
kill -TERM "$pid"
wait "$pid" || fail "the exit was not 0"
grep -q '"kind":"counters","counts":{"clients_accepted":0' "$folder/log" || fail "no counters as fields"

: >"$folder/log"
"$program" 2>"$folder/log" &
pid=$!
await 'start: listening on' 1
kill -USR1 "$pid"
await 'counters: clients_accepted' 1
echo '{"listen":"127.0.0.1:0","discovery":"nowhere",'"$settings}" >"$BALANCER_CONFIG"
kill -HUP "$pid"
await 'reload refused: discovery: ' 1
echo '{"listen":"127.0.0.1:0","discovery":"127.0.0.1:10",'"$settings}" >"$BALANCER_CONFIG"
kill -HUP "$pid"
await 'reload: discovery is now at 127.0.0.1:10' 1
kill -TERM "$pid"
wait "$pid" || fail "the exit was not 0"
grep -q 'stopping: 0 transactions open' "$folder/log" || fail "no word of the stop"
[ "$(grep -c 'counters: clients_accepted' "$folder/log")" -eq 2 ] || fail "no counters at the exit"

# A stale file at the door, and a process there that says nothing: a start goes on, and a signal that comes while
# it asks is carried out once it serves. SIGHUP and SIGTERM twice after a stop change nothing.
: >"$folder/log"
"$program" 2>"$folder/log" & # on a free port, which is used again below
pid=$!
await 'start: listening on' 1
sockets=$(ls -l "/proc/$pid/fd" | sed -n 's/.*socket:\[\([0-9]*\)\].*/\1/p' | tr '\n' ' ')
port=$(awk -v own=" $sockets" '$4 == "0A" && index(own, " " $10 " ") { sub(".*:", "", $2); print $2 }' /proc/net/tcp)
kill -TERM "$pid"
wait "$pid" || fail "the exit was not 0"
export TMPDIR="$folder" BALANCER_LISTEN="127.0.0.1:$((0x$port))"
echo '{"discovery":"127.0.0.1:9",'"$settings}" >"$BALANCER_CONFIG"
: >"$folder/log"
"$program" 2>"$folder/log" &
old=$!
await 'start: listening on' 1
ls "$folder"/peatbend-*.handover >/dev/null || fail "no door"
kill -STOP "$old"
: >"$folder/log"
"$program" 2>"$folder/log" &
pid=$!
turns=0
until grep -q 'SigCgt:.*4[0-9a-f][0-9a-f]3$' /proc/$pid/status; do
  turns=$((turns + 1))
  [ "$turns" -lt 400 ] || fail "no signal is taken"
  sleep 0.01
done
if grep -q 'does not answer' "$folder/log"; then fail "signals end it while it asks"; fi
kill -HUP "$pid"
await 'handover: the running process does not answer' 1
await 'reload: discovery stays' 1
kill -TERM "$pid"
kill -TERM "$pid"
kill -HUP "$pid"
wait "$pid" || fail "the exit was not 0"
kill -KILL "$old"
wait "$old" && fail "a kill is no exit"
: >"$folder/peatbend-$BALANCER_LISTEN.handover"
: >"$folder/log"
"$program" 2>"$folder/log" &
pid=$!
await 'start: listening on' 1
kill -TERM "$pid"
wait "$pid" || fail "the exit was not 0"
[ -z "$(ls "$folder" | grep handover || true)" ] || fail "a file is left at the door"

# Where the system refuses Unix sockets it serves all the same.
: >"$folder/log"
LD_PRELOAD="$2" ASAN_OPTIONS=verify_asan_link_order=0 "$program" 2>"$folder/log" &
pid=$!
await 'start: listening on' 1
grep -q 'handover: cannot wait at' "$folder/log" || fail "no word of the door that cannot be had"
kill -TERM "$pid"
wait "$pid" || fail "the exit was not 0"

# A command that was renamed is an error that tells its new name.
if "$program" work --at 127.0.0.1:1 2>"$folder/err"; then fail "a renamed command is taken"; fi
grep -q 'work: renamed to failover' "$folder/err" || fail "the new name of a renamed command is not told"
if "$program" failover --at 127.0.0.1:1 2>"$folder/err"; then fail "nobody is there, and it succeeds"; fi
grep -q 'cannot reach 127.0.0.1:1' "$folder/err" || fail "the renamed command is not known"
