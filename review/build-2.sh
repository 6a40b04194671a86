#!/bin/bash
# Builds the stand-ins that the scripts of cases 6 to 10 start: platform (the project's own, platform/standin), engines and clients in one
# program. It needs no network beyond the modules that the project's own build uses.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/lab ./review/_second/lab
