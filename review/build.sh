#!/usr/bin/env bash
# Builds the stand-ins of the review. They need the Go tool chain and no other module.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../bin
CGO_ENABLED=0 GOFLAGS= GOTOOLCHAIN=local GOWORK=off go build -o ../bin/standin .
