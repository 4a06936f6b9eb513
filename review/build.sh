#!/usr/bin/env bash
# Builds the stand-ins of the cases, with the standard library only. Run it after the
# build of the deploy file; the program goes to target/ too.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOWORK=off GOTOOLCHAIN=local GOFLAGS="-buildvcs=false" go build -o ../../target/review-standin .
