#!/usr/bin/env bash
# Exits with 1 if the processes of two entry machines end three times each because they exceed the
# memory of their machines, with 0 if not, and with 2 if the case could not run. With TROUBLE=0 all
# replicas are sound.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
[ -x target/lentil-platform ] && [ -x target/review-3/heads ] || exit 2
exec timeout -k 5 115 target/review-3/heads "$here/record.txt"
