#!/usr/bin/env bash
# Builds the stand-in of the cases review/7 and later. Run it after the build of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -trimpath -o target/review-3/stand ./review/stand-3
