#!/usr/bin/env bash
# Plays the script NAME for the case in the current folder. Exits with 1 if the
# rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
name=$1
REVIEW_ROOT=$(cd ../.. && pwd)
REVIEW_TMP=$(mktemp -d)
export REVIEW_ROOT REVIEW_TMP
trap 'rm -rf "$REVIEW_TMP"' EXIT
if [ ! -x "$REVIEW_ROOT/target/bin/berylleverd" ] ||
  [ ! -x "$REVIEW_ROOT/target/review/$name" ]; then
  echo "not built: run the build of the deploy file and review/build.sh" >&2
  exit 2
fi
timeout 115 "$REVIEW_ROOT/target/review/$name"
code=$?
if [ "$code" -ne 0 ] && [ "$code" -ne 1 ]; then
  code=2
fi
exit "$code"
