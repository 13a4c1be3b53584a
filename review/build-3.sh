#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-3 .
