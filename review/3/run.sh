#!/usr/bin/env bash
# Plays the case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
[ -x "$root/target/mothferry" ] && [ -x "$root/target/review-standin" ] || {
  echo 'build the project with the line of deploy/system.toml, and the stand-ins with review/build.sh'
  exit 2
}
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
timeout -k 5 115 "$root/target/review-standin" -case rename -root "$root" -record record.txt -trouble=$trouble
code=$?
[ $code -le 2 ] || code=2
exit $code
