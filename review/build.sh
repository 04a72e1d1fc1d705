#!/bin/sh
# Builds what the cases start beside the system itself.
cd "$(dirname "$0")/.." || exit 2
go build -tags review -o target/review/ ./review/harness
