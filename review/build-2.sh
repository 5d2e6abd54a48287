#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10: one program, which uses the project's package platform/standin.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -tags review2 -o target/review-2/stand2 ./review/stand2
