#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/6 start, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review -ldflags=-linkmode=external -o target/standin-2 ./review/standin-2
