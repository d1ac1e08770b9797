#!/usr/bin/env bash
# Exit code: 1 when the rule was broken, 0 when it held, 2 when the case could
# not run. With TROUBLE=0 without the disruption.
set -euo pipefail
cd "$(dirname "$0")/../.."
[[ -x target/review-3/case && -x target/hemlockwick ]] || exit 2
exec target/review-3/case freeze review/11/record.txt "${TROUBLE:-1}"
