#!/bin/sh
# Builds the stand-ins of the scripts: one program with the platform, the servers and the callers. The stand-in of the platform is the
# project's own, from platform/standin. The processes under test come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-harness ./review/_harness
