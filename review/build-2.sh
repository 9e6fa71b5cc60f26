#!/bin/sh
# Builds the stand-in of the platform for the scripts of the second review, into target/.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-2/platform2 ./review/_platform2
