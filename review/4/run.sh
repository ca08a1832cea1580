#!/bin/sh
# Runs this case once: exit 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
program=$root/target/review/release/review-cases
[ -x "$program" ] || { echo "review/build.sh hasn't been run" >&2; exit 2; }
exec "$program" clock-step "$root" "$here/record.txt"
