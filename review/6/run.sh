#!/bin/sh
# Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run. TROUBLE=0 leaves
# out the disruption. Build before: the deploy file's build and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
REVIEW_PIDS=$(mktemp) || exit 2
export REVIEW_PIDS
# The hosts also end when the case itself is stopped.
trap 'xargs -r kill -s KILL <"$REVIEW_PIDS" 2>/dev/null; rm -f "$REVIEW_PIDS"' EXIT
trap 'exit 2' HUP INT TERM
timeout 118 target/review-2/release/review-case stale-pages review/6
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
