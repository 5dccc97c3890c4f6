#!/bin/sh
# Builds what the scripts of the cases 12 and later start, beside the programs of the deploy
# file: stand-ins, clients and the project's own stand-in of the platform's store.
set -e
cd "$(dirname "$0")/.."
go test -c -tags review3 -o target/review-3 ./review/harness3
