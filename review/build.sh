#!/usr/bin/env bash
# Builds the program that plays the scripted cases: clients, servers and the store, from platform/standin and review/testdata/cases.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/cases ./review/testdata/cases
