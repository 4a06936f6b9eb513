#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, after the build of the deploy
# file. It needs no network: they use the standard library only.
set -eu
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
GOWORK=off GOFLAGS= GOPROXY=off go build -o ../../target/review-2/ .
