#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -f target/bronzewheel-platform.jar ] && [ -f target/review-classes/CaseLong.class ] || exit 2
folder=$(mktemp -d) || exit 2
java -Xmx1g -cp target/review-classes CaseLong "$folder" "$here/record.txt" &
run=$!
# The program ends the processes that it has started, also where it is interrupted.
trap 'kill "$run" 2>/dev/null; wait "$run"; rm -rf "$folder"; exit 2' INT TERM
wait "$run"
result=$?
rm -rf "$folder"
exit $result
