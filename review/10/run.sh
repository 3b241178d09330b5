#!/usr/bin/env bash
# Plays case 10 and exits with 0 if its rule held, 1 if it was broken and 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. Before it: the build of deploy/balancer.toml, and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/olivearch ] && [ -x review/bin/standin2 ] || exit 2
exec review/bin/standin2 10 review/10
