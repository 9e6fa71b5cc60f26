#!/usr/bin/env bash
# Builds the stand-ins that the cases start. The program itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-driver ./review/_driver
