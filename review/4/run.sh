#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
[ -x "$here/../../target/bin/burdockgraded" ] || exit 2
exec env PYTHONDONTWRITEBYTECODE=1 python3 "$here/case.py"
