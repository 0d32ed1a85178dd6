#!/bin/sh
# Plays this case and writes record.txt beside this script. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 plays it without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
REPOSITORY=$(cd "$folder/../.." && pwd) || exit 2
export REPOSITORY
program="$REPOSITORY/build/review/case-$(basename "$folder")"
[ -x "$program" ] || { echo "run review/build.sh first" >&2; exit 2; }
[ -x "$REPOSITORY/build/pineridge" ] || { echo "run the build of the deploy file first" >&2; exit 2; }
exec "$program" "$folder/record.txt"
