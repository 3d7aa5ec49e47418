#!/usr/bin/env bash
# Plays the case. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/release/review-standin-3
[ -x "$program" ] && [ -x target/release/pier-platform ] || exit 2
exec "$program" stop-all "review/13"
