#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/node ] && [ -x ../../target/review-standin ] || { echo "build first"; exit 2; }
exec ../../target/review-standin -case born -node ../../target/node -record record.txt -trouble="${TROUBLE:-1}"
