#!/usr/bin/env bash
# Runs the case. Needs the build of deploy/system.toml and review/build-2.sh. Exit codes: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/cassiawall-node ] || [ ! -x target/review-2/stand2 ]; then
  echo "build the node and run review/build-2.sh first" >&2
  exit 2
fi
exec target/review-2/stand2 doubt review/9/record.txt
