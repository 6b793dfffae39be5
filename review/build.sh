#!/usr/bin/env bash
# Builds the stand-ins that the cases start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOFLAGS=-mod=mod go build -o ../../target/review-standin .
