#!/bin/sh
# Runs the case of claim.txt, after the build of the deploy file and review/build-3.sh.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# Disruption: the only tenant loses its key, then its empty entry is removed. TROUBLE=0: the tenant keeps its key.
here=$(cd "$(dirname "$0")" && pwd)
record="$here/record.txt"
cd "$here/../.." || exit 2
if [ "${TROUBLE:-1}" = 0 ]; then
    TROUBLE=0
else
    TROUBLE=1
fi
export TROUBLE
if [ ! -f target/bronzewheel-platform.jar ] || [ ! -f target/review-3/Case13.class ]; then
    echo "could not run, build first: the deploy file, then review/build-3.sh" | tee "$record"
    exit 2
fi
java -Xmx128m -cp target/review-3 Case13 "$record" &
run=$!
# The program ends the processes that it has started, also when it is interrupted.
trap 'kill "$run" 2>/dev/null; wait "$run"; exit 2' INT TERM
wait "$run"
result=$?
case $result in
    0 | 1) exit $result ;;
    *) exit 2 ;;
esac
