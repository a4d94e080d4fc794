#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if ! [ -x target/deploy/fennelfold ] || ! [ -x target/review/standin ]; then
  echo "build the deploy file and run review/build.sh first"
  exit 2
fi
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP TROUBLE="${TROUBLE:-1}"
trap 'rm -rf "$CASE_TMP"' EXIT
target/review/standin torn-event review/3/record.txt
