#!/usr/bin/env bash
# Builds the programs that the scripts of the third review start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for program in review/1[1-5]/*/main.go; do
	go build -o target/review-3/ "./$(dirname "$program")"
done
