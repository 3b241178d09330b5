#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. The balancer itself is built as deploy/balancer.toml does.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/standin2 ./review/standin2
