#!/usr/bin/env bash
# Builds the stand-ins that the cases start. It comes after the build line of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -trimpath -o target/review/stand ./review/stand
