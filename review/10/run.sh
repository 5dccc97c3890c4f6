#!/bin/sh
# Case 10. TROUBLE=0 plays it without the disruption. Exit code: 1 the rule was broken, 0 it held,
# 2 the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review2 ] && [ -x target/yuccaspindled ] || exit 2
REVIEW_CASE=takeup REVIEW_RECORD="$here/record.txt" exec target/review2
