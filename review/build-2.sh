#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They need the Go tool chain and no other module, and are a module of their own, so
# that CI and the default test run don't see them. The balancer is built before, as deploy/balancer.toml says.
set -euo pipefail
cd "$(dirname "$0")/standin2"
mkdir -p ../bin
CGO_ENABLED=0 GOFLAGS= GOTOOLCHAIN=local GOWORK=off go build -o ../bin/standin2 .
