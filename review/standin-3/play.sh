# Plays the case CASE in the folder of the script that reads this file, and ends all that it started.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
standin="$root/review/standin-3/target/release/review-standin-3"
daemon="$root/target/release/geraniumshed"
[ -x "$standin" ] && [ -x "$daemon" ] || { echo "build the deploy file and review/build-3.sh first"; exit 2; }
work=$(mktemp -d) || exit 2
played=
finish() {
    [ -n "$played" ] && kill "$played" 2>/dev/null
    [ -f "$work/pids" ] && xargs -r kill -9 < "$work/pids" 2>/dev/null
    rm -rf "$work"
}
trap 'finish; exit 2' INT TERM HUP
"$standin" "$CASE" "${TROUBLE:-1}" "$daemon" "$here/record.txt" "$work" &
played=$!
wait "$played"
status=$?
played=
finish
[ "$status" -le 1 ] || status=2
exit "$status"
