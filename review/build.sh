#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. The daemons are built as
# deploy/system.toml says.
set -e
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review/ ./review/standin
