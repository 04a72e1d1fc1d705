#!/bin/sh
# Builds the programs that the cases 11 to 15 start beside the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go vet -tags review ./review/standins3
go build -tags review -o target/review-3/ ./review/standins3
