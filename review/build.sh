#!/bin/sh
# Builds the program that runs the scripted cases, with all stand-ins, into target/.
# It needs no network. target/yuccaspindled comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go test -tags review -c -o target/review-cases ./review/harness
