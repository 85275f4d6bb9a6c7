#!/usr/bin/env bash
# Exits with 1 if a request that crashes replicas reaches more of them than allowed once all entry
# daemons were killed, with 0 if not, and with 2 if the case could not run. With TROUBLE=0 no daemon is
# killed.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
[ -x target/lentil-platform ] && [ -x target/review-3/crashes ] || exit 2
exec timeout -k 5 115 target/review-3/crashes "$here/record.txt"
