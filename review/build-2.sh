#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 6. It needs no network and runs from any folder.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -trimpath -o target/review-2/stand-2 ./review/stand-2
go build -trimpath -o target/review-2/stand-3 ./review/stand-3
