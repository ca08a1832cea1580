#!/usr/bin/env bash
# Plays a case with real processes. Usage: run-case.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case couldn't run.
set -u
cd "$(dirname "$0")/../.."
folder=$(realpath "$2")
site=target/review-2/release/review-site
program=target/release/carobdrum
if [ ! -x "$site" ] || [ ! -x "$program" ]; then
    echo "not built: run the build of deploy/system.toml and review/build-2.sh" >&2
    exit 2
fi
temporary=$(mktemp -d)

# Ends what the case has started, if it couldn't do so itself.
finish() {
    if [ -f "$temporary/pids" ]; then
        while read -r pid; do
            if { tr "\0" " " < "/proc/$pid/cmdline"; } 2> /dev/null | grep -qF "$temporary"; then
                kill -KILL "$pid"
            fi
        done < "$temporary/pids"
    fi
    rm -rf "$temporary"
}
trap finish EXIT

timeout --kill-after=5 110 "$site" "$1" "$folder" "$program" "$temporary"
case $? in
    0) exit 0 ;;
    1) exit 1 ;;
    *) exit 2 ;;
esac
