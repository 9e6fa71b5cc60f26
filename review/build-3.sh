#!/bin/sh
# Builds the stand-in of the script cases 11 to 15 into target/, beside the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/stand3 ./review/_stand3
