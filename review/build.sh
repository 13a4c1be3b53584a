#!/bin/sh
# Builds the stand-ins of the cases into review/bin. Needs no network.
set -eu
cd "$(dirname "$0")/standin"
GOWORK=off GOPROXY=off GOTOOLCHAIN=local GOFLAGS=-buildvcs=false go build -o ../bin/cases .
