#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run.  TROUBLE=0 leaves out the
# disruption.  Needs the build of the deploy file and review/build.sh.
set -u
cd "$(dirname "${BASH_SOURCE[0]}")" || exit 2
case_dir=$PWD
cd ../.. || exit 2
directory=$(mktemp -d) || exit 2
trap 'rm -rf "$directory"' EXIT
timeout 118 target/review-rig slow-answers target/apps/fireflynode "$directory" "$case_dir/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
