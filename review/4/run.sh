#!/bin/sh
# Plays the case "advice" of review/standin-2. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mothferry ] && [ -x target/standin-2 ] || exit 2
exec target/standin-2 advice target/mothferry review/4/record.txt
